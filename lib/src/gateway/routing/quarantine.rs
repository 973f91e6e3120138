//! Records for the quarantine how requests end, and refuses quarantined ones.

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
    /// Returns the id of the endpoint with an incarnation, or the hash in hexadecimal if this daemon doesn't know the
    /// endpoint any more.
    pub(crate) fn incarnation_name(&self, incarnation: IncarnationHash) -> String {
        let mut members = self.endpoints.members();
        let member = members.find(|member| incarnation_hash(&member.entry) == incarnation);
        member.map_or_else(
            || format!("{:08x}", incarnation.0),
            |member| member.entry.id.to_string(),
        )
    }
}

impl<D: Dialect> Gateway<D> {
    /// Records that an endpoint terminated while it ran a request of this daemon.
    pub(crate) fn record_terminated(&self, digest: RequestDigest, entry: &EndpointEntry) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = state
            .quarantine
            .endpoint_terminated(now, digest, incarnation_hash(entry));
        drop(state);
        self.quarantine_reports.notify_one();
        self.apply_quarantine(change, "own request");
    }

    /// Records that a request of this daemon was served.
    pub(crate) fn record_served(&self, digest: RequestDigest) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = state.quarantine.request_served(now, digest);
        drop(state);
        self.apply_quarantine(change, "own request");
    }

    /// Checks that a request isn't quarantined because endpoints terminated under it.
    ///
    /// # Errors
    ///
    /// Returns a problem for a quarantined request, with the time left as the time after which to retry.
    pub(crate) fn check_quarantine(&self, digest: &RequestDigest) -> Result<(), Problem> {
        let now = self.now();
        match self.state.borrow().quarantine.time_left(now, digest) {
            None => Ok(()),
            Some(left) => {
                let detail = format!("{TERMINATED_LIMIT} endpoints ended under this request");
                Err(Problem::not_run(Code::Quarantined, detail).retry_after(left))
            }
        }
    }
}
