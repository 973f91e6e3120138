//! A small HTTP/1.1 server on loopback for the stand-ins.

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

/// Body of a stand-in's response; an error breaks the connection off.
pub type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// Builds a body that is sent at once.
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

/// A running server; dropping it closes the listener and breaks off all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: AbortHandle,
}

impl Server {
    /// Serves requests with `handle` on `address`; port 0 chooses a free one.
    ///
    /// A handler that returns `None` breaks the connection off without a reply.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
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

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections live in the set, so that they end together with the accepting task.
async fn accept<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<ReplyBody>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        // A connection that broke before it was accepted concerns nobody; its caller sees it.
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        // Only slows replies down, and fails only where the connection has broken already.
        let _ = socket.set_nodelay(true);
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let reply = handle(request);
            async move { reply.await.ok_or_else(|| io::Error::other("broken off")) }
        });
        connections.spawn(async move {
            // A broken connection is what some tests ask for.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
}
