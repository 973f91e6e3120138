//! Reading of a caller's body.

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

/// Largest body that is read at all; settings can only allow less.
pub const BODY_CAP: usize = 16 * 1024 * 1024;

/// `dropshot`'s own refusal of a body over its cap doesn't say what is wrong, so that cap is higher.
fn check_body_size(size: usize) -> Result<(), ApiProblem> {
    if size <= BODY_CAP {
        return Ok(());
    }
    let detail = format!("the body has more than {BODY_CAP} bytes");
    Err(Problem::not_run(Code::BodyTooLarge, detail).into())
}

/// Reads a whole JSON body within its time; the settings' size limit is checked by the core.
pub(super) async fn read_request(body: StreamingBody, limit: Millis) -> Result<Bytes, ApiProblem> {
    let stream = body.into_stream();
    let stream = stream.map_err(ApiProblem::from);
    let read = stream.try_fold(BytesMut::new(), |mut whole, chunk| async move {
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
