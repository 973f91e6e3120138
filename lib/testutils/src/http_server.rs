//! A minimal HTTP/1.1 server on loopback for the test doubles.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, future::Future, io, net::SocketAddr},
    tokio::{
        net::TcpListener,
        task::{AbortHandle, JoinSet},
    },
};

/// Body of a response. An error closes the connection before the end of the body.
pub type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// Builds a body that is sent as a single frame.
pub fn whole_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Builds an empty body.
pub fn empty_body() -> ReplyBody {
    Empty::new()
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: AbortHandle,
}

impl Server {
    /// Starts to serve requests with `handle` on `address`. Port 0 selects a free one.
    ///
    /// If the handler returns `None`, the connection is closed without a reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start<H, F>(address: SocketAddr, handle: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Option<Response<ReplyBody>>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handle)).abort_handle();
        Ok(Self { address, task })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections. The set owns their tasks, so that they end together with this task.
async fn accept<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<ReplyBody>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        // Ignores a connection that failed before it was accepted. Its caller notices the failure.
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        // Without this option replies are only slower, and setting it fails only if the connection has failed.
        let _ = socket.set_nodelay(true);
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let reply = handle(request);
            async move { reply.await.ok_or_else(|| io::Error::other("broken off")) }
        });
        connections.spawn(async move {
            // Some tests break the connection on purpose.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
}
