//! Decides whether a request is refused because endpoints terminated while they ran it, and which daemons remember the
//! evidence.
//!
//! Inputs: the times at which endpoints terminated while they ran the request (each incarnation of an endpoint once), and
//! at which it had been sent there; the time when the request was last served successfully, and the daemons that are alive.
//!
//! Rule: a terminated endpoint counts against the request for [`EVIDENCE_LIFETIME`], unless the request was served
//! after the termination. A request with [`TERMINATED_LIMIT`] endpoints against it is refused, from any caller and at any
//! daemon, until one of them no longer counts. If it was served less than [`SERVED_GRACE`] before the first of them, it takes
//! [`TURNED_LIMIT`] endpoints, [`TERMINATED_LIMIT`] of them in sequence: each got the request after the one before had
//! terminated.
//! [`EVIDENCE_HOLDERS`] living daemons, always the same ones for the same request, hold the evidence until the limit is
//! reached; then it is reported to all daemons.
//!
//! Reason: a request that terminates every endpoint that runs it also takes down the other work there, each time it is
//! sent. Without this rule, 16 attempts terminated 16 processes of 8 endpoints that restart; with it, 3 (test
//! `ends_few_whole`). Many callers that send the same request while endpoints terminate for other reasons aren't
//! refused: a harmless request is served regularly, a harmful one never. Endpoints that terminate together don't show whether
//! a request that was served just before has turned harmful; endpoints that get the request after that do.
//!
//! A part of prompts is refused only [`REBUTTAL_TIME`] after its quarantine began, since a daemon that has served it meanwhile
//! says so once it hears of the quarantine; requests with the part wait as long.
//!
//! A part of prompts is treated like a request: endpoints that terminate under a request count against each part of its
//! prompt that others may share, and a request with a quarantined part is refused. Because every request with the part is
//! refused, none could clear it. So one request is let through [`TRIAL_PAUSE`] after the last termination, by the first
//! daemon in the order of holders, or [`TRIAL_TURN`] later by the next one if none came there, and so on, but not while
//! another trial runs: its daemon says so until it has ended. After a trial that terminated an endpoint the pause is
//! [`TRIAL_GROWTH`] times as long.
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

/// Time for which the quarantine of a part may still be disproved by what other daemons have served: a report to all, and their
/// answers.
pub const REBUTTAL_TIME: Millis = Millis(100);

/// Time for which a terminated endpoint counts against a request. In the worst case, a harmful request that is sent
/// forever costs three endpoints in this time.
pub const EVIDENCE_LIFETIME: Millis = Millis(600_000);

/// Number of terminated endpoints after which a request is refused that was served less than [`SERVED_GRACE`] before. A
/// harmful part that was never served is refused first, which explains the terminations to all others beside it.
pub const TURNED_LIMIT: usize = 5;

/// Time after a successful end of the request for which it takes more terminated endpoints to refuse it. It is longer than
/// a request runs: when endpoints terminate together, a request that was served just before is not blamed.
pub const SERVED_GRACE: Millis = Millis(60_000);

/// Shortest time from the last termination under a part until its next trial.
pub const TRIAL_PAUSE: Millis = Millis(3_000);

/// The same until the first trial of a part that was served less than [`SERVED_GRACE`] before: while all endpoints terminate under
/// a harmful part, none serves the sound ones that come with it.
pub const TURNED_TRIAL_PAUSE: Millis = Millis(500);

/// Longest time from the last termination under a part until its next trial.
pub const MAX_TRIAL_PAUSE: Millis = Millis(200_000);

/// Factor by which the pause exceeds the time between the last two terminations, so that it grows with each trial that
/// terminates an endpoint.
pub const TRIAL_GROWTH: u64 = 4;

/// Time by which each daemon tries a part later than the one before it in the order of holders: longer than it takes until
/// all have heard that a trial runs.
pub const TRIAL_TURN: Millis = Millis(1_000);

/// Time after the last sign of a trial for which no other one begins: some rounds of gossip.
pub const TRIAL_SIGN_LIFETIME: Millis = Millis(1_000);

/// Number of daemons that hold the evidence against a request; two of them may be lost at once.
pub const EVIDENCE_HOLDERS: usize = 3;

/// Number of times that a terminated endpoint is reported to each evidence holder, since datagrams get lost.
pub const EVIDENCE_REPORTS: u32 = 3;

/// The time at which an endpoint terminated under a request, and the time at which it had got the request, if that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Termination {
    /// Time of the termination.
    pub at: Time,
    /// Time at which the request was sent to the endpoint.
    pub sent: Option<Time>,
}

/// Returns whether an endpoint that terminated at `terminated` counts against a request that was last served at
/// `served`.
pub fn counts_against(now: Time, terminated: Time, served: Option<Time>) -> bool {
    let is_disproved = served.is_some_and(|served| terminated <= served);
    !is_disproved && now < counts_until(terminated)
}

/// Returns whether a request was served shortly before the first endpoint terminated under it.
pub fn was_served_before(first: Time, served: Option<Time>) -> bool {
    served.is_some_and(|served| first <= served + SERVED_GRACE)
}

/// Returns whether a request is refused against which these terminations count, the earliest first.
pub fn is_quarantined(against: &[Termination], served: Option<Time>) -> bool {
    let Some(first) = against.first() else {
        return false;
    };
    if !was_served_before(first.at, served) {
        return against.len() >= TERMINATED_LIMIT;
    }
    against.len() >= TURNED_LIMIT && sequence(against).count() >= TERMINATED_LIMIT
}

/// Returns the places of terminations of which each is of an endpoint that got the request after the one before had terminated,
/// from the first one on.
pub fn sequence(terminations: &[Termination]) -> impl Iterator<Item = usize> {
    let mut last: Option<Time> = None;
    let places = terminations.iter().enumerate().filter(move |(_, one)| {
        let is_next = last.is_none_or(|last| one.sent.is_some_and(|sent| sent > last));
        if is_next {
            last = Some(one.at);
        }
        is_next
    });
    places.map(|(place, _)| place)
}

/// Returns the time until which an endpoint that terminated at `terminated` counts against a request.
pub fn counts_until(terminated: Time) -> Time {
    terminated + EVIDENCE_LIFETIME
}

/// Returns when the daemon with this rank among the holders may try a quarantined part, of the times at which the last
/// endpoints terminated under it, the earliest first. `has_turned` is set until the first trial of a part that was served shortly
/// before. `others` is the number of other quarantined parts in the request: requests without any
/// go first, since another part may be the harmful one.
pub fn trial_time(ends: &[Time], has_turned: bool, rank: usize, others: usize) -> Time {
    let last = ends.last().copied().unwrap_or_default();
    // Endpoints that terminate in quick succession ran the part together; the pause grows with the time since those before.
    let mut pairs = ends.windows(2).rev();
    let apart = pairs.find(|pair| pair[0] + TRIAL_PAUSE <= pair[1]);
    let previous = apart.map(|pair| &pair[0]);
    let gap = previous.map_or(0, |previous| last.since(*previous).as_millis() as u64);
    let shortest = if has_turned {
        TURNED_TRIAL_PAUSE
    } else {
        TRIAL_PAUSE
    };
    let pause = Millis(gap * TRIAL_GROWTH).clamp(shortest, MAX_TRIAL_PAUSE);
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
