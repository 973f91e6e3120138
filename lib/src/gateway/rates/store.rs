//! The endpoints that advertise a rate limit, as this daemon knows them.
//!
//! The store has a record of each. It has no clock and sends nothing: callers pass the time and send the messages that
//! it returns.

pub use crate::gateway::rates::record::RateChange;

use {
    crate::{
        gateway::{
            dialect::AdvertisedRate,
            hashes::IncarnationHash,
            rates::{
                note::{PermitNote, RateNote, at_wire_precision},
                record::{RateRecord, RateUpdate},
            },
            rules::endpoint_choice::RateLimitState,
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Rate, Time},
        },
    },
    foldhash::HashMap,
    std::net::SocketAddr,
};

/// The rate limit that an endpoint advertises in a reply, if any.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedRate {
    /// Advertised limit; absent if the reply has none.
    pub advertised: Option<AdvertisedRate>,
    /// Time at which the request of the reply was sent.
    pub sent: Time,
}

/// Messages about one endpoint that are due now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateMessages {
    /// Service of the endpoint, whose coordinator grants the permits.
    pub service: ServiceId,
    /// Share and claim for the coordinator, if due.
    pub report: Option<RateNote>,
    /// Announcement of the limit for other daemons, if due.
    pub announcement: Option<RateNote>,
}

/// A coordinator's answer to one daemon: permits, or the time until the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitAnswer {
    /// Address of the daemon.
    pub to: SocketAddr,
    /// Number of permits, and the expected time until further ones.
    pub note: PermitNote,
}

/// The records of endpoints that advertise a rate limit, or did so.
#[derive(Debug, Default)]
pub struct EndpointRates {
    records: HashMap<IncarnationHash, RateRecord>,
}

