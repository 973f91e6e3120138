//! Records for the quarantine how requests end, and refuses quarantined ones.

use crate::{
    gateway::{
        dialect::Dialect,
        directory::endpoint_entry::EndpointEntry,
        hashes::{IncarnationHash, incarnation_hash},
        quarantine::store::QuarantineChange,
        request_digest::RequestDigest,
        routing::call::ForwardedCall,
        rules::quarantine::{TERMINATED_LIMIT, holder_rank},
        state::{Gateway, GatewayState},
    },
    shared::{
        problem::{Code, Problem},
        units::{Millis, Time},
    },
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
    /// Records that an endpoint terminated while it ran a request that this daemon had sent there at `sent`, against what is
    /// held responsible.
    pub(crate) fn record_terminated(
        &self,
        suspects: &[RequestDigest],
        entry: &EndpointEntry,
        sent: Time,
    ) {
        let now = self.now();
        let endpoint = incarnation_hash(entry);
        let mut state = self.state.borrow_mut();
        let changes = state
            .quarantine
            .request_terminated(now, suspects, endpoint, sent);
        drop(state);
        self.quarantine_reports.notify_one();
        self.apply_quarantine(changes, "own request");
    }

    /// Records that a request of this daemon was served, with each part of its prompt.
    pub(crate) fn record_served(&self, call: &ForwardedCall) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let suspects = call.suspects();
        let sent = call.sent.get().unwrap_or(call.arrived);
        let changes =
            suspects.filter_map(|suspect| state.quarantine.request_served(now, suspect, sent));
        let changes: Vec<QuarantineChange> = changes.collect();
        drop(state);
        self.apply_quarantine(changes, "own request");
    }

    /// Checks that a request isn't quarantined because endpoints terminated under it.
    ///
    /// # Errors
    ///
    /// Returns a problem for a quarantined request, with the time left as the time after which to retry.
    pub(crate) fn check_digest(&self, digest: &RequestDigest) -> Result<(), Problem> {
        self.check_suspect(digest, "this request")
    }

    /// Checks that neither a request nor a part of its prompt is quarantined; they don't count while it tries them.
    ///
    /// # Errors
    ///
    /// Returns a problem for a quarantined request, with the time left as the time after which to retry.
    pub(crate) fn check_quarantine(&self, call: &ForwardedCall) -> Result<(), Problem> {
        if call.is_trial() {
            return Ok(());
        }
        self.check_digest(&call.digest)?;
        let mut parts = call.parts.iter();
        parts.try_for_each(|part| self.check_suspect(part, "a part of its prompt"))
    }

    /// Waits as long as the quarantine of a part of the prompt may still be disproved.
    pub(crate) async fn await_rebuttals(&self, call: &ForwardedCall) {
        while let Some(left) = self.time_to_rebut(call) {
            tokio::time::sleep(left.to_duration()).await;
        }
    }

    fn time_to_rebut(&self, call: &ForwardedCall) -> Option<Millis> {
        if call.is_trial() || self.check_digest(&call.digest).is_err() {
            return None;
        }
        let now = self.now();
        let state = self.state.borrow();
        let parts = call.parts.iter();
        let times = parts.filter_map(|part| state.quarantine.time_to_rebut(now, part));
        times.max()
    }

    fn check_suspect(&self, suspect: &RequestDigest, name: &str) -> Result<(), Problem> {
        let now = self.now();
        match self.state.borrow().quarantine.time_left(now, suspect) {
            None => Ok(()),
            Some(left) => {
                let detail = format!("{TERMINATED_LIMIT} endpoints ended under {name}");
                Err(Problem::not_run(Code::Quarantined, detail).retry_after(left))
            }
        }
    }

    /// Lets a request with quarantined parts through if this daemon may try one of them now, and one that is quarantined as a whole
    /// if it was served shortly before.
    pub(crate) fn begin_trial(&self, call: &ForwardedCall) {
        let now = self.now();
        let mut guard = self.state.borrow_mut();
        let GatewayState {
            quarantine, peers, ..
        } = &mut *guard;
        let local = peers.local_address();
        let is_quarantined = |suspect: &RequestDigest| quarantine.time_left(now, suspect).is_some();
        if is_quarantined(&call.digest) && !quarantine.has_turned(now, &call.digest) {
            return;
        }
        let quarantined = call.suspects().filter(is_quarantined);
        let ranked = quarantined.map(|suspect| {
            let rank = holder_rank(suspect.as_bytes(), peers.living_daemons(), local)?;
            Some((suspect, rank))
        });
        let Some(ranked) = ranked.collect::<Option<Vec<(RequestDigest, usize)>>>() else {
            return;
        };
        let trial = quarantine.begin_trial(now, &ranked);
        drop(guard);
        if trial.is_some() {
            call.trial.replace(trial);
            for (suspect, _) in ranked {
                log::warn!(request = call.id(), digest:% = suspect; "quarantine.tried");
            }
            self.quarantine_reports.notify_one();
        }
    }

    /// Logs why a request is let through of which something is suspected.
    pub(crate) fn log_suspected(&self, call: &ForwardedCall) {
        let now = self.now();
        let state = self.state.borrow();
        for suspect in call.suspects() {
            if let Some(suspicion) = state.quarantine.suspicion(now, &suspect) {
                let served_ms = suspicion.served.map_or(-1, |served| served.0 as i64);
                log::info!(
                    request = call.id(),
                    digest:% = suspect,
                    ends = suspicion.ends,
                    served_ms,
                    tried = call.is_trial();
                    "quarantine.passed"
                );
            }
        }
    }

    /// Checks that a request may be sent to one more endpoint while another one still runs it. A trial may not.
    pub(crate) fn may_hand_over(&self, call: &ForwardedCall) -> bool {
        !call.is_trial() && self.check_quarantine(call).is_ok()
    }

    /// Waits until a request is quarantined, and returns its problem.
    pub(crate) async fn until_quarantined(&self, call: &ForwardedCall) -> Problem {
        loop {
            // Created before the check, so that a quarantine that begins after it ends the wait.
            let began = self.quarantine_began.notified();
            self.await_rebuttals(call).await;
            if let Err(problem) = self.check_quarantine(call) {
                return problem;
            }
            began.await;
        }
    }
}
