//! Probes endpoints: whether one has terminated after an attempt there broke off, and whether a terminated one is back.
//!
//! A terminated endpoint gets no requests while others are available, until it accepts a connection or its entry shows
//! a new incarnation. Its old entry stays in the directory for seconds and shows no load, so it would otherwise be
//! chosen first for every request.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::endpoint_entry::EndpointEntry,
            quarantine::store::Trial,
            request_digest::RequestDigest,
            routing::{call::ForwardedCall, endpoint_state::EndpointSign},
            state::Gateway,
            wire::endpoint_check::EndpointCheck,
        },
        shared::units::Time,
    },
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Time until the first probe whether a terminated endpoint is back; it doubles with each further probe. An entry stays
/// for 3.6 s where endpoints renew it every 1.2 s, which allows three probes.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(400);

/// Longest time between two probes.
const LONGEST_PROBE_PAUSE: Duration = Duration::from_millis(1_600);

/// Interval at which an endpoint is checked after an attempt there was given up, and the number of checks. An endpoint ends
/// its work on a request within half a second of the end of its connection.
const GIVEN_UP_INTERVAL: Duration = Duration::from_millis(400);
const GIVEN_UP_CHECKS: usize = 3;

/// What is held responsible if an endpoint terminates under an attempt.
struct Accused {
    request: String,
    digest: RequestDigest,
    suspects: Vec<RequestDigest>,
    /// Names of the parts of the prompt, for logs.
    parts: String,
    sent: Time,
    /// The trial that the request is, which ends with this value.
    _trial: Option<Trial>,
}

impl Accused {
    fn new(call: &ForwardedCall, sent: Time) -> Self {
        Self {
            request: call.id().to_owned(),
            digest: call.digest,
            suspects: call.suspects().collect(),
            parts: call.inbound.prompt.shared_names(),
            sent,
            // Parts that are tried get one attempt.
            _trial: call.trial.take(),
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Probes whether an endpoint has terminated, after an attempt there broke off that may have run. The probe
    /// continues if the caller leaves meanwhile.
    pub(crate) async fn check_endpoint(
        self: &Rc<Self>,
        call: &ForwardedCall,
        entry: &Arc<EndpointEntry>,
        sent: Time,
    ) {
        let (gateway, accused) = (self.clone(), Accused::new(call, sent));
        let entry = entry.clone();
        let probe = tokio::task::spawn_local(async move {
            if gateway.check(&entry).await == EndpointCheck::Terminated {
                gateway.accuse(&accused, &entry);
            }
        });
        // If the task panicked, nothing is known of the endpoint.
        let _ = probe.await;
    }

    /// Watches an endpoint for a while after an attempt there was given up. One that was heard of since needs no check.
    pub(crate) fn watch_given_up(
        self: &Rc<Self>,
        call: &ForwardedCall,
        entry: Arc<EndpointEntry>,
        sent: Time,
    ) {
        let (gateway, accused) = (self.clone(), Accused::new(call, sent));
        tokio::task::spawn_local(async move {
            for _ in 0..GIVEN_UP_CHECKS {
                let since = gateway.now();
                tokio::time::sleep(GIVEN_UP_INTERVAL).await;
                match gateway.sign_since(&entry, since) {
                    Some(EndpointSign::Alive) => continue,
                    Some(EndpointSign::Terminated) => return gateway.accuse(&accused, &entry),
                    None => {}
                }
                match gateway.check(&entry).await {
                    EndpointCheck::Alive => {
                        let now = gateway.now();
                        let mut state = gateway.state.borrow_mut();
                        state.endpoints.record_heard(now, &entry);
                    }
                    EndpointCheck::Terminated => return gateway.accuse(&accused, &entry),
                    EndpointCheck::Silent => {}
                }
            }
        });
    }

    /// Returns what has shown since a time whether an endpoint runs; `None` if nothing has.
    fn sign_since(&self, entry: &EndpointEntry, since: Time) -> Option<EndpointSign> {
        self.state.borrow().endpoints.sign_since(entry, since)
    }

    /// Records that an endpoint has terminated under an attempt.
    fn accuse(self: &Rc<Self>, accused: &Accused, entry: &Arc<EndpointEntry>) {
        self.metrics.endpoints.count_terminated();
        log::warn!(
            request = accused.request.as_str(),
            endpoint:% = entry.id,
            digest:% = accused.digest,
            parts = accused.parts.as_str();
            "endpoint.ended"
        );
        self.record_terminated(&accused.suspects, entry, accused.sent);
        self.set_terminated(entry);
    }

    /// Records that an endpoint has terminated, and starts to probe whether it is back.
    pub(crate) fn set_terminated(self: &Rc<Self>, entry: &Arc<EndpointEntry>) {
        let now = self.now();
        let is_new = self.state.borrow_mut().endpoints.record_refused(now, entry);
        if is_new {
            self.watch_terminated(entry.clone());
        }
    }

    /// Probes a terminated endpoint with growing pauses until it accepts a connection, or until this incarnation can't
    /// get work any more.
    pub(crate) fn watch_terminated(self: &Rc<Self>, entry: Arc<EndpointEntry>) {
        let gateway = self.clone();
        self.spawn_restarted("terminated_endpoint", move || {
            let (gateway, entry) = (gateway.clone(), entry.clone());
            async move { gateway.probe_terminated(&entry).await }
        });
    }

    async fn probe_terminated(self: &Rc<Self>, entry: &Arc<EndpointEntry>) {
        let mut pause = FIRST_PROBE_PAUSE;
        loop {
            tokio::time::sleep(pause).await;
            if !self.state.borrow().endpoints.may_return(entry) {
                return;
            }
            if self.state.borrow().endpoints.in_cooldown(entry) {
                continue;
            }
            if self.check(entry).await == EndpointCheck::Alive {
                self.state.borrow_mut().endpoints.record_accepted(entry);
                return;
            }
            pause = LONGEST_PROBE_PAUSE.min(pause * 2);
        }
    }
}