impl EndpointRates {
    /// Returns whether no endpoint has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of endpoints that advertise a limit.
    pub fn limited(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.rate().is_some()).count()
    }

    /// Returns the rate limit that an endpoint advertises, if any.
    pub fn rate(&self, incarnation: IncarnationHash) -> Option<Rate> {
        self.records.get(&incarnation)?.rate()
    }

    /// Returns whether an endpoint has a record.
    pub fn knows(&self, incarnation: IncarnationHash) -> bool {
        self.records.contains_key(&incarnation)
    }

    /// Records the limit in a reply, or its absence. A reply without a limit ends the known one only if its request was
    /// sent after the limit became known: earlier replies may have been on their way.
    pub fn observe(
        &mut self,
        now: Time,
        incarnation: IncarnationHash,
        service: &ServiceId,
        observed: ObservedRate,
    ) -> Option<RateChange> {
        let rate = observed
            .advertised
            .map(|advertised| at_wire_precision(advertised.rate));
        if rate.is_none() {
            let record = self.records.get(&incarnation)?;
            record.rate()?;
            if !record.may_end_by(observed.sent) {
                return None;
            }
        }
        self.update(now, incarnation, service, RateUpdate { rate, at: now })
    }

    /// Merges the report of another daemon.
    pub fn merge(&mut self, now: Time, service: &ServiceId, note: &RateNote) -> Option<RateChange> {
        let update = RateUpdate {
            rate: note.rate(),
            at: now - note.age(),
        };
        self.update(now, note.endpoint, service, update)
    }

    fn update(
        &mut self,
        now: Time,
        incarnation: IncarnationHash,
        service: &ServiceId,
        update: RateUpdate,
    ) -> Option<RateChange> {
        if let Some(record) = self.records.get_mut(&incarnation) {
            return record.update(now, update);
        }
        let rate = update.rate?;
        let record = RateRecord::new(now, service.clone(), update);
        self.records.insert(incarnation, record);
        Some(RateChange::Began(rate))
    }

    /// Marks that an endpoint advertised a limit that can't be read. Returns whether this is the first time; false as
    /// well for an endpoint without a record.
    pub fn mark_unclear(&mut self, incarnation: IncarnationHash) -> bool {
        let record = self.records.get_mut(&incarnation);
        record.is_some_and(|record| !std::mem::replace(&mut record.unclear_logged, true))
    }

    /// Removes the record of an endpoint.
    pub fn forget(&mut self, incarnation: IncarnationHash) {
        self.records.remove(&incarnation);
    }

    /// Returns whether a request of that urgency may be sent to an endpoint.
    pub fn may_send(&self, now: Time, incarnation: IncarnationHash, urgency: u32) -> bool {
        let record = self.records.get(&incarnation);
        record.is_none_or(|record| record.may_send(now, urgency))
    }

    /// Returns the state of the rate limit for an endpoint that may get a request.
    pub fn limit(&self, now: Time, incarnation: IncarnationHash) -> RateLimitState {
        let record = self.records.get(&incarnation);
        record.map_or(RateLimitState::None, |record| record.limit(now))
    }

    /// Returns the number of valid permits for an endpoint; `None` if it has no limit.
    pub fn permits(&self, now: Time, incarnation: IncarnationHash) -> Option<usize> {
        self.records.get(&incarnation)?.permits(now)
    }

    /// Uses up a permit for an endpoint that advertises a limit.
    pub fn use_permit(&mut self, now: Time, incarnation: IncarnationHash, urgency: u32) {
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.use_permit(now, urgency);
        }
    }

    /// Records that a request wasn't sent to an endpoint for lack of a permit; returns whether the claim is to be sent
    /// to the coordinator at once.
    pub fn record_denied(&mut self, now: Time, incarnation: IncarnationHash, urgency: u32) -> bool {
        let record = self.records.get_mut(&incarnation);
        record.is_some_and(|record| record.record_denied(now, urgency))
    }

    /// Returns the expected time until a permit for an endpoint; `None` if it isn't known.
    pub fn wait(&self, now: Time, incarnation: IncarnationHash) -> Option<Millis> {
        self.records.get(&incarnation)?.wait(now)
    }

    /// Returns the messages that are due now, as one of `daemons`. No share is handed to coordinators while the number
    /// of daemons is unknown.
    pub fn messages(&mut self, now: Time, daemons: Option<usize>) -> Vec<RateMessages> {
        let messages = self.records.iter_mut().map(|(incarnation, record)| {
            record.count_share(now, daemons);
            RateMessages {
                service: record.service.clone(),
                report: record.report(now, *incarnation),
                announcement: record.announcement(now, *incarnation),
            }
        });
        let is_due =
            |messages: &RateMessages| messages.report.is_some() || messages.announcement.is_some();
        messages.filter(is_due).collect()
    }

    /// Takes a daemon's report as the coordinator, and returns the permits that are granted now. A daemon with a claim
    /// always gets an answer, even without permits.
    pub fn take_report(
        &mut self,
        now: Time,
        from: SocketAddr,
        note: &RateNote,
    ) -> Vec<PermitAnswer> {
        let incarnation = note.endpoint;
        let Some(record) = self.records.get_mut(&incarnation) else {
            return Vec::new();
        };
        let Some(rate) = record.rate() else {
            return Vec::new();
        };
        let pool = &mut record.pool;
        pool.expire(now);
        pool.deposit(now, rate, note.share());
        if let Some(claim) = note.claim {
            pool.claim(now, from, claim);
        }
        let mut granted: HashMap<SocketAddr, u32> = HashMap::default();
        if note.claim.is_some() {
            granted.insert(from, 0);
        }
        while let Some(address) = pool.grant(now) {
            *granted.entry(address).or_default() += 1;
        }
        let answers = granted.into_iter().map(|(to, permits)| PermitAnswer {
            to,
            note: PermitNote {
                endpoint: incarnation,
                permits,
                wait_ms: pool.wait(now, rate, to).0 as u32,
            },
        });
        answers.collect()
    }

    /// Returns the entry for an endpoint if it is newer than the one of another daemon and they differ in whether there
    /// is a limit.
    pub fn newer(&self, now: Time, note: &RateNote) -> Option<RateNote> {
        let local = self.records.get(&note.endpoint)?.note(now, note.endpoint);
        let differs = local.rate_milli.is_some() != note.rate_milli.is_some();
        (differs && local.age_ms < note.age_ms).then_some(local)
    }

    /// Records a coordinator's answer to a claim.
    pub fn record_granted(&mut self, now: Time, note: &PermitNote) {
        if let Some(record) = self.records.get_mut(&note.endpoint) {
            record.record_granted(now, note);
        }
    }
}
