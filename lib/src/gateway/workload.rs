//! Pieces that this daemon has taken on and that aren't made yet, and those of all daemons.

use {
    crate::{
        gateway::{
            admission::{self, AdmissionRequest, PlannedStage, StageService, Verdict},
            dialect::{Dialect, Inbound},
            peer_message::WorkNote,
            state::{Gateway, short_hash_of},
            table::Route,
        },
        ids::ServiceId,
        units::ByteSize,
    },
    foldhash::HashMap,
    std::rc::Rc,
};

/// What this daemon has taken on.
#[derive(Debug, Default)]
pub struct Workload {
    outstanding: HashMap<ServiceId, u32>,
}

impl Workload {
    /// Returns what is told to other daemons.
    pub fn notes(&self) -> Vec<WorkNote> {
        let some = self.outstanding.iter().filter(|(_, pieces)| **pieces > 0);
        some.map(|(service, pieces)| WorkNote(short_hash_of(service), *pieces))
            .collect()
    }

    /// Returns the pieces taken on by this daemon.
    pub fn outstanding(&self, service: &ServiceId) -> u32 {
        self.outstanding.get(service).copied().unwrap_or(0)
    }

    fn add(&mut self, service: &ServiceId, pieces: u32) {
        *self.outstanding.entry(service.clone()).or_default() += pieces;
    }

    fn subtract(&mut self, service: &ServiceId, pieces: u32) {
        if let Some(outstanding) = self.outstanding.get_mut(service) {
            *outstanding = outstanding.saturating_sub(pieces);
        }
    }
}

/// Pieces of one request that aren't made yet; those left are given back when it is dropped.
#[derive(Debug)]
pub struct WorkClaim<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    stages: Vec<(ServiceId, u32)>,
}

impl<D: Dialect> WorkClaim<D> {
    /// Takes on the pieces of a request.
    pub fn new(gateway: &Rc<Gateway<D>>, route: &Route, pieces: &[u32]) -> Self {
        let mut state = gateway.state.borrow_mut();
        let mut stages = Vec::with_capacity(route.stages.len());
        for (i, stage) in route.stages.iter().enumerate() {
            let count = pieces.get(i).copied().unwrap_or(0);
            state.workload.add(&stage.service, count);
            stages.push((stage.service.clone(), count));
        }
        drop(state);
        Self {
            gateway: gateway.clone(),
            stages,
        }
    }

    /// Notes that a stage is over.
    pub fn settle(&mut self, stage: usize) {
        let (service, count) = &mut self.stages[stage];
        let pieces = std::mem::take(count);
        let mut state = self.gateway.state.borrow_mut();
        state.workload.subtract(service, pieces);
    }
}

impl<D: Dialect> Drop for WorkClaim<D> {
    fn drop(&mut self) {
        for stage in 0..self.stages.len() {
            self.settle(stage);
        }
    }
}

/// Decides whether a request with stages is taken.
pub fn admit<D: Dialect>(gateway: &Gateway<D>, route: &Route, inbound: &Inbound) -> Verdict {
    let stages = route
        .stages
        .iter()
        .enumerate()
        .map(|(i, stage)| PlannedStage {
            service: stage_service(gateway, &stage.service, stage.result),
            pieces: inbound.pieces.get(i).copied().unwrap_or(0),
            after: stage.after.clone(),
        })
        .collect();
    admission::decide(&AdmissionRequest {
        stages,
        objective: route.objective,
        rank: route.rank,
        tokens: inbound.prompt.tokens_in,
    })
}

fn stage_service<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    result: ByteSize,
) -> StageService {
    let now = gateway.now();
    let published = gateway.published();
    let limits = published
        .as_ref()
        .and_then(|published| published.table.service(service)?.batch);
    let state = gateway.state.borrow();
    let endpoints = state
        .fleet
        .service(service)
        .filter(|member| member.is_open())
        .count();
    let hash = short_hash_of(service);
    let elsewhere = state.peers.outstanding(hash);
    let ready = state.planning.sound_endpoints(now, service);
    let reported = state.peers.sound_endpoints(hash);
    let outstanding = f64::from(state.workload.outstanding(service)) + f64::from(elsewhere);
    let (batch, call_ms, piece_ms, room) = limits.map_or((1, 0.0, 0.0, f64::MAX), |limits| {
        let results = limits.room.0 as f64 / result.0.max(1) as f64;
        (limits.pieces, limits.call_ms, limits.piece_ms, results)
    });
    StageService {
        endpoints: ready.or(reported).unwrap_or(endpoints).min(endpoints),
        batch,
        call_ms,
        piece_ms,
        room,
        outstanding,
    }
}
