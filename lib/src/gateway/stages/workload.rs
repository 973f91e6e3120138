//! The pieces that requests of this daemon need and that aren't completed yet, by service and by the
//! order in which they go.
//!
//! Heartbeats carry them, so that every daemon can admit requests by the load of all
//! (`rules::admission`).

use {
    crate::{
        gateway::{
            hashes::service_hash,
            peers::message::WorkNote,
            rules::{
                backlog::{Backlog, DeadlineBucket},
                piece_order::due_time,
            },
        },
        shared::{ids::ServiceId, units::Time},
    },
    foldhash::HashMap,
    std::collections::BTreeMap,
};

/// What the place of a stage's pieces in the order depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceRank {
    /// When the stage should have ended.
    pub objective: Time,
    /// Rank of the request; 0 goes first.
    pub rank: u32,
}

/// The outstanding pieces of this daemon's requests.
#[derive(Debug, Default)]
pub struct Workload {
    outstanding: HashMap<ServiceId, BTreeMap<PieceRank, u32>>,
}

impl Workload {
    /// Returns what heartbeats carry: services without outstanding pieces are left out.
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

    /// Returns the number of outstanding pieces of a service; none if no request needed it yet.
    pub fn outstanding(&self, service: &ServiceId) -> u32 {
        self.pieces(service).map(|(_, pieces)| pieces).sum()
    }

    /// Returns the outstanding pieces of a service by their order.
    pub fn backlog(&self, now: Time, service: &ServiceId) -> Backlog {
        let mut backlog = Backlog::default();
        for (rank, pieces) in self.pieces(service) {
            let due = due_time(now, rank.objective, rank.rank);
            backlog.add(DeadlineBucket::of(now, due), pieces);
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
