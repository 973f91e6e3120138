//! Opens connections to endpoints on the path that the rule chooses, and records which path works.

use {
    crate::gateway::{
        dialect::Dialect,
        directory::endpoint_entry::EndpointEntry,
        reach::relay_client::{self, RelayError},
        rules::endpoint_reach::{MAX_RELAYS, PathOrder, RELAY_DELAY},
        state::Gateway,
        wire::egress::{CONNECT_LIMIT, ENDPOINT_SILENCE, FreshConnection, SendError, open_stream},
    },
    futures_util::future::{Either, select},
    std::{io, net::SocketAddr, pin::pin, rc::Rc},
};

/// Number of relays whose answer about the endpoint counts, if this host has tried a direct connection itself, and if it
/// hasn't. A relay may be partitioned from the endpoint, too, without having noticed it.
const ANSWERS_BESIDE_DIRECT: usize = 1;
pub(super) const ANSWERS_ALONE: usize = 2;

/// A connection to an endpoint on which no request has been sent yet.
#[derive(Debug)]
pub(crate) struct EndpointConnection {
    pub(crate) connection: FreshConnection,
    /// Set if another daemon relays the connection.
    pub(crate) is_relayed: bool,
}

/// Reason why no connection to an endpoint came up through another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayFailure {
    /// No daemon was found that relays.
    NoRelay,
    /// Other daemons got no answer from the endpoint.
    Silent,
    /// The endpoint's host refused the connections of other daemons, so its process has terminated.
    Terminated,
}

impl RelayFailure {
    /// Returns the failure after another relay answered that it doesn't reach the endpoint either.
    fn or_unreached(self, refused: bool) -> Self {
        match self {
            Self::NoRelay | Self::Terminated if refused => Self::Terminated,
            Self::NoRelay | Self::Silent | Self::Terminated => Self::Silent,
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Opens a connection to an endpoint, through another daemon if this host doesn't reach it.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if no connection comes up; no byte of a request was sent then.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        entry: &EndpointEntry,
    ) -> Result<EndpointConnection, SendError> {
        let incarnation = entry.incarnation();
        let order = self.state.borrow().reach.order(self.now(), &incarnation);
        let opened = match order {
            PathOrder::DirectFirst => self.connect_direct_first(entry).await,
            PathOrder::RelayFirst => self.connect_relay_first(entry).await,
            PathOrder::Closed => Err(not_sent(io::ErrorKind::NetworkUnreachable)),
        };
        if let Err(error) = &opened {
            let refused = error.is_refused();
            self.metrics.endpoints.count_failed_connect(refused);
        }
        opened
    }

    async fn connect_direct_first(
        self: &Rc<Self>,
        entry: &EndpointEntry,
    ) -> Result<EndpointConnection, SendError> {
        let mut direct = pin!(self.connect_direct(entry));
        if let Ok(early) = tokio::time::timeout(RELAY_DELAY, direct.as_mut()).await {
            let Err(error) = early else { return early };
            let relayed = self.connect_relayed(entry, ANSWERS_BESIDE_DIRECT).await;
            return self.after_direct_failure(entry, error, relayed);
        }
        let relayed = pin!(self.connect_relayed(entry, ANSWERS_BESIDE_DIRECT));
        match select(direct, relayed).await {
            Either::Left((Ok(connection), _)) => Ok(connection),
            Either::Left((Err(error), relayed)) => {
                let relayed = relayed.await;
                self.after_direct_failure(entry, error, relayed)
            }
            Either::Right((Ok(connection), _)) => {
                let error = not_sent(io::ErrorKind::TimedOut);
                self.after_direct_failure(entry, error, Ok(connection))
            }
            Either::Right((Err(failure), direct)) => match direct.await {
                Ok(connection) => Ok(connection),
                Err(error) => self.after_direct_failure(entry, error, Err(failure)),
            },
        }
    }

    /// Returns the connection through another daemon if there is one, after no direct connection came up.
    fn after_direct_failure(
        self: &Rc<Self>,
        entry: &EndpointEntry,
        error: SendError,
        relayed: Result<FreshConnection, RelayFailure>,
    ) -> Result<EndpointConnection, SendError> {
        match relayed {
            Ok(connection) => {
                self.record_unreached(entry, &error);
                Ok(self.relayed(entry, connection))
            }
            Err(RelayFailure::Terminated) => Err(not_sent(io::ErrorKind::ConnectionRefused)),
            Err(RelayFailure::Silent) => Err(error),
            Err(RelayFailure::NoRelay) => {
                self.record_unreached(entry, &error);
                Err(error)
            }
        }
    }

    async fn connect_relay_first(
        self: &Rc<Self>,
        entry: &EndpointEntry,
    ) -> Result<EndpointConnection, SendError> {
        match self.connect_relayed(entry, ANSWERS_ALONE).await {
            Ok(connection) => Ok(self.relayed(entry, connection)),
            Err(RelayFailure::Terminated) => Err(not_sent(io::ErrorKind::ConnectionRefused)),
            Err(RelayFailure::Silent) => Err(not_sent(io::ErrorKind::TimedOut)),
            Err(RelayFailure::NoRelay) => {
                let direct = self.connect_direct(entry).await;
                if let Err(error) = &direct {
                    self.record_unreached(entry, error);
                    // A refusal costs no time, so the next connection may be tried at once.
                    if !error.is_refused() {
                        self.state.borrow_mut().reach.record_no_relay(self.now());
                    }
                }
                direct
            }
        }
    }

    async fn connect_direct(&self, entry: &EndpointEntry) -> Result<EndpointConnection, SendError> {
        let stream = open_stream(entry.address, CONNECT_LIMIT, ENDPOINT_SILENCE).await;
        let connection = FreshConnection::new(stream.map_err(SendError::NotSent)?).await?;
        self.record_direct(entry);
        Ok(EndpointConnection {
            connection,
            is_relayed: false,
        })
    }

    /// Opens a connection to an endpoint through another daemon. The answers of at most `answers` relays that don't reach
    /// the endpoint count.
    pub(super) async fn connect_relayed(
        &self,
        entry: &EndpointEntry,
        answers: usize,
    ) -> Result<FreshConnection, RelayFailure> {
        let mut failure = RelayFailure::NoRelay;
        let mut answered = 0;
        for relay in self.draw_relays() {
            match relay_client::open(relay, &entry.id).await {
                Ok(relayed) => {
                    let mut state = self.state.borrow_mut();
                    state
                        .reach
                        .record_protocol(relay, relayed.protocol.marks_end());
                    return Ok(relayed.connection);
                }
                Err(RelayError::Unreached { refused }) => {
                    failure = failure.or_unreached(refused);
                    answered += 1;
                }
                // The lists of daemons differ for a moment; the relay may still relay to other endpoints.
                Err(RelayError::Unlisted) => answered += 1,
                Err(error) => {
                    log::info!(relay:% = relay, endpoint:% = entry.id, error:%; "relay.unable");
                    let mut state = self.state.borrow_mut();
                    state.reach.exclude_relay(self.now(), relay);
                }
            }
            if answered == answers {
                break;
            }
        }
        Err(failure)
    }

    /// Draws the daemons that are asked to relay a connection.
    fn draw_relays(&self) -> Vec<SocketAddr> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let (reach, now) = (&state.reach, self.now());
        let preference = |relay| reach.relay_preference(now, relay);
        state.peers.draw_relays(MAX_RELAYS, preference)
    }

