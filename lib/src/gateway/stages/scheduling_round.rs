//! The state of one scheduling round, in which the calls to be sent now are built.
//!
//! It is gathered once and updated for each scheduled call. Relies on `rules::piece_order` for the order of the jobs.

use {
    crate::{
        gateway::{
            rules::piece_order::{DataCentreCounts, WaitingOrder},
            stages::{batch_call::SentPiece, overload::Shortage, workers::FreeWorker},
        },
        shared::ids::DataCentreId,
    },
    foldhash::HashMap,
};

/// The free endpoints and the waiting jobs of one scheduling round; each scheduled call is subtracted.
pub(super) struct SchedulingRound {
    /// Free endpoints, in the order in which they get calls.
    pub(super) free: Vec<FreeWorker>,
    /// Number of free endpoints in each data centre.
    free_counts: HashMap<DataCentreId, usize>,
    /// Number of free endpoints in each data centre before the first call of this round.
    idle_counts: HashMap<DataCentreId, usize>,
    /// Number of endpoints in each data centre that may get calls, busy or not.
    pub(super) counts: DataCentreCounts,
    /// Order of the waiting jobs, for each data centre whose order was needed so far.
    pub(super) orders: HashMap<DataCentreId, WaitingOrder>,
    /// Number of waiting pieces.
    pub(super) waiting: usize,
    /// What the waiting jobs have in common, if the service is tight and its capacity short; `None` otherwise.
    pub(super) shortage: Option<Shortage>,
}

impl SchedulingRound {
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
            shortage: None,
        }
    }

    /// Returns the number of free endpoints in a data centre.
    pub(super) fn free_in(&self, data_centre: &DataCentreId) -> usize {
        self.free_counts.get(data_centre).copied().unwrap_or(0)
    }

    /// Returns the number of endpoints in a data centre that were free before the first call of this round.
    pub(super) fn idle_in(&self, data_centre: &DataCentreId) -> usize {
        self.idle_counts.get(data_centre).copied().unwrap_or(0)
    }

    /// Removes an endpoint that is no longer free.
    pub(super) fn remove(&mut self, index: usize) {
        let worker = self.free.remove(index);
        if let Some(count) = self.free_counts.get_mut(&worker.data_centre) {
            *count -= 1;
        }
    }

    /// Subtracts the pieces of a scheduled call from the waiting pieces.
    pub(super) fn subtract(&mut self, pieces: &[SentPiece]) {
        self.waiting -= pieces.len();
        for order in self.orders.values_mut() {
            for sent in pieces {
                order.take(sent.piece.job, 1);
            }
        }
    }
}
