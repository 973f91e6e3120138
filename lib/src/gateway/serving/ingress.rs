//! Accepts callers' connections and passes their requests to routing.
//!
//! Each connection takes its limits from the table that is in force when it is accepted. If a connection can't be
//! accepted, for example because the process is out of file descriptors, all open connections close as soon as they
//! have no request, so that idle connections don't keep other callers out.
//!
//! New connections beyond what the processor bears are closed unread; the rule is
//! [`connection_shedding`](crate::gateway::rules::connection_shedding).

use {
    crate::gateway::{
        dialect::Dialect,
        routing::forward,
        state::Gateway,
        table::IngressLimits,
        wire::{listen::accept_each_with, reply::ReplyBody},
    },
    http::{HeaderValue, Request, Response, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Notify, watch},
    },
};

/// Maximum time until the head of a request has arrived, used while there is no table.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(15);

/// Maximum size of a request's head in bytes, used while there is no table.
const DEFAULT_HEAD_SIZE: usize = 16 * 1024;

/// Minimum size of a connection's buffer, in bytes. `hyper` panics below it.
const MIN_BUFFER_SIZE: usize = 8 * 1024;

/// State of the listener for callers; its connections watch it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerState {
    /// Connections are accepted and kept open between requests.
    Open,
    /// No connection is accepted, and idle ones are closed.
    Closing,
}

/// Limits of one connection of a caller.
#[derive(Debug, Clone, Copy)]
struct ConnectionLimits {
    /// Maximum time until the head of the next request has arrived, including the idle time before it.
    head_time: Duration,
    /// Size of the connection's buffer in bytes, which limits the size of a head.
    buffer: usize,
}

impl ConnectionLimits {
    fn new(table: Option<IngressLimits>) -> Self {
        let head_time = table.map_or(DEFAULT_HEAD_TIME, |limits| {
            limits.idle.max(limits.head_time).to_duration()
        });
        let head_size = table.map_or(DEFAULT_HEAD_SIZE, |limits| limits.head.0 as usize);
        Self {
            head_time,
            buffer: head_size.max(MIN_BUFFER_SIZE),
        }
    }
}

/// Accepts callers' connections until the listener closes.
pub async fn serve<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    listener: Rc<TcpListener>,
    mut listener_state: watch::Receiver<ListenerState>,
) {
    let connections = listener_state.clone();
    let accept_failed = Rc::new(Notify::new());
    let accept = |stream: TcpStream, _| {
        if !gateway.serves_connection() {
            reset(&stream);
            return;
        }
        let closing = wait_closing(connections.clone(), accept_failed.clone());
        let fresh = ConnectionCount::fresh(gateway.clone());
        tokio::task::spawn_local(serve_connection(gateway.clone(), stream, fresh, closing));
    };
    let close_idle = || accept_failed.notify_waiters();
    let accepting = accept_each_with(&listener, "ingress.accept_failed", accept, close_idle);
    tokio::select! {
        () = accepting => {}
        _ = listener_state.changed() => {}
    }
}

/// Lets a connection end with a reset when it is dropped, also if nothing has arrived on it yet: a caller that sees it end
/// otherwise can't know that its request wasn't read.
fn reset(stream: &TcpStream) {
    // Without the option the connection ends in the usual way.
    let _ = stream.set_zero_linger();
}

/// Waits until idle connections have to close: the listener is closing, or a connection couldn't be accepted.
async fn wait_closing(
    mut listener_state: watch::Receiver<ListenerState>,
    accept_failed: Rc<Notify>,
) {
    tokio::select! {
        // Fails only if the sender, which lives as long as the daemon, is dropped.
        _ = listener_state.wait_for(|state| *state == ListenerState::Closing) => {}
        () = accept_failed.notified() => {}
    }
}

/// Counts a connection of a caller in one of the daemon's counters until it is dropped.
struct ConnectionCount<D> {
    gateway: Rc<Gateway<D>>,
    counter: fn(&Gateway<D>) -> &Cell<usize>,
}

impl<D> ConnectionCount<D> {
    fn new(gateway: Rc<Gateway<D>>, counter: fn(&Gateway<D>) -> &Cell<usize>) -> Self {
        let count = counter(&gateway);
        count.set(count.get() + 1);
        Self { gateway, counter }
    }

    /// Counts an open connection, also while it still sends the last answer.
    fn open(gateway: Rc<Gateway<D>>) -> Self {
        Self::new(gateway, |gateway| &gateway.callers)
    }

    /// Counts a connection that has had no request yet.
    fn fresh(gateway: Rc<Gateway<D>>) -> Self {
        Self::new(gateway, |gateway| &gateway.fresh)
    }
}

impl<D> Drop for ConnectionCount<D> {
    fn drop(&mut self) {
        let count = (self.counter)(&self.gateway);
        count.set(count.get().saturating_sub(1));
    }
}

async fn serve_connection<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    stream: TcpStream,
    fresh: ConnectionCount<D>,
    closing: impl Future<Output = ()>,
) {
    let _count = ConnectionCount::open(gateway.clone());
    // The option only reduces latency; the stream works without it.
    let _ = stream.set_nodelay(true);
    let limits = gateway
        .published()
        .and_then(|published| published.table.limits().copied());
    let limits = ConnectionLimits::new(limits);
    let fresh = Cell::new(Some(fresh));
    let service = service_fn(|request| {
        fresh.take();
        answer(gateway.clone(), request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.buffer)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A connection fails if the caller leaves or doesn't send valid HTTP. A request that was affected has been counted
    // where it was handled.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    let stopping = gateway.is_stopping();
    let mut response = forward::handle(gateway.clone(), request).await;
    let sheds_load = gateway.sheds_load();
    if stopping || sheds_load {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
