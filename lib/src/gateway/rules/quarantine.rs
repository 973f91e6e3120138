//! Decides whether a request is refused because endpoints terminated while they ran it, and which daemons remember the
//! evidence.
//!
//! Inputs: the times at which endpoints terminated while they ran the request (each incarnation of an endpoint once),
//! the time when the request was last served successfully, and the daemons that are alive.
//!
//! Rule: a terminated endpoint counts against the request for [`EVIDENCE_LIFETIME`], unless the request was served
//! after the termination or less than [`SERVED_GRACE`] before it. A request with [`TERMINATED_LIMIT`] endpoints against
//! it is refused, from any caller and at any daemon, until one of them no longer counts. [`EVIDENCE_HOLDERS`] living
//! daemons, always the same ones for the same request, hold the evidence until the limit is reached; then it is
//! reported to all daemons.
//!
//! Reason: a request that terminates every endpoint that runs it also takes down the other work there, each time it is
//! sent. Without this rule, 16 attempts terminated 16 processes of 8 endpoints that restart; with it, 3 (test
//! `ends_few_whole`). Many callers that send the same request while endpoints terminate for other reasons aren't
//! refused: a harmless request is served regularly, a harmful one never.
//!
//! A part of prompts is treated like a request: endpoints that terminate under a request count against each part of its
//! prompt that others may share, and a request with a quarantined part is refused. Because every request with the part is
//! refused, none could clear it. So one request is let through [`TRIAL_PAUSE`] after the last termination, by the first
//! daemon in the order of holders, or [`TRIAL_TURN`] later by the next one if none came there, and so on. After a trial that
//! terminated an endpoint the pause is [`TRIAL_GROWTH`] times as long.
//!
//! See `docs/design/quarantine.md` and `docs/design/harmful-parts.md`.

use {
    crate::{
        gateway::rules::holders::holders,
        shared::units::{Millis, Time},
    },
    std::net::SocketAddr,
};

/// Number of terminated endpoints after which a request is refused. With 2, requests that happen to run beside a
/// harmful one would be refused after two such coincidences.
pub const TERMINATED_LIMIT: usize = 3;

/// Time for which a terminated endpoint counts against a request. In the worst case, a harmful request that is sent
/// forever costs three endpoints in this time.
pub const EVIDENCE_LIFETIME: Millis = Millis(600_000);

/// Time after a successful end of the request for which terminated endpoints don't count against it. It is longer than
/// a request runs: when endpoints terminate together, a request that was served just before is not blamed. Nor is a part
/// that few requests share, beside a harmful one that is never served.
pub const SERVED_GRACE: Millis = Millis(60_000);

/// Shortest time from the last termination under a part until its next trial.
pub const TRIAL_PAUSE: Millis = Millis(3_000);

/// Longest time from the last termination under a part until its next trial.
pub const MAX_TRIAL_PAUSE: Millis = Millis(200_000);

/// Factor by which the pause exceeds the time between the last two terminations, so that it grows with each trial that
/// terminates an endpoint.
pub const TRIAL_GROWTH: u64 = 4;

/// Time by which each daemon tries a part later than the one before it in the order of holders: longer than it takes until
/// a trial shows.
pub const TRIAL_TURN: Millis = Millis(1_000);

/// Number of daemons that hold the evidence against a request; two of them may be lost at once.
pub const EVIDENCE_HOLDERS: usize = 3;

/// Number of times that a terminated endpoint is reported to each evidence holder, since datagrams get lost.
pub const EVIDENCE_REPORTS: u32 = 3;

/// Returns whether an endpoint that terminated at `terminated` counts against a request that was last served at
/// `served`.
pub fn counts_against(now: Time, terminated: Time, served: Option<Time>) -> bool {
    let is_disproved = served.is_some_and(|served| terminated <= served + SERVED_GRACE);
    !is_disproved && now < counts_until(terminated)
}

/// Returns whether a request is refused if `against` terminated endpoints count against it.
pub fn is_quarantined(against: usize) -> bool {
    against >= TERMINATED_LIMIT
}

/// Returns the time until which an endpoint that terminated at `terminated` counts against a request.
pub fn counts_until(terminated: Time) -> Time {
    terminated + EVIDENCE_LIFETIME
}

/// Returns when the daemon with this rank among the holders may try a quarantined part, of the times at which the last two
/// endpoints terminated under it. `others` is the number of other quarantined parts in the request: requests without any
/// go first, since another part may be the harmful one.
pub fn trial_time(previous: Time, last: Time, rank: usize, others: usize) -> Time {
    let gap = last.since(previous).as_millis() as u64;
    let pause = Millis(gap * TRIAL_GROWTH).clamp(TRIAL_PAUSE, MAX_TRIAL_PAUSE);
    let pauses = 1 + others as u64;
    last + Millis(pause.0 * pauses + TRIAL_TURN.0 * rank as u64)
}

/// Returns the rank of a daemon in the order of the holders of a digest; `None` if it isn't among the living ones.
pub fn holder_rank(
    digest: &[u8],
    daemons: impl Iterator<Item = SocketAddr>,
    daemon: SocketAddr,
) -> Option<usize> {
    let order = holders(digest, daemons, usize::MAX);
    order.iter().position(|holder| *holder == daemon)
}

/// Returns those of `daemons` that hold the evidence against a request, or all of them if there are no more than
/// needed.
pub fn evidence_holders(
    digest: &[u8],
    daemons: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    holders(digest, daemons, EVIDENCE_HOLDERS)
}
