//! The record of one endpoint that advertises a rate limit, or did so: the latest limit, this daemon's share, claim and
//! permits, and the tokens and claims that daemons sent to this one as the coordinator.

use crate::{
    gateway::{
        hashes::IncarnationHash,
        rates::note::{PermitNote, RateNote, rate_to_wire, tokens_to_wire},
        rules::{
            endpoint_choice::RateLimitState,
            endpoint_rate::{
                CLAIM_LIFETIME, CLAIM_RENEWAL_INTERVAL, Claim, Permit, PermitPool, RateShare,
                is_probe_due, may_end_limit,
            },
            gossip::HEARTBEAT,
        },
    },
    shared::{
        ids::ServiceId,
        units::{Millis, Rate, Time},
    },
};

/// Time between two reports of a daemon's share to the coordinator while the daemon has no claim to send.
const REPORT_INTERVAL: Millis = Millis(500);

/// Number of times that a change is announced to others, at intervals of a heartbeat.
const ANNOUNCEMENTS: u32 = 3;

/// Time between two later announcements, which are for daemons that have just started.
const ANNOUNCE_INTERVAL: Millis = Millis(1_000);

/// Time for which the end of a limit is announced.
const END_ANNOUNCED: Millis = Millis(10_000);

/// A change of an endpoint's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// The endpoint advertises a limit from now on.
    Began(Rate),
    /// The endpoint advertises another limit.
    Changed(Rate),
    /// The endpoint advertises no limit any more.
    Ended,
}

/// The rate limit, or its absence, in an endpoint's reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RateUpdate {
    /// Rate limit that the endpoint advertises, if any.
    pub(super) rate: Option<Rate>,
    /// Time at which the reply arrived.
    pub(super) at: Time,
}

/// This daemon's need of a permit, until it gets one.
#[derive(Debug, Clone, Copy)]
struct PendingClaim {
    claim: Claim,
    /// Time at which a request was last denied for lack of a permit.
    at: Time,
    /// Time at which the claim was last sent to the coordinator; absent if it has to be sent at once.
    sent: Option<Time>,
}

impl PendingClaim {
    fn is_recent(&self, now: Time) -> bool {
        now.since(self.at) < CLAIM_LIFETIME.to_duration()
    }

    fn is_due(&self, now: Time) -> bool {
        let is_due = |sent| now.since(sent) >= CLAIM_RENEWAL_INTERVAL.to_duration();
        self.is_recent(now) && self.sent.is_none_or(is_due)
    }
}

/// The rate limit of one endpoint, as this daemon knows it.
#[derive(Debug)]
pub(super) struct RateRecord {
    pub(super) service: ServiceId,
    latest: RateUpdate,
    /// Time at which this daemon learned that the limit began, or that it ended.
    since: Time,
    /// Set if an advertised limit that can't be read has been logged.
    pub(super) unclear_logged: bool,
    /// Number of announcements that are sent at the interval of a heartbeat before the longer one applies.
    announcements: u32,
    /// Time at which the limit was last announced; absent before the first announcement.
    announced: Option<Time>,
    share: RateShare,
    /// Time at which share and claim were last reported to the coordinator; absent before the first report.
    reported: Option<Time>,
    pending: Option<PendingClaim>,
    permits: Vec<Permit>,
    /// Time at which the first permit is expected, as reported by the coordinator; absent before its answer.
    permit_expected: Option<Time>,
    pub(super) pool: PermitPool,
}

impl RateRecord {
    pub(super) fn new(now: Time, service: ServiceId, latest: RateUpdate) -> Self {
        Self {
            service,
            latest,
            since: now,
            unclear_logged: false,
            announcements: ANNOUNCEMENTS,
            announced: None,
            share: RateShare::new(now),
            reported: None,
            pending: None,
            permits: Vec::new(),
            permit_expected: None,
            pool: PermitPool::default(),
        }
    }

    /// Returns the rate limit that the endpoint advertises, if any.
    pub(super) fn rate(&self) -> Option<Rate> {
        self.latest.rate
    }

    /// Returns whether a reply without a limit to a request that was sent at `sent` shows that the limit has ended.
    /// Replies to earlier requests may have been on their way when the limit began.
    pub(super) fn may_end_by(&self, sent: Time) -> bool {
        sent > self.since
    }

    /// Updates the advertised limit if the update is newer than the known one. The end of a limit has to be newer by the
    /// margin of [`may_end_limit`].
    pub(super) fn update(&mut self, now: Time, update: RateUpdate) -> Option<RateChange> {
        let known = self.latest;
        let counts = match (known.rate, update.rate) {
            (Some(_), None) => may_end_limit(known.at, update.at),
            _ => update.at > known.at,
        };
        if !counts {
            return None;
        }
        self.latest = update;
        let change = match (known.rate, update.rate) {
            (None, Some(rate)) => RateChange::Began(rate),
            (Some(_), None) => RateChange::Ended,
            (Some(old), Some(rate)) if old != rate => RateChange::Changed(rate),
            _ => return None,
        };
        self.announcements = ANNOUNCEMENTS;
        if !matches!(change, RateChange::Changed(_)) {
            self.reset_permits(now);
        }
        Some(change)
    }

    /// Resets share, claim, permits and pool when a limit begins or ends.
    fn reset_permits(&mut self, now: Time) {
        self.since = now;
        self.share = RateShare::new(now);
        self.pending = None;
        self.permits.clear();
        self.permit_expected = None;
        self.pool = PermitPool::default();
    }

