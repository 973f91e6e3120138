//! Records what becomes of requests for the quarantine, and refuses those that are in it.

use crate::{
    gateway::{
        dialect::Dialect,
        directory::endpoint_entry::EndpointEntry,
        hashes::{IncarnationHash, incarnation_hash},
        request_digest::RequestDigest,
        rules::quarantine::TERMINATED_LIMIT,
        state::{Gateway, GatewayState},
    },
    shared::problem::{Code, Problem},
};

impl GatewayState {
    /// Returns the name of the endpoint of a life; its hash where the endpoint isn't known here any more.
    pub(crate) fn life_name(&self, life: IncarnationHash) -> String {
        let mut members = self.endpoints.members();
        let member = members.find(|member| incarnation_hash(&member.entry) == life);
        member.map_or_else(
            || format!("{:08x}", life.0),
            |member| member.entry.id.to_string(),
        )
    }
}

impl<D: Dialect> Gateway<D> {
    /// Records that an endpoint ended while it ran a request of this daemon.
    pub(crate) fn record_ended(&self, digest: RequestDigest, entry: &EndpointEntry) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = state
            .quarantine
            .endpoint_ended(now, digest, incarnation_hash(entry));
        drop(state);
        self.quarantine_reports.notify_one();
        self.apply_quarantine(change, "own request");
    }

    /// Records that a request of this daemon ran to a good end.
    pub(crate) fn record_served(&self, digest: RequestDigest) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = state.quarantine.request_served(now, digest);
        drop(state);
        self.apply_quarantine(change, "own request");
    }

    /// Checks that a request isn't refused because endpoints ended under it.
    ///
    /// # Errors
    ///
    /// Returns the problem of one that is, of which nothing has run here.
    pub(crate) fn check_quarantine(&self, digest: &RequestDigest) -> Result<(), Problem> {
        let now = self.now();
        match self.state.borrow().quarantine.left(now, digest) {
            None => Ok(()),
            Some(left) => {
                let detail = format!("{TERMINATED_LIMIT} endpoints ended under this request");
                Err(Problem::not_run(Code::Quarantined, detail).retry_after(left))
            }
        }
    }
}
