//! The model of the engines of one service: its figures, and the speed of each endpoint.

use {
    crate::{
        gateway::{
            engines::{
                evidence::{Evidence, ReporterHash, Sums},
                note::{EngineNote, ImpossibleSums, SpeedNote},
            },
            hashes::{IncarnationHash, ServiceHash},
            rules::{
                engine_model::{
                    EngineFigures, EngineLoad, EngineSample, FigureSums, SampleError,
                    ServiceFigures, ValidSample,
                },
                engine_speed::{self, SpeedSums},
            },
        },
        shared::units::{Millis, Time, WorkMillis},
    },
    foldhash::HashMap,
    thiserror::Error,
};

/// Weight from which on the samples of an endpoint are reported to other daemons, in samples.
const MIN_REPORTED: f64 = 0.05;

/// Reports an entry of another daemon that was ignored, whole or in part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoteError {
    /// No samples can have the sums.
    #[error(transparent)]
    Impossible(#[from] ImpossibleSums),
    /// The endpoint isn't in the endpoint list.
    #[error("an endpoint that isn't listed")]
    UnknownEndpoint,
}

/// How much is known of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineKnowledge {
    /// Present figures.
    pub figures: EngineFigures,
    /// Number of samples of the endpoint, less the weight that they have lost.
    pub samples: f64,
    /// Time since this daemon's own last sample or the last report of another daemon; `None` if there is none.
    pub age: Option<Millis>,
}

/// What is known of one endpoint.
#[derive(Debug, Default)]
struct EngineRecord {
    speed: Evidence<SpeedSums>,
    /// Time of the last sample or report.
    updated: Option<Time>,
    /// Time at which the figures were last logged.
    logged: Option<Time>,
}

/// The model of one service.
#[derive(Debug, Default)]
pub struct ServiceModel {
    figures: ServiceFigures,
    /// Mean logarithm of the endpoints' times over the expected ones, which is taken off each speed.
    centre: f64,
    sums: Evidence<FigureSums>,
    endpoints: HashMap<IncarnationHash, EngineRecord>,
}

impl ServiceModel {
    /// Returns the figures of an endpoint; an endpoint without samples has the factor 1.
    pub fn figures(&self, now: Time, endpoint: IncarnationHash) -> EngineFigures {
        EngineFigures {
            service: self.figures,
            speed: self.log_speed(now, endpoint).exp(),
        }
    }

    /// Returns the time to the first event at an endpoint of factor 1 that reports no slowdown.
    pub fn usual_time(&self, load: &EngineLoad) -> WorkMillis {
        self.figures.usual_time(load)
    }

    /// Returns what is known of an endpoint.
    pub fn knowledge(&self, now: Time, endpoint: IncarnationHash) -> EngineKnowledge {
        let record = self.endpoints.get(&endpoint);
        let updated = record.and_then(|record| record.updated);
        EngineKnowledge {
            figures: self.figures(now, endpoint),
            samples: record.map_or(0.0, |record| record.speed.total(now).weight()),
            age: updated.map(|updated| Millis(now.since(updated).as_millis() as u64)),
        }
    }

    fn log_speed(&self, now: Time, endpoint: IncarnationHash) -> f64 {
        let record = self.endpoints.get(&endpoint);
        let sums = record.map(|record| record.speed.total(now));
        sums.unwrap_or_default().log_speed(self.centre)
    }

    /// Adds a first event that this daemon observed.
    ///
    /// # Errors
    ///
    /// Returns an error if the values of the sample aren't valid.
    pub(super) fn record(
        &mut self,
        now: Time,
        endpoint: IncarnationHash,
        sample: EngineSample,
    ) -> Result<(), SampleError> {
        let sample = ValidSample::try_from(sample)?;
        let (load, observed) = (sample.load(), sample.usual_time());
        let log_speed = self.log_speed(now, endpoint);
        let expected = self.figures.usual_time(&load);
        let mut usual = observed;
        usual.0 /= log_speed.exp();
        let sums = FigureSums::of(&load, usual, &self.figures);
        self.sums.record(now, sums);
        let known = self.sums.total(now).weight();
        let present = log_speed + self.centre;
        let record = self.endpoints.entry(endpoint).or_default();
        record
            .speed
            .record(now, SpeedSums::of(observed, expected, present, known));
        record.updated = Some(now);
        self.fit(now);
        Ok(())
    }

    /// Merges the samples that another daemon reports.
    ///
    /// # Errors
    ///
    /// Returns the first error of an entry that was ignored; the others are merged.
    pub(super) fn merge(
        &mut self,
        now: Time,
        from: ReporterHash,
        note: &EngineNote,
        is_listed: impl Fn(IncarnationHash) -> bool,
    ) -> Result<(), NoteError> {
        let sums = note.figure_sums().map(|sums| {
            self.sums.merge(now, from, sums);
        });
        let mut result = sums.map_err(NoteError::from);
        for speed in &note.speeds {
            let merged = self.merge_speed(now, from, speed, &is_listed);
            result = result.and(merged);
        }
        self.fit(now);
        result
    }

    fn merge_speed(
        &mut self,
        now: Time,
        from: ReporterHash,
        note: &SpeedNote,
        is_listed: impl Fn(IncarnationHash) -> bool,
    ) -> Result<(), NoteError> {
        let sums = note.speed_sums()?;
        if !is_listed(note.endpoint) {
            return Err(NoteError::UnknownEndpoint);
        }
        let record = self.endpoints.entry(note.endpoint).or_default();
        record.speed.merge(now, from, sums);
        record.updated = Some(now);
        Ok(())
    }

    fn fit(&mut self, now: Time) {
        self.figures = self.figures.fit(&self.sums.total(now));
        let endpoints = self.endpoints.values();
        self.centre = engine_speed::centre(endpoints.map(|record| record.speed.total(now)));
    }

    /// Applies the decay of all samples, and drops endpoints that aren't listed or have no samples left.
    pub(super) fn refresh(&mut self, now: Time, is_listed: impl Fn(IncarnationHash) -> bool) {
        self.sums.expire(now);
        for record in self.endpoints.values_mut() {
            record.speed.expire(now);
        }
        self.endpoints
            .retain(|endpoint, record| record.speed.has_samples(now) && is_listed(*endpoint));
        self.fit(now);
    }

    /// Returns whether the figures of an endpoint are to be logged now, if they were last logged `interval` ago.
    pub(super) fn take_log(
        &mut self,
        now: Time,
        endpoint: IncarnationHash,
        interval: Millis,
    ) -> bool {
        let Some(record) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        let is_due = |logged: Time| now.since(logged) >= interval.to_duration();
        let is_due = record.logged.is_none_or(is_due);
        if is_due {
            record.logged = Some(now);
        }
        is_due
    }

    /// Returns the number of endpoints of which there are samples.
    pub(super) fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the entry about this daemon's own samples, with all endpoints that have enough; `None` without samples.
    pub(super) fn own_note(&self, now: Time, service: ServiceHash) -> Option<EngineNote> {
        let sums = self.sums.own(now);
        let own = self
            .endpoints
            .iter()
            .map(|(endpoint, record)| (*endpoint, record.speed.own(now)));
        let own = own.filter(|(_, sums)| sums.weight >= MIN_REPORTED);
        let speeds = own.map(|(endpoint, sums)| SpeedNote::new(endpoint, sums));
        let speeds: Vec<SpeedNote> = speeds.collect();
        (!speeds.is_empty()).then(|| EngineNote::new(service, &sums, speeds))
    }
}
