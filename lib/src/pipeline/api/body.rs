//! Reads the body of a caller's request, and checks its size and that it is JSON.
//!
//! The smaller size limit from the settings tree is checked by the core, which knows the pipeline.

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

/// Size of the largest body accepted, in bytes. The settings tree can only lower it.
pub const MAX_BODY_SIZE: usize = 16 * 1024 * 1024;

/// Size of the largest body that `dropshot` itself accepts, in bytes. Above [`MAX_BODY_SIZE`], since its error doesn't
/// state the cause.
pub const DROPSHOT_MAX_BODY_SIZE: usize = 2 * MAX_BODY_SIZE;

fn check_body_size(size: usize) -> Result<(), ApiProblem> {
    if size <= MAX_BODY_SIZE {
        return Ok(());
    }
    let detail = format!("the body has more than {MAX_BODY_SIZE} bytes");
    Err(Problem::not_run(Code::BodyTooLarge, detail).into())
}

/// Reads a complete JSON body, which must arrive within `timeout`.
///
/// # Errors
///
/// Returns a problem if the body is incomplete, too large, late or not JSON.
pub(super) async fn read_json_body(
    body: StreamingBody,
    timeout: Millis,
) -> Result<Bytes, ApiProblem> {
    let chunks = body.into_stream().map_err(ApiProblem::from);
    let read = chunks.try_fold(BytesMut::new(), |mut whole, chunk| async move {
        whole.extend_from_slice(&chunk);
        check_body_size(whole.len())?;
        Ok(whole)
    });
    let body = match tokio::time::timeout(timeout.to_duration(), read).await {
        Ok(read) => read?.freeze(),
        Err(_) => {
            let detail = format!("the body didn't arrive within {timeout}");
            return Err(Problem::not_run(Code::ReceiveTimeout, detail).into());
        }
    };
    match json::check(&body) {
        Ok(()) => Ok(body),
        Err(error) => Err(bad_request(format!("the body isn't JSON: {error}"))),
    }
}
