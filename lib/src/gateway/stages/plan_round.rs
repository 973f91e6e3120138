//! What the calls of one planning share, gathered once and counted down as calls take their parts.
//!
//! Owns the state of one planning. Relies on `rules::piece_order` for the order of the jobs.

use {
    crate::{
        gateway::{
            rules::piece_order::{DataCentreCounts, WaitingOrder},
            stages::{batch_call::SentPiece, workers::FreeWorker},
        },
        shared::ids::DataCentreId,
    },
    foldhash::HashMap,
};

/// What the calls of one planning share: the free endpoints, and the order of the jobs in each data centre. It is
/// gathered once, and each call takes its part from it.
pub(super) struct PlanRound {
    /// The free endpoints, in the order in which they get calls.
    pub(super) free: Vec<FreeWorker>,
    /// The number of them in each data centre.
    free_counts: HashMap<DataCentreId, usize>,
    /// That number before any call of this planning.
    idle_counts: HashMap<DataCentreId, usize>,
    /// Endpoints that may be called at all, by data centre.
    pub(super) counts: DataCentreCounts,
    /// The jobs in order, for each data centre that was asked for.
    pub(super) orders: HashMap<DataCentreId, WaitingOrder>,
    /// Pieces that wait.
    pub(super) waiting: usize,
}

impl PlanRound {
    pub(super) fn new(free: Vec<FreeWorker>, counts: DataCentreCounts, waiting: usize) -> Self {
        let mut free_counts: HashMap<DataCentreId, usize> = HashMap::default();
        for worker in &free {
            *free_counts.entry(worker.data_centre.clone()).or_default() += 1;
        }
        Self {
            free,
            idle_counts: free_counts.clone(),
            free_counts,
            counts,
            orders: HashMap::default(),
            waiting,
        }
    }

    /// Returns the number of free endpoints in a data centre.
    pub(super) fn free_in(&self, data_centre: &DataCentreId) -> usize {
        self.free_counts.get(data_centre).copied().unwrap_or(0)
    }

    /// Returns the number of endpoints in a data centre that were free before this planning.
    pub(super) fn idle_in(&self, data_centre: &DataCentreId) -> usize {
        self.idle_counts.get(data_centre).copied().unwrap_or(0)
    }

    /// Removes an endpoint that isn't free any more.
    pub(super) fn remove(&mut self, place: usize) {
        let worker = self.free.remove(place);
        if let Some(count) = self.free_counts.get_mut(&worker.data_centre) {
            *count -= 1;
        }
    }

    /// Records the pieces that a call took.
    pub(super) fn take(&mut self, pieces: &[SentPiece]) {
        self.waiting -= pieces.len();
        for order in self.orders.values_mut() {
            for sent in pieces {
                order.take(sent.piece.job, 1);
            }
        }
    }
}
