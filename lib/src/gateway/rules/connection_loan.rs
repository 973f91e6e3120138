//! Decides how daemons lend each other connections of endpoints that they don't use.
//!
//! Inputs: this daemon's share of each endpoint of a service, the requests in flight there, what is lent and borrowed
//! already, and the number of connections that another daemon asks for.
//!
//! Rule: a daemon whose share of a service is used up asks [`LENDERS`] others, drawn anew each time. Each lends at most half of
//! what it doesn't use, at the endpoints with the most unused connections first; a daemon without any request of the service
//! lends the odd one as well. The lender's own limit falls by what it has lent until the borrower says that it doesn't use it
//! any more. The borrower starts requests on a loan only for [`LOAN_TIME`] since it sent the message that the lender's last
//! answer belongs to.
//!
//! Reason: the limits of all daemons always add up to what their even shares add up to, whatever they know about each
//! other. A lender that hears nothing more of its borrower waits until the borrower can't start any request, and then for
//! the longest time that a request takes.
//!
//! Tests: `lib/tests/test_connection_loans.rs`.

use {
    crate::shared::units::{Millis, Time},
    std::cmp::Reverse,
};

/// Number of daemons that are asked for connections at a time.
pub const LENDERS: usize = 4;

/// Time for which requests may be started on a loan without a sign of the lender.
pub const LOAN_TIME: Millis = Millis(1_000);

/// Interval at which borrowers report what they use. A loan survives the loss of several reports.
pub const REPORT_INTERVAL: Millis = Millis(200);

/// Time to wait for the answers of the daemons that were asked.
pub const ANSWER_TIME: Millis = Millis(100);

/// Time for which a service isn't asked for after no daemon had a connection to lend.
pub const FRUITLESS_PAUSE: Millis = Millis(200);

/// Largest number of endpoints at which a daemon lends connections to another one, so that a report fits into a datagram.
pub const MAX_LOANS: usize = 100;

/// Share of its connections that a daemon leaves free before it asks for more, as a divisor.
const SCARCE_DIVISOR: u32 = 4;

/// Divisor of the peak of requests in flight that gives its decay in each report interval.
const PEAK_DECAY_DIVISOR: u32 = 8;

/// The connections of one endpoint that a daemon may use, and the requests that it has in flight there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Maximum number of requests in flight, with what is lent and borrowed.
    pub limit: u32,
    /// Requests in flight.
    pub running: u32,
}

impl Room {
    /// Returns the number of further requests.
    pub fn unused(&self) -> u32 {
        self.limit.saturating_sub(self.running)
    }
}

/// Returns whether a daemon asks for more connections of a service: before it has none left, and if it has lent all of its
/// own.
pub fn is_scarce(rooms: &[Room]) -> bool {
    let limit: u32 = rooms.iter().map(|room| room.limit).sum();
    let unused: u32 = rooms.iter().map(Room::unused).sum();
    unused < limit.div_ceil(SCARCE_DIVISOR).max(1)
}

/// Returns the number of connections that a daemon asks each lender for: as many as it uses all in all divided among them, and
/// at least one of each endpoint.
pub fn wanted(rooms: &[Room]) -> u32 {
    let running: u32 = rooms.iter().map(|room| room.running).sum();
    let endpoints = u32::try_from(rooms.len()).unwrap_or(u32::MAX);
    running.div_ceil(LENDERS as u32).max(endpoints)
}

/// Returns the number of connections that a daemon lends at each endpoint, in the order of `rooms`.
pub fn lend(rooms: &[Room], wanted: u32) -> Vec<u32> {
    let unused: u32 = rooms.iter().map(Room::unused).sum();
    let is_idle = rooms.iter().all(|room| room.running == 0);
    let half = if is_idle {
        unused.div_ceil(2)
    } else {
        unused / 2
    };
    let mut left = half.min(wanted);
    let mut order: Vec<usize> = (0..rooms.len()).collect();
    order.sort_by_key(|place| Reverse(rooms[*place].unused()));
    order.truncate(MAX_LOANS);
    let mut lent = vec![0; rooms.len()];
    // One connection at a time at each endpoint, so that the loans are spread over all of them.
    while left > 0 {
        let before = left;
        for place in &order {
            if left > 0 && lent[*place] < rooms[*place].unused() {
                lent[*place] += 1;
                left -= 1;
            }
        }
        if left == before {
            break;
        }
    }
    lent
}

/// Returns the number of requests in flight at an endpoint for which a borrower keeps connections: the largest number of
/// lately.
pub fn decayed_peak(peak: u32, running: u32) -> u32 {
    let decayed = peak.saturating_sub(peak.div_ceil(PEAK_DECAY_DIVISOR));
    running.max(decayed)
}

/// Returns until when a lender keeps a loan of which it hears nothing more. `longest` is the longest time that a request takes.
pub fn kept_until(reported: Time, longest: Millis) -> Time {
    reported + LOAN_TIME + longest
}
