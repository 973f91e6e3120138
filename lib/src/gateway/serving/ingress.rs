//! Takes callers' connections and hands their requests on.

use {
    crate::gateway::{
        dialect::Dialect,
        routing::forward,
        state::Gateway,
        wire::{listen::accept_each, reply::ReplyBody},
    },
    http::{HeaderValue, Request, Response, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Limits until a table tells others.
const IDLE: Duration = Duration::from_secs(15);
const HEAD_SIZE: usize = 16 * 1024;

/// Least size of the buffer that a connection needs.
const LEAST_BUFFER: usize = 8 * 1024;

/// How far a stop of this daemon is, for its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerState {
    /// Connections are taken and kept.
    Open,
    /// No connection is taken; those that rest are closed.
    Closing,
}

/// Accepts callers until connections are no longer taken.
pub async fn serve<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    listener: TcpListener,
    mut admission: watch::Receiver<ListenerState>,
) {
    let connections = admission.clone();
    let accepting = accept_each(listener, "ingress.accept_failed", |stream, _| {
        let connection = serve_connection(gateway.clone(), stream, connections.clone());
        tokio::task::spawn_local(connection);
    });
    tokio::select! {
        () = accepting => {}
        _ = admission.changed() => {}
    }
}

async fn serve_connection<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    stream: TcpStream,
    mut admission: watch::Receiver<ListenerState>,
) {
    // Latency only; a stream without it still works.
    let _ = stream.set_nodelay(true);
    let limits = gateway
        .published()
        .and_then(|published| published.table.limits().copied());
    let idle = limits.map_or(IDLE, |limits| {
        limits.idle.max(limits.head_time).to_duration()
    });
    let head_size = limits.map_or(HEAD_SIZE, |limits| limits.head.0 as usize);
    let service = service_fn(|request| answer(gateway.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_size.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        // The sender lives as long as the daemon does.
        let _ = admission
            .wait_for(|state| *state == ListenerState::Closing)
            .await;
    };
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
    let stopping = gateway.stopping.get();
    let mut response = forward::handle(gateway, request).await;
    if stopping {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
