//! Bodies of replies to callers, and replies that report a problem.
//!
//! A body is available either as a whole or in parts. A body in parts that ends without [`StreamPart::End`] fails the
//! connection, so that the caller can't take it for a complete body.

use {
    crate::{gateway::dialect::Dialect, shared::problem::Problem},
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    hyper::body::{Body, Frame, SizeHint},
    serde::Serialize,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    thiserror::Error,
    tokio::sync::mpsc,
};

/// Reports a body that ended before it was complete, which makes `hyper` close the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the body of the reply is incomplete")]
pub struct IncompleteBody;

/// Body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// The whole body; `None` if it is empty or has been sent.
    Whole(Option<Bytes>),
    /// A body that is received in parts.
    Stream(mpsc::Receiver<StreamPart>),
}

/// A part of a body. A body without [`StreamPart::End`] is incomplete, for whatever reason its sender was dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
}

impl ReplyBody {
    /// Creates a body that is available as a whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => receiver.poll_recv(context).map(|next| match next {
                Some(StreamPart::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPart::End) => None,
                None => Some(Err(IncompleteBody)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// JSON body of a problem. It has fewer fields than that of the pipeline daemon (`pipeline::api::problem`). Callers
/// depend on both formats.
#[derive(Debug, Serialize)]
struct ForwardProblem<'a> {
    title: &'static str,
    code: &'static str,
    outcome: &'static str,
    detail: &'a str,
}

/// Builds the reply that reports a problem to a caller, with headers of the dialect `D`.
pub fn problem_reply<D: Dialect>(problem: &Problem) -> Response<ReplyBody> {
    let body = ForwardProblem {
        title: "the request was not answered",
        code: problem.code.as_str(),
        outcome: problem.outcome.as_str(),
        detail: &problem.detail,
    };
    let json = serde_json::to_vec(&body).expect("a struct of strings serialises");
    let mut response = Response::new(ReplyBody::whole(json));
    let status = StatusCode::from_u16(problem.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(wait) = problem.retry_after {
        D::write_retry_after(response.headers_mut(), wait.to_duration());
    }
    response
}
