//! Decides how many of the waiting pieces go into one call.
//!
//! Inputs: the share of the waiting pieces that the call should take (`rules::piece_order`), the largest number of
//! pieces that the table allows in a call, and the result capacity of its endpoint (bytes).
//!
//! Rule: jobs are taken in order until the call has its share. Once a job is begun, all of its pieces that fit are
//! taken, also beyond the share, because its request needs all of them. No call gets more pieces than the table allows,
//! or more results than its endpoint has capacity for.
//!
//! Reason: a call costs its endpoint a fixed time, so throughput depends on how full calls are. Free endpoints divide
//! the waiting pieces, so that none of them is idle (`docs/design/stages.md`). The rule has no constants. Tests:
//! `idle_endpoints_share`, `result_room` and `test_stage_rules`.

use crate::shared::units::ByteSize;

/// Limits of one call, and the pieces added to it so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFill {
    share: usize,
    max_pieces: usize,
    capacity: ByteSize,
    pieces: usize,
    reserved: ByteSize,
}

/// Result of the check whether one more piece fits into a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// The piece fits.
    Fits,
    /// The call has the largest number of pieces that the table allows.
    CallFull,
    /// The endpoint lacks the capacity for the result.
    NoCapacity,
}

impl CallFill {
    /// Starts an empty call that should take `share` pieces and may take `max_pieces`, at an endpoint with `capacity`
    /// left for results.
    pub fn new(share: usize, max_pieces: usize, capacity: ByteSize) -> Self {
        Self {
            share,
            max_pieces,
            capacity,
            pieces: 0,
            reserved: ByteSize(0),
        }
    }

    /// Returns whether the call should take pieces of another job.
    pub fn takes_job(&self) -> bool {
        self.pieces < self.share
    }

    /// Returns whether a piece with a result of `size` fits into the call.
    pub fn fit(&self, size: ByteSize) -> Fit {
        if self.pieces >= self.max_pieces {
            Fit::CallFull
        } else if size.0 > self.capacity.0 - self.reserved.0 {
            Fit::NoCapacity
        } else {
            Fit::Fits
        }
    }

    /// Adds a piece that fits.
    pub fn add(&mut self, size: ByteSize) {
        self.pieces += 1;
        self.reserved.0 += size.0;
    }

    /// Returns the number of pieces in the call.
    pub fn pieces(&self) -> usize {
        self.pieces
    }

    /// Returns the capacity that the results of the call need.
    pub fn reserved(&self) -> ByteSize {
        self.reserved
    }
}
