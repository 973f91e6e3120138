//! State and values by which the stages of tight routes are served under overload.
//!
//! Owns what the queue of a tight service learns: the costs of its kinds of pieces and the pieces sent for each
//! customer. Relies on `rules::piece_cost`, `rules::customer_share` and `rules::call_length` for the decisions. The
//! state is gone with the queue: a coordinator that takes over starts with the table's costs and without counts.

use {
    crate::{
        gateway::{
            rules::{
                call_length::longest_call,
                call_timing::CallCost,
                customer_share::{RankedCustomer, SentPieces},
                piece_cost::{KindCounts, PieceCosts, PieceKind},
                worker_slowdown::Slowdown,
            },
            stages::{
                batch_call::{CallEnd, RunningCall, SentPiece},
                job::{CustomerHash, PieceEnd},
            },
        },
        shared::units::{ByteSize, Time, WorkMillis},
    },
    foldhash::HashSet,
};

/// What the waiting jobs of a tight service have in common while its capacity is short.
#[derive(Debug)]
pub(super) struct Shortage {
    /// Customers that go behind the others of their rank.
    pub(super) over: HashSet<RankedCustomer>,
    /// Most urgent rank with jobs that haven't passed their objectives.
    pub(super) first_rank: Option<u32>,
}

/// What the queue of a tight service has learnt from its calls.
#[derive(Debug)]
pub(super) struct Overload {
    costs: PieceCosts,
    sent: SentPieces,
}

impl Overload {
    pub(super) fn new(stated: CallCost) -> Self {
        Self {
            costs: PieceCosts::new(stated),
            sent: SentPieces::default(),
        }
    }

    /// Sets the costs that the table states; learnt costs are dropped if these have changed.
    pub(super) fn set_stated(&mut self, stated: CallCost) {
        if self.costs.stated() != stated {
            self.costs = PieceCosts::new(stated);
        }
    }

    /// Returns the time that a call with these pieces should take.
    pub(super) fn expected(&self, pieces: &[SentPiece]) -> WorkMillis {
        self.costs.expected(&kinds(pieces))
    }

    /// Returns the time that a piece with a result of this size adds to a call.
    pub(super) fn piece(&self, result: ByteSize) -> WorkMillis {
        self.costs.piece(PieceKind(result))
    }

    /// Returns the time that a call of only `pieces` pieces with results of this size should take.
    pub(super) fn call_of(&self, result: ByteSize, pieces: usize) -> WorkMillis {
        let fixed = self.costs.stated().fixed;
        WorkMillis(fixed.0 + self.piece(result).0 * pieces as f64)
    }

    /// Learns the costs of pieces from a call that completed all of its pieces.
    pub(super) fn call_ended(&mut self, now: Time, call: &RunningCall, end: &CallEnd) {
        let CallEnd::Answered(ends) = end else {
            return;
        };
        let is_completed = |end: &PieceEnd| matches!(end, PieceEnd::Completed(_));
        if ends.len() == call.pieces.len() && ends.iter().all(is_completed) {
            let elapsed = WorkMillis(now.millis_since(call.sent));
            self.costs.learn(now, &kinds(&call.pieces), elapsed);
        }
    }

    /// Counts a piece that is sent for a customer. Pieces without a known customer aren't counted.
    pub(super) fn record_sent(&mut self, now: Time, rank: u32, customer: Option<CustomerHash>) {
        if let Some(customer) = customer {
            self.sent.record(now, RankedCustomer { rank, customer });
        }
    }

    /// Returns the customers that go behind the others of their rank, out of those that wait.
    pub(super) fn over_share(
        &self,
        now: Time,
        waiting: impl Iterator<Item = RankedCustomer>,
    ) -> HashSet<RankedCustomer> {
        self.sent.over_share(now, waiting)
    }

    /// Returns the longest expected time of a call whose most urgent job has these pieces in it; `None` if the call
    /// needn't be kept short. `slowdown` is that of the endpoint.
    pub(super) fn longest_call(
        &self,
        now: Time,
        objective: Time,
        urgent: &[SentPiece],
        slowdown: Slowdown,
    ) -> Option<WorkMillis> {
        let alone = WorkMillis(self.expected(urgent).0 * slowdown.0);
        let longest = longest_call(now, objective, alone)?;
        Some(WorkMillis(longest.0 / slowdown.0))
    }
}

fn kinds(pieces: &[SentPiece]) -> KindCounts {
    pieces.iter().map(|sent| PieceKind(sent.result)).collect()
}
