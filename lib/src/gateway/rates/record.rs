//! One endpoint that names a rate, or did so: what it said last, this daemon's part in it, and what the fleet handed to
//! this daemon while it coordinates.

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

/// Time between two reports of a daemon's share to the coordinator while it has no claim.
const REPORT_PAUSE: Millis = Millis(500);

/// Times that others are told at once of a change, a heartbeat apart.
const RATE_TELLINGS: u32 = 3;

/// Time between two tellings later on, for daemons that have just started.
const RETELL: Millis = Millis(1_000);

/// Time for which others are told that an endpoint names no rate any more.
const END_TOLD: Millis = Millis(10_000);

/// A change of what an endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// It names a rate from now on.
    Began(Rate),
    /// It names another one.
    Changed(Rate),
    /// It names none any more.
    Ended,
}

/// What an endpoint said last, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RateNews {
    /// The rate that it names, if any.
    pub(super) rate: Option<Rate>,
    pub(super) at: Time,
}

/// What this daemon wants to send, until it gets permits.
#[derive(Debug, Clone, Copy)]
struct Want {
    claim: Claim,
    at: Time,
    /// When the coordinator was last told.
    claimed: Option<Time>,
}

impl Want {
    fn is_recent(&self, now: Time) -> bool {
        now.since(self.at) < CLAIM_LIFETIME.to_duration()
    }

    fn is_due(&self, now: Time) -> bool {
        let is_due = |claimed| now.since(claimed) >= CLAIM_RENEWAL_INTERVAL.to_duration();
        self.is_recent(now) && self.claimed.is_none_or(is_due)
    }
}

#[derive(Debug)]
pub(super) struct RateRecord {
    pub(super) service: ServiceId,
    news: RateNews,
    /// Since when this daemon knows that the endpoint names a rate.
    since: Time,
    /// A reply without a clear rate was reported.
    pub(super) reported: bool,
    tellings: u32,
    told: Option<Time>,
    share: RateShare,
    handed: Option<Time>,
    want: Option<Want>,
    permits: Vec<Permit>,
    /// When the first permit may be expected, as the coordinator told.
    expected: Option<Time>,
    pub(super) pool: PermitPool,
}

impl RateRecord {
    pub(super) fn new(now: Time, service: ServiceId, news: RateNews) -> Self {
        Self {
            service,
            news,
            since: now,
            reported: false,
            tellings: RATE_TELLINGS,
            told: None,
            share: RateShare::new(now),
            handed: None,
            want: None,
            permits: Vec::new(),
            expected: None,
            pool: PermitPool::default(),
        }
    }

    /// Returns the rate that the endpoint names.
    pub(super) fn rate(&self) -> Option<Rate> {
        self.news.rate
    }

    /// Returns whether a reply to a request that was sent then shows that the endpoint names no rate any more: others
    /// were on their way when it began to.
    pub(super) fn may_end_by(&self, sent: Time) -> bool {
        sent > self.since
    }

    /// Takes over what the endpoint said; what is older changes nothing.
    pub(super) fn update(&mut self, now: Time, news: RateNews) -> Option<RateChange> {
        let known = self.news;
        let counts = match (known.rate, news.rate) {
            (Some(_), None) => may_end_limit(known.at, news.at),
            _ => news.at > known.at,
        };
        if !counts {
            return None;
        }
        self.news = news;
        let change = match (known.rate, news.rate) {
            (None, Some(rate)) => RateChange::Began(rate),
            (Some(_), None) => RateChange::Ended,
            (Some(old), Some(rate)) if old != rate => RateChange::Changed(rate),
            _ => return None,
        };
        self.tellings = RATE_TELLINGS;
        if !matches!(change, RateChange::Changed(_)) {
            self.begin(now);
        }
        Some(change)
    }

    /// Starts anew with what depends on whether the endpoint names a rate.
    fn begin(&mut self, now: Time) {
        self.since = now;
        self.share = RateShare::new(now);
        self.want = None;
        self.permits.clear();
        self.expected = None;
        self.pool = PermitPool::default();
    }

    /// Returns whether a request of some urgency may be sent there.
    pub(super) fn may_send(&self, now: Time, urgency: u32) -> bool {
        let serves = |permit: &Permit| permit.serves(now, urgency);
        self.news.rate.is_none() || self.permits.iter().any(serves)
    }

