//! The outstanding pieces of this daemon's requests (admitted, not completed), by service and by rank.
//!
//! Heartbeats carry their numbers, so that every daemon admits requests by the load of all daemons
//! (`rules::admission`).

use {
    crate::{
        gateway::{
            hashes::service_hash,
            peers::message::WorkNote,
            rules::{
                backlog::{Backlog, DeadlineBucket},
                piece_order::RankOrder,
            },
        },
        shared::{ids::ServiceId, units::Time},
    },
    foldhash::HashMap,
    std::collections::BTreeMap,
};

/// Determines when the pieces of a stage are sent, compared to other pieces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceRank {
    /// Time by which the stage should end.
    pub objective: Time,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
}

/// The outstanding pieces of this daemon's requests.
#[derive(Debug, Default)]
pub struct Workload {
    outstanding: HashMap<ServiceId, BTreeMap<PieceRank, u32>>,
}

impl Workload {
    /// Returns the entries for heartbeats, one for each service with outstanding pieces.
    pub fn notes(&self) -> Vec<WorkNote> {
        let services = self.outstanding.keys();
        services
            .map(|service| WorkNote {
                service: service_hash(service),
                pieces: self.outstanding(service),
            })
            .filter(|note| note.pieces > 0)
            .collect()
    }

    /// Returns the number of outstanding pieces of a service; 0 if no request has needed the service.
    pub fn outstanding(&self, service: &ServiceId) -> u32 {
        self.pieces(service).map(|(_, pieces)| pieces).sum()
    }

    /// Returns the outstanding pieces of a service by the order in which the service runs them.
    pub fn backlog(&self, now: Time, service: &ServiceId, order: RankOrder) -> Backlog {
        let mut backlog = Backlog::default();
        for (rank, pieces) in self.pieces(service) {
            let bucket = DeadlineBucket::of_job(now, order, rank.objective, rank.rank);
            backlog.add(bucket, pieces);
        }
        backlog
    }

    fn pieces(&self, service: &ServiceId) -> impl Iterator<Item = (PieceRank, u32)> {
        let ranks = self.outstanding.get(service).into_iter().flatten();
        ranks.map(|(rank, pieces)| (*rank, *pieces))
    }

    pub(crate) fn add(&mut self, service: &ServiceId, rank: PieceRank, pieces: u32) {
        if pieces > 0 {
            let ranks = self.outstanding.entry(service.clone()).or_default();
            *ranks.entry(rank).or_default() += pieces;
        }
    }

    pub(crate) fn subtract(&mut self, service: &ServiceId, rank: PieceRank, pieces: u32) {
        let Some(ranks) = self.outstanding.get_mut(service) else {
            return;
        };
        if let Some(outstanding) = ranks.get_mut(&rank) {
            *outstanding = outstanding.saturating_sub(pieces);
            if *outstanding == 0 {
                ranks.remove(&rank);
            }
        }
    }
}
