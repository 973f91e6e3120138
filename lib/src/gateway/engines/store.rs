//! The models of the engines of all tight services.

use {
    crate::{
        gateway::{
            engines::{
                evidence::ReporterHash,
                note::EngineNote,
                service_model::{EngineKnowledge, NoteError, ServiceModel},
            },
            hashes::{IncarnationHash, service_hash},
            rules::{
                engine_model::{EngineLoad, EngineSample, SampleError},
                tight_objective::TightServices,
            },
        },
        shared::{
            fifo_map::FifoMap,
            ids::ServiceId,
            units::{Millis, Time, WorkMillis},
        },
    },
    foldhash::HashMap,
    rand::{Rng, seq::SliceRandom},
    std::mem,
};

/// Largest number of services in one report, so that it has at most 1,200 bytes (test `engine_report_size`). If there
/// are more, each report draws some.
pub const MAX_REPORT_SERVICES: usize = 4;

/// Largest number of endpoints of all services in one report.
pub const MAX_REPORT_ENDPOINTS: usize = 64;

/// Shortest time between two log events about an endpoint.
const LOG_INTERVAL: Millis = Millis(10_000);

/// Number of daemons, and of endpoints, that are remembered as having caused values that can't be used, to log each of
/// them once.
const MAX_FAULTY: usize = 128;

/// The models of the engines of all tight services.
#[derive(Debug, Default)]
pub struct EngineModels {
    services: HashMap<ServiceId, ServiceModel>,
    /// Daemons whose entries couldn't be used, with whether that was logged.
    faulty: FifoMap<ReporterHash, bool, MAX_FAULTY>,
    /// Endpoints whose samples weren't valid, with whether that was logged.
    unclear: FifoMap<IncarnationHash, bool, MAX_FAULTY>,
}

impl EngineModels {
    /// Keeps models of the services that are tight, and of no others.
    pub fn set_services(&mut self, tight: &TightServices) {
        self.services.retain(|service, _| tight.has_engine(service));
        for service in tight.engines() {
            self.services.entry(service.clone()).or_default();
        }
    }

    /// Returns whether there is no tight service.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the model of a service; `None` if it isn't tight.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceModel> {
        self.services.get(service)
    }

    /// Returns the tight services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns the number of endpoints of which there are samples.
    pub fn endpoints(&self) -> usize {
        self.services.values().map(ServiceModel::endpoints).sum()
    }

    /// Returns the expected time from sending a request to its first event; `None` if the service isn't tight.
    pub fn first_event(
        &self,
        now: Time,
        service: &ServiceId,
        endpoint: IncarnationHash,
        load: EngineLoad,
    ) -> Option<WorkMillis> {
        let figures = self.services.get(service)?.figures(now, endpoint);
        Some(figures.first_event(&load))
    }

    /// Adds a first event that this daemon observed. Returns what is known of the endpoint if that is to be logged now.
    /// Does nothing if the service isn't tight.
    ///
    /// # Errors
    ///
    /// Returns an error if the values of the sample aren't valid; it is ignored.
    pub fn record_first_event(
        &mut self,
        now: Time,
        service: &ServiceId,
        endpoint: IncarnationHash,
        sample: EngineSample,
    ) -> Result<Option<EngineKnowledge>, SampleError> {
        let Some(model) = self.services.get_mut(service) else {
            return Ok(None);
        };
        model.record(now, endpoint, sample)?;
        let is_due = model.take_log(now, endpoint, LOG_INTERVAL);
        Ok(is_due.then(|| model.knowledge(now, endpoint)))
    }

    /// Records that a sample of an endpoint wasn't valid; returns whether it is the first one.
    pub(crate) fn record_unclear(&mut self, endpoint: IncarnationHash) -> bool {
        !mem::replace(self.unclear.entry(endpoint), true)
    }

    /// Merges the samples that another daemon reports. Entries about services that aren't tight here are ignored, since
    /// the daemons may have different tables for a while.
    ///
    /// # Errors
    ///
    /// Returns why an entry was ignored, once for each daemon.
    pub fn merge(
        &mut self,
        now: Time,
        from: ReporterHash,
        notes: &[EngineNote],
        is_listed: impl Fn(&ServiceId, IncarnationHash) -> bool,
    ) -> Result<(), NoteError> {
        let mut result = Ok(());
        for note in notes.iter().take(MAX_REPORT_SERVICES) {
            let mut services = self.services.iter_mut();
            let known = services.find(|(service, _)| service_hash(service) == note.service);
            if let Some((service, model)) = known {
                let listed = |endpoint| is_listed(service, endpoint);
                result = result.and(model.merge(now, from, note, listed));
            }
        }
        if result.is_err() && mem::replace(self.faulty.entry(from), true) {
            return Ok(());
        }
        result
    }

    /// Applies the decay of all samples, and drops endpoints that aren't listed.
    pub fn refresh(&mut self, now: Time, is_listed: impl Fn(&ServiceId, IncarnationHash) -> bool) {
        for (service, model) in &mut self.services {
            model.refresh(now, |endpoint| is_listed(service, endpoint));
        }
    }

    /// Returns the entries about this daemon's own samples, as many as fit into one report.
    pub fn report(&self, now: Time, rng: &mut impl Rng) -> Vec<EngineNote> {
        let services = self.services.iter();
        let notes = services.filter_map(|(id, model)| model.own_note(now, service_hash(id)));
        let mut notes: Vec<EngineNote> = notes.collect();
        notes.shuffle(rng);
        notes.truncate(MAX_REPORT_SERVICES);
        let share = MAX_REPORT_ENDPOINTS / notes.len().max(1);
        for note in &mut notes {
            note.speeds.shuffle(rng);
            note.speeds.truncate(share);
        }
        notes
    }
}
