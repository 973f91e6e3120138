//! Chooses the data centre in which a stage's pieces should run.
//!
//! Inputs: the results that each piece of the stage fetches (by data centre, in bytes), the number of pieces, the size
//! of one result, and the data centre where the request will probably run.
//!
//! Rule: in the data centre with the fewest bytes crossing to and from it; in a tie, that of the request. Each piece
//! fetches all results of the stages before it, so a stage of many pieces runs near its inputs, and one with large
//! results near its request.
//!
//! Reason: results that cross between data centres cost money and time. With a last stage of ten pieces that fetch 0.36
//! MB each, 407 of 1,069 requests ran their last two stages in different data centres, which made up 1.5 of the 1.7 GB
//! that crossed in a day.

use crate::{
    gateway::rules::endpoint_choice::InputLocation,
    shared::{ids::DataCentreId, units::ByteSize},
};

/// A stage that is about to begin, with all that decides its data centre.
#[derive(Debug, Clone, Copy)]
pub struct StagePlacement<'a> {
    /// Results that each piece of the stage fetches.
    pub inputs: &'a [InputLocation],
    /// Number of pieces of the stage.
    pub pieces: u32,
    /// Size of one result.
    pub result_size: ByteSize,
    /// Data centre where the request will probably run, if known.
    pub request: Option<&'a DataCentreId>,
}

impl<'a> StagePlacement<'a> {
    /// Returns the preferred data centre of the pieces, or `None` if no data centre is better than another.
    pub fn preferred(&self) -> Option<&'a DataCentreId> {
        let by_inputs = self.inputs.iter().map(|input| &input.data_centre);
        let candidates = self.request.into_iter().chain(by_inputs);
        candidates.min_by_key(|candidate| self.crossing(candidate))
    }

    /// Returns the bytes that cross between data centres if the pieces run in `data_centre`.
    fn crossing(&self, data_centre: &DataCentreId) -> u64 {
        let pieces = u64::from(self.pieces);
        let fetched: u64 = self
            .inputs
            .iter()
            .filter(|input| input.data_centre != *data_centre)
            .map(|input| input.size.0.saturating_mul(pieces))
            .sum();
        let is_away = self.request.is_some_and(|request| request != data_centre);
        let sent = if is_away {
            self.result_size.0.saturating_mul(pieces)
        } else {
            0
        };
        fetched.saturating_add(sent)
    }
}