    fn relayed(
        self: &Rc<Self>,
        entry: &EndpointEntry,
        connection: FreshConnection,
    ) -> EndpointConnection {
        self.record_relayed(entry);
        self.metrics.relays.count_used();
        EndpointConnection {
            connection,
            is_relayed: true,
        }
    }

    /// Records that an endpoint was reached directly.
    pub(super) fn record_direct(&self, entry: &EndpointEntry) {
        let mut state = self.state.borrow_mut();
        let incarnation = entry.incarnation();
        let was_relayed = state.reach.is_relayed(&incarnation);
        let isolated = state.reach.record_connected(self.now(), &incarnation);
        let relayed = state.reach.relayed();
        drop(state);
        if let Some(time) = isolated {
            log::warn!(isolated_ms = time.as_millis() as u64; "host.regained");
            self.metrics.endpoints.set_isolated(false);
        }
        if was_relayed {
            log::info!(endpoint:% = entry.id; "endpoint.direct");
            self.metrics.relays.set_endpoints(relayed);
        }
    }

    /// Records that an endpoint wasn't reached directly although it hasn't ended.
    pub(super) fn record_unreached(&self, entry: &EndpointEntry, error: &SendError) {
        let mut state = self.state.borrow_mut();
        let isolated = state.reach.record_failed(self.now(), entry.incarnation());
        drop(state);
        if let Some(endpoints) = isolated {
            log::warn!(endpoints, error:%; "host.isolated");
            self.metrics.endpoints.set_isolated(true);
        }
    }

    /// Records that an endpoint was reached through another daemon, and starts to probe for a direct path.
    pub(super) fn record_relayed(self: &Rc<Self>, entry: &EndpointEntry) {
        let mut state = self.state.borrow_mut();
        if !state.reach.record_relayed(entry.incarnation()) {
            return;
        }
        let relayed = state.reach.relayed();
        let starts_probes = state.reach.begin_probes();
        drop(state);
        log::info!(endpoint:% = entry.id; "endpoint.relayed");
        self.metrics.relays.set_endpoints(relayed);
        if starts_probes {
            self.probe_direct_paths();
        }
    }
}

fn not_sent(kind: io::ErrorKind) -> SendError {
    SendError::NotSent(kind.into())
}
