//! Estimates how long a service takes for a whole answer, and decides whether an answer can end before a daemon that
//! stops does.
//!
//! Inputs: the times of whole answers, from sending the request to the end of the answer (milliseconds), with the number
//! of tokens that each request allows; of the request to be sent, that number, how long an attempt has taken so far, and
//! the time until the daemon ends.
//!
//! Rule: the time of an answer is the average time for each allowed token and twice its average deviation, or the same
//! for whole answers of requests that allow no tokens. An answer that another endpoint already works on takes at least
//! as long again. Without an observation any answer is expected to end in time.
//!
//! Reason: an answer that is cut when the daemon ends is lost for a caller who must not send it again, and late for any
//! other. A request that is refused before it is sent goes to another daemon.
//!
//! Tests: `lib/tests/test_reply_time.rs`.

use {crate::shared::units::WorkMillis, std::time::Duration};

/// Weights of a new observation in the average and in the deviation, from 0 to 1.
const AVERAGE_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Number of deviations that are added to the average.
const DEVIATIONS: f64 = 2.0;

/// Time to send the end of an answer to the caller.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Number of milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Usual time of the whole answers of one service, for each token that a request allows, or for each request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplyTime {
    average: Option<f64>,
    deviation: f64,
}

impl ReplyTime {
    /// Adds the time of an answer to a request that allows `tokens` tokens; 0 if it states none.
    pub fn record(&mut self, observed: WorkMillis, tokens: u32) {
        let time = observed.0 / units(tokens);
        let Some(average) = &mut self.average else {
            self.average = Some(time);
            return;
        };
        let difference = time - *average;
        *average += AVERAGE_WEIGHT * difference;
        self.deviation += DEVIATION_WEIGHT * (difference.abs() - self.deviation);
    }

    /// Returns the expected time of an answer to a request that allows `tokens` tokens; 0 without an observation.
    pub fn expected(&self, tokens: u32) -> WorkMillis {
        let time = self.average.unwrap_or_default() + DEVIATIONS * self.deviation;
        WorkMillis(time * units(tokens))
    }
}

/// Returns whether an answer that is expected to take `expected` can end within `left`, where another endpoint has
/// worked on it for `elapsed` so far.
pub fn ends_within(expected: WorkMillis, elapsed: WorkMillis, left: Duration) -> bool {
    let time = Duration::from_secs_f64(expected.0.max(elapsed.0) / MS_PER_S);
    time + ANSWER_TIME <= left
}

fn units(tokens: u32) -> f64 {
    f64::from(tokens.max(1))
}
