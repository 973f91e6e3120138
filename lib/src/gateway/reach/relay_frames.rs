//! Frames of a relayed connection, and what its end means.
//!
//! The system closes the connections of a process that is killed as if the process had closed them itself, so the end of
//! the connection to a relay says nothing about the endpoint. Bytes from the endpoint therefore travel in frames: two
//! bytes of length in network order, then the bytes. An empty frame states that the endpoint has closed its connection;
//! a connection that ends without one was cut. Bytes to the endpoint aren't framed.

use {
    bytes::Bytes,
    futures_util::{SinkExt, Stream, StreamExt, TryStreamExt, future::ready, stream::once},
    std::io,
    tokio::{
        io::{AsyncRead, AsyncWrite, join},
        net::{TcpStream, tcp::OwnedWriteHalf},
    },
    tokio_util::{
        codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
        io::{ReaderStream, StreamReader},
    },
};

/// Largest number of bytes in a frame.
const MAX_FRAME: usize = 8 << 10;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Copies the bytes of an endpoint's connection into frames until the endpoint closes it, and states that it has.
///
/// # Errors
///
/// Returns an error if one of the connections fails. The empty frame isn't written then.
pub(super) async fn copy_framed(
    endpoint: impl AsyncRead + Unpin,
    daemon: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    let mut frames = FramedWrite::new(daemon, codec());
    let mut chunks = ReaderStream::with_capacity(endpoint, MAX_FRAME);
    while let Some(chunk) = chunks.try_next().await? {
        frames.send(chunk).await?;
    }
    frames.send(Bytes::new()).await
}

/// Returns a connection to an endpoint over `tunnel`, whose relay sends frames. It ends when the endpoint closes it;
/// reading fails if the tunnel ends before.
pub(super) fn read_framed(tunnel: TcpStream) -> impl AsyncRead + AsyncWrite + Unpin {
    let (read, write) = tunnel.into_split();
    let frames = FramedRead::new(read, codec()).map_ok(Bytes::from);
    let bytes = fail_at_end(frames).try_take_while(|bytes| ready(Ok(!bytes.is_empty())));
    connection(bytes, write)
}

/// Returns a connection to an endpoint over `tunnel`, whose relay sends plain bytes. Reading fails at the end of the
/// tunnel, so that only replies that state their length are whole.
pub(super) fn read_plain(tunnel: TcpStream) -> impl AsyncRead + AsyncWrite + Unpin {
    let (read, write) = tunnel.into_split();
    connection(fail_at_end(ReaderStream::new(read)), write)
}

/// Appends an error to the bytes of a tunnel.
fn fail_at_end(
    bytes: impl Stream<Item = io::Result<Bytes>>,
) -> impl Stream<Item = io::Result<Bytes>> {
    let cut = io::Error::new(io::ErrorKind::UnexpectedEof, "the relay ended");
    bytes.chain(once(ready(Err(cut))))
}

fn connection(
    bytes: impl Stream<Item = io::Result<Bytes>>,
    write: OwnedWriteHalf,
) -> impl AsyncRead + AsyncWrite + Unpin {
    join(StreamReader::new(Box::pin(bytes)), write)
}
