//! How many of the waiting pieces go into one call?
//!
//! Inputs: the share of the waiting pieces that the call should take (`rules::piece_order`), the
//! most pieces that the table allows in a call, and the room for results at its endpoint (bytes).
//!
//! Jobs are taken in their order until the call has its share. A job that was begun is taken whole
//! where it fits, past the share too: its request needs all of its pieces. No call gets more pieces
//! than allowed, or more results than its endpoint has room for.
//!
//! A call costs its endpoint a fixed time, so that throughput is the fill of calls; free endpoints
//! share what waits, so that none of them idles (`docs/design/stages.md`). No constants.
//! `idle_endpoints_share`, `result_room` and
//! `test_stage_rules` pin the rule.

use crate::shared::units::ByteSize;

/// Bounds of one call and what it holds so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallFill {
    share: usize,
    most: usize,
    room: ByteSize,
    pieces: usize,
    reserved: ByteSize,
}

/// The answer for one more piece of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit {
    /// It may.
    Fits,
    /// The call has as many pieces as it may have.
    CallFull,
    /// The endpoint has no room for one more result.
    NoRoom,
}

impl CallFill {
    /// Starts an empty call that should take `share` pieces, and may take `most`.
    pub fn new(share: usize, most: usize, room: ByteSize) -> Self {
        Self {
            share,
            most,
            room,
            pieces: 0,
            reserved: ByteSize(0),
        }
    }

    /// Returns whether the call should take pieces of another job.
    pub fn takes_job(&self) -> bool {
        self.pieces < self.share
    }

    /// Returns whether the call may take a piece with a result of `size`.
    pub fn fit(&self, size: ByteSize) -> Fit {
        if self.pieces >= self.most {
            Fit::CallFull
        } else if size.0 > self.room.0 - self.reserved.0 {
            Fit::NoRoom
        } else {
            Fit::Fits
        }
    }

    /// Adds a piece that fits.
    pub fn add(&mut self, size: ByteSize) {
        self.pieces += 1;
        self.reserved.0 += size.0;
    }

    /// Returns the number of pieces.
    pub fn pieces(&self) -> usize {
        self.pieces
    }

    /// Returns the room that the results of the call need.
    pub fn reserved(&self) -> ByteSize {
        self.reserved
    }
}