    /// Returns whether the endpoint, if it may get a request, names the rate that it takes.
    pub(super) fn limit(&self, now: Time) -> RateLimitState {
        match self.news.rate {
            None => RateLimitState::None,
            Some(_) if is_probe_due(now, self.news.at) => RateLimitState::ProbeDue,
            Some(_) => RateLimitState::Permitted,
        }
    }

    /// Returns the permits that may be used; nothing where none is needed.
    pub(super) fn permits(&self, now: Time) -> Option<usize> {
        self.news.rate?;
        let valid = self.permits.iter().filter(|permit| permit.is_valid(now));
        Some(valid.count())
    }

    /// Uses up a permit.
    pub(super) fn sent(&mut self, now: Time, urgency: u32) {
        self.permits.retain(|permit| permit.is_valid(now));
        let mut permits = self.permits.iter();
        if let Some(used) = permits.position(|permit| permit.serves(now, urgency)) {
            self.permits.remove(used);
        }
    }

    /// Records that a request wasn't sent there for lack of a permit; returns whether the coordinator is to be told at
    /// once.
    pub(super) fn turned_away(&mut self, now: Time, urgency: u32) -> bool {
        let fresh = Want {
            claim: Claim(urgency),
            at: now,
            claimed: None,
        };
        let known = self.want.filter(|want| want.is_recent(now));
        let want = known.map_or(fresh, |want| Want {
            claim: want.claim.min(Claim(urgency)),
            at: now,
            claimed: want.claimed.filter(|_| want.claim <= Claim(urgency)),
        });
        self.want = Some(want);
        want.is_due(now)
    }

    /// Counts this daemon's share, as one of so many; nothing while it doesn't know the others.
    pub(super) fn count_share(&mut self, now: Time, daemons: Option<usize>) {
        match (self.news.rate, daemons) {
            (Some(rate), Some(daemons)) => self.share.accrue(now, rate, daemons),
            _ => self.share.skip_until(now),
        }
    }

    /// Returns what the coordinator is told now, if it is time to.
    pub(super) fn report(&mut self, now: Time, endpoint: IncarnationHash) -> Option<RateNote> {
        self.news.rate?;
        let claim_due = self.want.is_some_and(|want| want.is_due(now));
        let pause_over = |handed| now.since(handed) >= REPORT_PAUSE.to_duration();
        if !claim_due && !self.handed.is_none_or(pause_over) {
            return None;
        }
        self.handed = Some(now);
        let share_micro = tokens_to_wire(self.share.take());
        let want = self.want.as_mut().filter(|want| want.is_recent(now));
        let claim = want.map(|want| {
            want.claimed = Some(now);
            want.claim
        });
        Some(RateNote {
            share_micro,
            claim,
            ..self.note(now, endpoint)
        })
    }

    /// Returns what others are told now, if it is time to.
    pub(super) fn telling(&mut self, now: Time, endpoint: IncarnationHash) -> Option<RateNote> {
        if self.news.rate.is_none() && now.since(self.news.at) >= END_TOLD.to_duration() {
            return None;
        }
        let pause = if self.tellings > 0 { HEARTBEAT } else { RETELL };
        let is_first = self.tellings == RATE_TELLINGS;
        let told = |told| now.since(told) >= pause.to_duration();
        if !is_first && !self.told.is_none_or(told) {
            return None;
        }
        self.tellings = self.tellings.saturating_sub(1);
        self.told = Some(now);
        Some(self.note(now, endpoint))
    }

    /// Returns what is known of the endpoint.
    pub(super) fn note(&self, now: Time, endpoint: IncarnationHash) -> RateNote {
        let age = now.since(self.news.at).as_millis();
        RateNote {
            endpoint,
            rate_milli: self.news.rate.map(rate_to_wire),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            share_micro: 0,
            claim: None,
        }
    }

    /// Takes the answer of the coordinator.
    pub(super) fn granted(&mut self, now: Time, note: &PermitNote) {
        let Some(rate) = self.news.rate else {
            return;
        };
        self.expected = Some(now + Millis(u64::from(note.wait_ms)));
        let claim = self.want.map(|want| want.claim);
        for _ in 0..note.permits {
            let permit = Permit::new(now, rate, claim.unwrap_or(Claim(u32::MAX)));
            self.permits.push(permit);
            self.want = None;
        }
    }

    /// Returns the time after which a permit may be expected; nothing if the coordinator hasn't told.
    pub(super) fn wait(&self, now: Time) -> Option<Millis> {
        let expected = self.expected.filter(|expected| *expected > now)?;
        Some(Millis(expected.since(now).as_millis() as u64))
    }
}