    /// Returns whether a request of that urgency may be sent to the endpoint.
    pub(super) fn may_send(&self, now: Time, urgency: u32) -> bool {
        let serves = |permit: &Permit| permit.serves(now, urgency);
        self.latest.rate.is_none() || self.permits.iter().any(serves)
    }

    /// Returns the state of the rate limit for an endpoint that may get a request.
    pub(super) fn limit(&self, now: Time) -> RateLimitState {
        match self.latest.rate {
            None => RateLimitState::None,
            Some(_) if is_probe_due(now, self.latest.at) => RateLimitState::ProbeDue,
            Some(_) => RateLimitState::Permitted,
        }
    }

    /// Returns the number of valid permits; `None` if the endpoint has no limit.
    pub(super) fn permits(&self, now: Time) -> Option<usize> {
        self.latest.rate?;
        let valid = self.permits.iter().filter(|permit| permit.is_valid(now));
        Some(valid.count())
    }

    /// Uses up the first permit that serves a request of that urgency, and drops expired ones.
    pub(super) fn use_permit(&mut self, now: Time, urgency: u32) {
        self.permits.retain(|permit| permit.is_valid(now));
        let mut permits = self.permits.iter();
        if let Some(used) = permits.position(|permit| permit.serves(now, urgency)) {
            self.permits.remove(used);
        }
    }

    /// Records that a request wasn't sent to the endpoint for lack of a permit; returns whether the claim is to be sent
    /// to the coordinator at once.
    pub(super) fn record_denied(&mut self, now: Time, urgency: u32) -> bool {
        let fresh = PendingClaim {
            claim: Claim(urgency),
            at: now,
            sent: None,
        };
        let known = self.pending.filter(|pending| pending.is_recent(now));
        let pending = known.map_or(fresh, |pending| PendingClaim {
            claim: pending.claim.min(Claim(urgency)),
            at: now,
            sent: pending.sent.filter(|_| pending.claim <= Claim(urgency)),
        });
        self.pending = Some(pending);
        pending.is_due(now)
    }

    /// Adds the tokens of this daemon's share since they were last added, as one of `daemons`. Nothing is added while the
    /// number of daemons is unknown.
    pub(super) fn count_share(&mut self, now: Time, daemons: Option<usize>) {
        match (self.latest.rate, daemons) {
            (Some(rate), Some(daemons)) => self.share.accrue(now, rate, daemons),
            _ => self.share.skip_until(now),
        }
    }

    /// Returns the report for the coordinator if one is due.
    pub(super) fn report(&mut self, now: Time, endpoint: IncarnationHash) -> Option<RateNote> {
        self.latest.rate?;
        let claim_due = self.pending.is_some_and(|pending| pending.is_due(now));
        let pause_over = |reported| now.since(reported) >= REPORT_INTERVAL.to_duration();
        if !claim_due && !self.reported.is_none_or(pause_over) {
            return None;
        }
        self.reported = Some(now);
        let share_micro = tokens_to_wire(self.share.take());
        let pending = self
            .pending
            .as_mut()
            .filter(|pending| pending.is_recent(now));
        let claim = pending.map(|pending| {
            pending.sent = Some(now);
            pending.claim
        });
        Some(RateNote {
            share_micro,
            claim,
            ..self.note(now, endpoint)
        })
    }

    /// Returns the announcement for other daemons if one is due.
    pub(super) fn announcement(
        &mut self,
        now: Time,
        endpoint: IncarnationHash,
    ) -> Option<RateNote> {
        if self.latest.rate.is_none() && now.since(self.latest.at) >= END_ANNOUNCED.to_duration() {
            return None;
        }
        let pause = if self.announcements > 0 {
            HEARTBEAT
        } else {
            ANNOUNCE_INTERVAL
        };
        let is_first = self.announcements == ANNOUNCEMENTS;
        let pause_over = |announced| now.since(announced) >= pause.to_duration();
        if !is_first && !self.announced.is_none_or(pause_over) {
            return None;
        }
        self.announcements = self.announcements.saturating_sub(1);
        self.announced = Some(now);
        Some(self.note(now, endpoint))
    }

    /// Returns the message entry for the known limit, without share and claim.
    pub(super) fn note(&self, now: Time, endpoint: IncarnationHash) -> RateNote {
        let age = now.since(self.latest.at).as_millis();
        RateNote {
            endpoint,
            rate_milli: self.latest.rate.map(rate_to_wire),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            share_micro: 0,
            claim: None,
        }
    }

    /// Records the coordinator's answer to a claim.
    pub(super) fn record_granted(&mut self, now: Time, note: &PermitNote) {
        let Some(rate) = self.latest.rate else {
            return;
        };
        self.permit_expected = Some(now + Millis(u64::from(note.wait_ms)));
        let claim = self.pending.map(|pending| pending.claim);
        for _ in 0..note.permits {
            let permit = Permit::new(now, rate, claim.unwrap_or(Claim(u32::MAX)));
            self.permits.push(permit);
            self.pending = None;
        }
    }

    /// Returns the expected time until a permit; `None` without a current answer of the coordinator.
    pub(super) fn wait(&self, now: Time) -> Option<Millis> {
        let expected = self.permit_expected.filter(|expected| *expected > now)?;
        Some(Millis(expected.since(now).as_millis() as u64))
    }
}
