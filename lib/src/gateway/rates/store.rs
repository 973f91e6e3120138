//! The endpoints that name a rate, as this daemon knows them.
//!
//! Owns a record of each. It has no clock and sends nothing: callers pass the time and send what it returns.

pub use crate::gateway::rates::record::RateChange;

use {
    crate::{
        gateway::{
            dialect::AdvertisedRate,
            hashes::IncarnationHash,
            rates::{
                note::{PermitNote, RateNote, as_told},
                record::{RateNews, RateRecord},
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

/// The rate that a reply of an endpoint names, if any.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeenRate {
    /// What the reply names.
    pub named: Option<AdvertisedRate>,
    /// When the request was sent.
    pub sent: Time,
}

/// What a daemon has to tell of one endpoint now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateMessages {
    /// The endpoint's service, whose coordinator gives permits.
    pub service: ServiceId,
    /// For the coordinator.
    pub report: Option<RateNote>,
    /// For others.
    pub telling: Option<RateNote>,
}

/// Permits, or the time to the next one, for one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitAnswer {
    /// The daemon.
    pub to: SocketAddr,
    /// What it gets.
    pub note: PermitNote,
}

/// The endpoints that name a rate, or did so.
#[derive(Debug, Default)]
pub struct EndpointRates {
    records: HashMap<IncarnationHash, RateRecord>,
}

impl EndpointRates {
    /// Returns whether no endpoint has named a rate so far.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of endpoints that name a rate.
    pub fn limited(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.rate().is_some()).count()
    }

    /// Returns the rate that an endpoint names.
    pub fn rate(&self, life: IncarnationHash) -> Option<Rate> {
        self.records.get(&life)?.rate()
    }

    /// Returns whether anything is known of an endpoint.
    pub fn knows(&self, life: IncarnationHash) -> bool {
        self.records.contains_key(&life)
    }

    /// Records what a reply says. One that names no rate ends the last one only if its request was sent after
    /// that was known: others may have been on their way.
    pub fn observe(
        &mut self,
        now: Time,
        life: IncarnationHash,
        service: &ServiceId,
        seen: SeenRate,
    ) -> Option<RateChange> {
        let rate = seen.named.map(|named| as_told(named.rate));
        if rate.is_none() {
            let record = self.records.get(&life)?;
            record.rate()?;
            if !record.may_end_by(seen.sent) {
                return None;
            }
        }
        self.update(now, life, service, RateNews { rate, at: now })
    }

    /// Merges what another daemon knows of an endpoint.
    pub fn merge(&mut self, now: Time, service: &ServiceId, note: &RateNote) -> Option<RateChange> {
        let news = RateNews {
            rate: note.rate(),
            at: now - note.age(),
        };
        self.update(now, note.endpoint, service, news)
    }

    fn update(
        &mut self,
        now: Time,
        life: IncarnationHash,
        service: &ServiceId,
        news: RateNews,
    ) -> Option<RateChange> {
        if let Some(record) = self.records.get_mut(&life) {
            return record.update(now, news);
        }
        let rate = news.rate?;
        let record = RateRecord::new(now, service.clone(), news);
        self.records.insert(life, record);
        Some(RateChange::Began(rate))
    }

    /// Returns whether it is the first time that an endpoint names no clear rate.
    pub fn is_first_unclear(&mut self, life: IncarnationHash) -> bool {
        let record = self.records.get_mut(&life);
        record.is_some_and(|record| !std::mem::replace(&mut record.reported, true))
    }

    /// Forgets an endpoint.
    pub fn forget(&mut self, life: IncarnationHash) {
        self.records.remove(&life);
    }

    /// Returns whether a request of some urgency may be sent to an endpoint.
    pub fn may_send(&self, now: Time, life: IncarnationHash, urgency: u32) -> bool {
        let record = self.records.get(&life);
        record.is_none_or(|record| record.may_send(now, urgency))
    }

    /// Returns whether an endpoint that may get a request names the rate that it takes.
    pub fn limit(&self, now: Time, life: IncarnationHash) -> RateLimitState {
        let record = self.records.get(&life);
        record.map_or(RateLimitState::None, |record| record.limit(now))
    }

    /// Returns the permits for an endpoint that may be used; nothing where none is needed.
    pub fn permits(&self, now: Time, life: IncarnationHash) -> Option<usize> {
        self.records.get(&life)?.permits(now)
    }

    /// Uses up a permit for an endpoint that names a rate.
    pub fn sent(&mut self, now: Time, life: IncarnationHash, urgency: u32) {
        if let Some(record) = self.records.get_mut(&life) {
            record.sent(now, urgency);
        }
    }

    /// Records that a request wasn't sent to an endpoint for lack of a permit; returns whether the coordinator is to be
    /// told at once.
    pub fn turned_away(&mut self, now: Time, life: IncarnationHash, urgency: u32) -> bool {
        let record = self.records.get_mut(&life);
        record.is_some_and(|record| record.turned_away(now, urgency))
    }

    /// Returns the time after which a permit for an endpoint may be expected; nothing if that isn't known.
    pub fn wait(&self, now: Time, life: IncarnationHash) -> Option<Millis> {
        self.records.get(&life)?.wait(now)
    }

    /// Returns what is to be told now, as one of so many daemons; nothing is handed on while this daemon doesn't know
    /// the others.
    pub fn messages(&mut self, now: Time, daemons: Option<usize>) -> Vec<RateMessages> {
        let messages = self.records.iter_mut().map(|(life, record)| {
            record.count_share(now, daemons);
            RateMessages {
                service: record.service.clone(),
                report: record.report(now, *life),
                telling: record.telling(now, *life),
            }
        });
        let something =
            |messages: &RateMessages| messages.report.is_some() || messages.telling.is_some();
        messages.filter(something).collect()
    }

    /// Takes a daemon's report as the coordinator, and returns who gets permits now; the daemon itself is answered in any
    /// case if it wants some.
    pub fn take_report(
        &mut self,
        now: Time,
        from: SocketAddr,
        note: &RateNote,
    ) -> Vec<PermitAnswer> {
        let life = note.endpoint;
        let Some(record) = self.records.get_mut(&life) else {
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
                endpoint: life,
                permits,
                wait_ms: pool.wait(now, rate, to).0 as u32,
            },
        });
        answers.collect()
    }

    /// Returns what is known of an endpoint if that is newer than what another daemon tells of it.
    pub fn newer(&self, now: Time, note: &RateNote) -> Option<RateNote> {
        let own = self.records.get(&note.endpoint)?.note(now, note.endpoint);
        let differs = own.rate_milli.is_some() != note.rate_milli.is_some();
        (differs && own.age_ms < note.age_ms).then_some(own)
    }

    /// Takes the coordinator's answer.
    pub fn granted(&mut self, now: Time, note: &PermitNote) {
        if let Some(record) = self.records.get_mut(&note.endpoint) {
            record.granted(now, note);
        }
    }
}
