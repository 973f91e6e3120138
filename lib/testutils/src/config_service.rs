//! A test double for the platform's configuration service.

use {
    crate::http_server::{ReplyBody, Server, empty_body, whole_body},
    bytes::Bytes,
    http::{Response, StatusCode},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// Prefix of the path of a value.
const VALUES_PATH: &str = "/v1/values/";

#[derive(Debug, Default)]
struct State {
    values: Mutex<BTreeMap<String, Bytes>>,
    silent: AtomicBool,
    reads: AtomicU64,
}

/// A running configuration service.
#[derive(Debug)]
pub struct ConfigService {
    state: Arc<State>,
    server: Server,
}

impl ConfigService {
    /// Starts a service without values.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(State::default());
        let shared = state.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(any, move |request| {
            let reply = shared.reply(request.uri().path());
            async move { reply }
        })
        .await?;
        Ok(Self { state, server })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a value.
    pub fn publish(&self, name: &str, value: impl Into<Bytes>) {
        let mut values = self.state.values.lock().expect("no panic while held");
        values.insert(name.to_owned(), value.into());
    }

    /// Sets whether the service closes every connection without a reply.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::Relaxed);
    }

    /// Returns the number of reads of values so far.
    pub fn reads(&self) -> u64 {
        self.state.reads.load(Ordering::Relaxed)
    }
}

impl State {
    fn reply(&self, path: &str) -> Option<Response<ReplyBody>> {
        if self.silent.load(Ordering::Relaxed) {
            return None;
        }
        self.reads.fetch_add(1, Ordering::Relaxed);
        let values = self.values.lock().expect("no panic while held");
        let value = path
            .strip_prefix(VALUES_PATH)
            .and_then(|name| values.get(name));
        match value {
            Some(value) => Some(Response::new(whole_body(value.clone()))),
            None => Response::builder()
                .status(StatusCode::NOT_FOUND)
                .body(empty_body())
                .ok(),
        }
    }
}
