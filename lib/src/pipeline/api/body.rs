//! Reading of a caller's body.
//!
//! Owns the cap on a body's size and its form as JSON; the tree's own limit on size is checked by the
//! core, which knows the pipeline.

use {
    crate::{
        pipeline::api::problem::{ApiProblem, bad_request},
        shared::{
            json,
            problem::{Code, Problem},
            units::Millis,
        },
    },
    bytes::{Bytes, BytesMut},
    dropshot::StreamingBody,
    futures_util::TryStreamExt,
};

/// Largest body that is read at all, in bytes; settings can only allow less.
pub const BODY_CAP: usize = 16 * 1024 * 1024;

/// Cap of `dropshot` itself, in bytes: above ours, since its refusal doesn't say what is wrong.
pub const DROPSHOT_CAP: usize = 2 * BODY_CAP;

fn check_body_size(size: usize) -> Result<(), ApiProblem> {
    if size <= BODY_CAP {
        return Ok(());
    }
    let detail = format!("the body has more than {BODY_CAP} bytes");
    Err(Problem::not_run(Code::BodyTooLarge, detail).into())
}

/// Reads a whole JSON body within its time.
///
/// # Errors
///
/// Returns a problem when the body breaks off, is too large, comes too slowly or isn't JSON.
pub(super) async fn read_request(body: StreamingBody, limit: Millis) -> Result<Bytes, ApiProblem> {
    let chunks = body.into_stream().map_err(ApiProblem::from);
    let read = chunks.try_fold(BytesMut::new(), |mut whole, chunk| async move {
        whole.extend_from_slice(&chunk);
        check_body_size(whole.len())?;
        Ok(whole)
    });
    let body = match tokio::time::timeout(limit.to_duration(), read).await {
        Ok(read) => read?.freeze(),
        Err(_) => {
            let detail = format!("the body didn't arrive within {limit}");
            return Err(Problem::not_run(Code::ReceiveTimeout, detail).into());
        }
    };
    match json::check(&body) {
        Ok(()) => Ok(body),
        Err(error) => Err(bad_request(format!("the body isn't JSON: {error}"))),
    }
}
