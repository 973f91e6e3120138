//! Ends connections on which bytes arrive without end that are no answer: interim responses, padded chunk sizes, trailers,
//! and whatever else a parser reads without ever delivering anything.
//!
//! The HTTP client bounds single heads, chunk extensions and trailers, but not how many interim responses it skips, nor
//! the zeros and blanks around a chunk's size. The guard needs no knowledge of the format: it counts the bytes that are
//! read from the connection since its reader last got a head or a part of the body.

use {
    hyper::body::{Body, Bytes, Frame, Incoming, SizeHint},
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Maximum number of bytes that are read without delivering anything. A sound reply needs a few times the buffer of the HTTP
/// client, which reads ahead of a slow reader.
const MAX_UNDELIVERED: usize = 128 * 1024;

/// Number of bytes that were read since something was last delivered; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct Undelivered(Rc<Cell<usize>>);

impl Undelivered {
    /// Records that a head or a part of a body was delivered.
    pub(super) fn reset(&self) {
        self.0.set(0);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        self.0.set(self.0.get() + bytes);
        if self.0.get() > MAX_UNDELIVERED {
            let error = "too many bytes without an answer";
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        Ok(())
    }
}

/// A connection whose reads fail after too many bytes that deliver nothing.
#[derive(Debug)]
pub(super) struct GuardedStream<S> {
    stream: S,
    undelivered: Undelivered,
}

impl<S> GuardedStream<S> {
    pub(super) fn new(stream: S, undelivered: Undelivered) -> Self {
        Self {
            stream,
            undelivered,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(Ok(())) => {
                let bytes = buffer.filled().len() - before;
                Poll::Ready(self.undelivered.add(bytes))
            }
            other => other,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Body of a reply on a guarded connection.
#[derive(Debug)]
pub struct GuardedBody {
    body: Incoming,
    undelivered: Undelivered,
}

impl GuardedBody {
    pub(super) fn new(body: Incoming, undelivered: Undelivered) -> Self {
        Self { body, undelivered }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && frame.is_data()
        {
            self.undelivered.reset();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
