//! In which data centre should a stage's pieces run?
//!
//! Inputs: where the results lie that each piece of the stage fetches (by data centre, in bytes), the number
//! of pieces, the size of one result, and the data centre where the request will probably run.
//!
//! Rule: in the data centre from and to which the fewest bytes cross; where several are equal, that of the
//! request. Each piece fetches all results of the stages before it, so that a stage of many pieces belongs
//! to its inputs, and one with large results to its request.
//!
//! Reason: results that cross between data centres cost money and time. Of a route whose last stage has ten
//! pieces that fetch 0.36 MB each, 407 of 1,069 requests ran the last two stages in different data centres,
//! 1.5 of the 1.7 GB that crossed on that day.

use crate::{
    gateway::rules::endpoint_choice::InputLocation,
    shared::{ids::DataCentreId, units::ByteSize},
};

/// A stage that is about to begin.
#[derive(Debug, Clone, Copy)]
pub struct StagePlace<'a> {
    /// Results that each of its pieces fetches.
    pub inputs: &'a [InputLocation],
    /// Its pieces.
    pub pieces: u32,
    /// Size of one result.
    pub result: ByteSize,
    /// Where the request will probably run.
    pub request: Option<&'a DataCentreId>,
}

impl<'a> StagePlace<'a> {
    /// Returns the data centre where its pieces should run; nothing if no data centre is better than
    /// another one.
    pub fn home(&self) -> Option<&'a DataCentreId> {
        let by_inputs = self.inputs.iter().map(|input| &input.data_centre);
        let candidates = self.request.into_iter().chain(by_inputs);
        candidates.min_by_key(|candidate| self.crossing(candidate))
    }

    /// Returns the bytes that cross if the pieces run in a data centre.
    fn crossing(&self, place: &DataCentreId) -> u64 {
        let pieces = u64::from(self.pieces);
        let fetched: u64 = self
            .inputs
            .iter()
            .filter(|input| input.data_centre != *place)
            .map(|input| input.size.0.saturating_mul(pieces))
            .sum();
        let is_away = self.request.is_some_and(|request| request != place);
        let sent = if is_away {
            self.result.0.saturating_mul(pieces)
        } else {
            0
        };
        fetched.saturating_add(sent)
    }
}
