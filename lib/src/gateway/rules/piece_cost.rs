//! Decides how much of an endpoint's time a piece of each kind takes.
//!
//! Load: routes that share a stage service while their pieces differ in cost, such as 0.3 against 1. By one cost for
//! all of them, calls of cheap pieces look fast, calls of dear ones look slow or overdue, and no call can be shortened
//! to a wanted time.
//!
//! Inputs: the cost of calls by the table (`CallCost`, milliseconds), and for each call whose pieces were all completed
//! the number of its pieces of each kind and the time that it took (milliseconds). The kind of a piece is the usual
//! size of its result (bytes), which every job has.
//!
//! Rule: a call takes the fixed time and the cost of each piece. The cost of a kind starts from the table's figure.
//! After each call, `GAIN` of the difference between the time that it took and the expected one is distributed over
//! its kinds, by the number of pieces (normalized least mean squares). The difference counts at most as `MAX_ERROR` of
//! the expected time, and costs stay between `MIN_FACTOR` and `MAX_FACTOR` of the table's figure. The costs of at most
//! `MAX_KINDS` kinds are kept; the one that was learnt longest ago makes room.
//!
//! Reason: calls mix kinds, so the cost of one kind is not seen by itself. The fixed time stays that of the table,
//! since calls of about the same size don't show it. Tests: `test_piece_cost`.

use {
    crate::{
        gateway::rules::call_timing::CallCost,
        shared::units::{ByteSize, Time, WorkMillis},
    },
    std::collections::BTreeMap,
};

/// Share of a difference that is applied after one call. Calls of one service come several times a second, so costs
/// settle within some seconds, and one call moves them by less than jitter.
const GAIN: f64 = 0.1;

/// Largest difference that counts, as a share of the expected time: a call at a slow endpoint may take many times as
/// long and says little about its pieces.
const MAX_ERROR: f64 = 0.25;

/// Lower bound of a cost, as a multiple of the table's figure. It is above zero, so that no call looks free.
const MIN_FACTOR: f64 = 0.05;

/// Upper bound of a cost, as a multiple of the table's figure. Beyond it, the table is wrong and has to be corrected.
const MAX_FACTOR: f64 = 4.0;

/// Largest number of kinds whose costs are kept, several times the number of routes that share a service.
const MAX_KINDS: usize = 16;

/// Kind of a piece: pieces of one service with the same usual size of the result have the same cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceKind(pub ByteSize);

/// Number of pieces of each kind in a call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KindCounts(BTreeMap<PieceKind, u32>);

impl FromIterator<PieceKind> for KindCounts {
    fn from_iter<I: IntoIterator<Item = PieceKind>>(kinds: I) -> Self {
        let mut counts = BTreeMap::new();
        for kind in kinds {
            *counts.entry(kind).or_default() += 1;
        }
        Self(counts)
    }
}

/// The cost of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
struct KindCost {
    cost: f64,
    learnt: Time,
}

/// The costs of the pieces of one service, learnt from its calls.
#[derive(Debug, Clone, PartialEq)]
pub struct PieceCosts {
    stated: CallCost,
    kinds: BTreeMap<PieceKind, KindCost>,
}

impl PieceCosts {
    /// Starts from the cost that the table states.
    pub fn new(stated: CallCost) -> Self {
        Self {
            stated,
            kinds: BTreeMap::new(),
        }
    }

    /// Returns the cost that the table states.
    pub fn stated(&self) -> CallCost {
        self.stated
    }

    /// Returns the time that a piece adds to a call.
    pub fn piece(&self, kind: PieceKind) -> WorkMillis {
        let learnt = self.kinds.get(&kind);
        WorkMillis(learnt.map_or(self.stated.piece.0, |learnt| learnt.cost))
    }

    /// Returns the time that a call with these pieces should take.
    pub fn expected(&self, pieces: &KindCounts) -> WorkMillis {
        let costs = pieces.0.iter();
        let costs = costs.map(|(kind, count)| self.piece(*kind).0 * f64::from(*count));
        WorkMillis(self.stated.fixed.0 + costs.sum::<f64>())
    }

    /// Learns from a call whose pieces were all completed after `elapsed`. A time that isn't a number is ignored.
    pub fn learn(&mut self, now: Time, pieces: &KindCounts, elapsed: WorkMillis) {
        let expected = self.expected(pieces).0;
        let largest = expected * MAX_ERROR;
        let error = (elapsed.0 - expected).clamp(-largest, largest);
        if !error.is_finite() {
            return;
        }
        let counts = pieces.0.values().map(|count| f64::from(*count).powi(2));
        let norm = counts.sum::<f64>().max(1.0);
        let stated = self.stated.piece.0;
        for (kind, count) in &pieces.0 {
            let cost = self.piece(*kind).0 + GAIN * error * f64::from(*count) / norm;
            let cost = cost.clamp(stated * MIN_FACTOR, stated * MAX_FACTOR);
            self.make_room(*kind);
            self.kinds.insert(*kind, KindCost { cost, learnt: now });
        }
    }

    /// Drops the cost that was learnt longest ago if there is no room for another kind.
    fn make_room(&mut self, kind: PieceKind) {
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&kind) {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, learnt)| learnt.learnt);
        if let Some(kind) = oldest.map(|(kind, _)| *kind) {
            self.kinds.remove(&kind);
        }
    }
}
