//! Checks while this daemon stops whether a request can end before the daemon does.
//!
//! The rule is [`rules::reply_time`](crate::gateway::rules::reply_time); the state holds the times of each service.

use crate::{
    gateway::{
        dialect::Dialect,
        routing::call::ForwardedCall,
        rules::{
            reply_time::{ReplyTime, ends_within},
            retry_after::STOPPING,
        },
        state::Gateway,
        table::Table,
    },
    shared::{
        problem::{Code, Problem},
        units::{Time, WorkMillis},
    },
};

impl<D: Dialect> Gateway<D> {
    /// Records that a request was answered whole.
    pub(crate) fn record_reply_time(&self, call: &ForwardedCall) {
        let Some(sent) = call.sent.get() else { return };
        let took = WorkMillis(self.now().millis_since(sent));
        let mut state = self.state.borrow_mut();
        let time = state.reply_times.entry(call.service.clone()).or_default();
        time.record(took, call.inbound.prompt.tokens_out);
    }

    /// Forgets the times of services that a table doesn't have.
    pub(crate) fn retain_reply_times(&self, table: &Table) {
        let mut state = self.state.borrow_mut();
        state
            .reply_times
            .retain(|id, _| table.service(id).is_some());
    }

    /// Returns whether a request that is sent now can end before this daemon stops. `since` is the time at which the
    /// attempt began that it would replace; absent if there is none.
    pub(crate) fn ends_before_stop(&self, call: &ForwardedCall, since: Option<Time>) -> bool {
        let Some(end) = self.stop_end.get() else {
            return true;
        };
        if call.deadline <= end {
            // The stop doesn't shorten its time.
            return true;
        }
        let now = self.now();
        let state = self.state.borrow();
        let time = state.reply_times.get(&call.service);
        let tokens = call.inbound.prompt.tokens_out;
        let expected = time.map_or(WorkMillis(0.0), |time: &ReplyTime| time.expected(tokens));
        let elapsed = since.map_or(0.0, |since| now.millis_since(since));
        ends_within(expected, WorkMillis(elapsed), end.since(now))
    }

    /// Refuses a request that can't end before this daemon stops.
    pub(crate) fn check_stop(&self, call: &ForwardedCall) -> Result<(), Problem> {
        if self.ends_before_stop(call, None) {
            return Ok(());
        }
        let problem = Problem::not_run(Code::NotReady, STOPPING_DETAIL);
        Err(problem.retry_after(STOPPING))
    }
}

/// Problem detail: the daemon stops before the request could end.
pub(crate) const STOPPING_DETAIL: &str = "the daemon stops before the request can end";
