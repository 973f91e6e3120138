//! The order of the waiting jobs of a queue, and whose jobs go behind the others of their rank.
//!
//! Applies `rules::piece_order`, and for a tight service whose capacity is short `rules::customer_share`.

use crate::{
    gateway::{
        rules::{
            customer_share::RankedCustomer,
            piece_order::{Standing, WaitingJob, WaitingOrder, call_pieces, is_short},
        },
        stages::{
            batch_queue::BatchQueue,
            job::JobId,
            job_state::JobState,
            overload::{Overload, Shortage},
            scheduling_round::SchedulingRound,
        },
    },
    shared::{ids::DataCentreId, units::Time},
};

impl BatchQueue {
    /// Returns the order in which the endpoints of a data centre run the waiting jobs.
    pub(super) fn order_in(
        &self,
        now: Time,
        data_centre: &DataCentreId,
        round: &SchedulingRound,
    ) -> WaitingOrder {
        let jobs = self.waiting_jobs().map(|(id, state)| state.waiting_job(id));
        match (&self.overload, &round.shortage) {
            (Some(overload), Some(shortage)) => {
                let standing = |job: &WaitingJob<'_>| self.standing(overload, shortage, job);
                WaitingOrder::by_rank(now, jobs, data_centre, &round.counts, standing)
            }
            _ => WaitingOrder::new(now, jobs, data_centre, &round.counts),
        }
    }

    /// Returns what strict order needs to know of a waiting job.
    fn standing(&self, overload: &Overload, shortage: &Shortage, job: &WaitingJob<'_>) -> Standing {
        let state = self.jobs.get(&job.id);
        let customer = state.and_then(ranked);
        let result = state.map(JobState::result_size).unwrap_or_default();
        let pieces = call_pieces(job, shortage.first_rank, self.limits.pieces);
        Standing {
            call: overload.call_of(result, pieces),
            is_over: customer.is_some_and(|customer| shortage.over.contains(&customer)),
        }
    }

    fn waiting_jobs(&self) -> impl Iterator<Item = (JobId, &JobState)> {
        let waiting = self.jobs.iter().filter(|(_, state)| state.waiting() > 0);
        waiting.map(|(id, state)| (*id, state))
    }

    /// Returns what the waiting jobs have in common while capacity is short; `None` unless the service is tight and its
    /// capacity short. Visits each waiting job once in a round.
    pub(super) fn shortage(&self, now: Time, waiting: usize) -> Option<Shortage> {
        let overload = self.overload.as_ref()?;
        if !is_short(waiting, self.available_workers(now), self.limits.pieces) {
            return None;
        }
        let customers = self.waiting_jobs().filter_map(|(_, state)| ranked(state));
        let over = overload.over_share(now, customers);
        let jobs = self.waiting_jobs();
        let in_time = jobs.filter(|(_, state)| now <= state.objective());
        Some(Shortage {
            over,
            first_rank: in_time.map(|(_, state)| state.rank()).min(),
        })
    }
}

/// Returns the customer of a job within its rank; `None` if its daemon didn't send it.
fn ranked(state: &JobState) -> Option<RankedCustomer> {
    let rank = state.rank();
    state
        .customer()
        .map(|customer| RankedCustomer { rank, customer })
}
