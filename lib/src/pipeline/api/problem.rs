//! Builds the HTTP responses of problems, as `application/problem+json` (RFC 9457), and of whole answers.
//!
//! `shared::problem` defines the codes and outcomes.

use {
    crate::{
        pipeline::endpoints::wire,
        shared::{
            ids::RequestId,
            problem::{Code, Problem},
            units::Millis,
        },
    },
    bytes::Bytes,
    dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError},
    http::{Response, StatusCode, header},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Media type of problem responses.
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Milliseconds in a second, the unit of the header `retry-after` (RFC 9110, section 10.2.3).
const MILLIS_PER_SECOND: u64 = 1_000;

/// Body of a problem.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ProblemBody {
    /// `urn:hazelyoke:problem:` and the code.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Explains the matter to people.
    pub detail: String,
    /// Stable reason.
    pub code: String,
    /// `not_run` if nothing of the work ran or will run, else `unknown`.
    pub outcome: String,
    /// Id under which logs and traces show the request.
    pub request_id: Option<String>,
    /// Milliseconds after which another try may be worth it.
    pub retry_after_ms: Option<u64>,
}

/// A problem to send to a caller, with the id of its request if it has one.
#[derive(Debug, Clone)]
pub struct ApiProblem {
    problem: Problem,
    request: Option<RequestId>,
}

impl ApiProblem {
    /// Builds the problem of the request with the id `request`, if it has one.
    pub fn new(problem: Problem, request: Option<RequestId>) -> Self {
        Self { problem, request }
    }

    /// Returns the body of the problem response.
    pub fn body(&self) -> ProblemBody {
        let code = self.problem.code.as_str();
        ProblemBody {
            kind: format!("urn:hazelyoke:problem:{code}"),
            title: code.replace('_', " "),
            status: self.problem.code.status(),
            detail: self.problem.detail.clone(),
            code: code.to_owned(),
            outcome: self.problem.outcome.to_string(),
            request_id: self.request.map(|id| id.to_string()),
            retry_after_ms: self.problem.retry_after.map(|Millis(ms)| ms),
        }
    }
}

impl fmt::Display for ApiProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.problem.fmt(f)
    }
}

impl From<Problem> for ApiProblem {
    fn from(problem: Problem) -> Self {
        Self::new(problem, None)
    }
}

/// Converts an error of a `dropshot` extractor. The outcome is `not_run`, since extractors run before the handler.
impl From<HttpError> for ApiProblem {
    fn from(error: HttpError) -> Self {
        let code = match error.status_code.as_status() {
            StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => Code::NotFound,
            StatusCode::PAYLOAD_TOO_LARGE => Code::BodyTooLarge,
            status if status.is_client_error() => Code::BadRequest,
            _ => Code::Internal,
        };
        Problem::not_run(code, error.external_message).into()
    }
}

impl fmt::Display for ProblemBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.outcome, self.detail)
    }
}

impl From<HttpError> for ProblemBody {
    fn from(error: HttpError) -> Self {
        ApiProblem::from(error).body()
    }
}

/// Used by `dropshot` for the interface's document. It would send a problem with the media type of plain JSON, so
/// handlers build the response by [`respond`] instead.
impl HttpResponseError for ProblemBody {
    fn status_code(&self) -> ErrorStatusCode {
        // Every code has a status of 400 or above, so the fallback is never used.
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// Turns a problem into a response with its media type, which `dropshot` wouldn't set.
///
/// # Errors
///
/// Returns the problem's body if the response can't be built.
#[expect(
    clippy::result_large_err,
    reason = "dropshot takes the error type itself, unboxed"
)]
pub fn respond(result: Result<Response<Body>, ApiProblem>) -> Result<Response<Body>, ProblemBody> {
    let problem = match result {
        Ok(response) => return Ok(response),
        Err(problem) => problem,
    };
    let body = problem.body();
    let json = serde_json::to_string(&body).expect("texts and numbers are JSON");
    let mut builder = Response::builder()
        .status(body.status)
        .header(header::CONTENT_TYPE, PROBLEM_MEDIA_TYPE);
    if let Some(wait) = problem.problem.retry_after {
        builder = builder.header(header::RETRY_AFTER, wait.0.div_ceil(MILLIS_PER_SECOND));
    }
    builder.body(json.into()).map_err(|_| body)
}

/// Builds a `bad_request` problem.
pub fn bad_request(detail: impl Into<String>) -> ApiProblem {
    Problem::not_run(Code::BadRequest, detail).into()
}

/// Builds the response of a whole answer.
pub fn json_response(status: u16, request: RequestId, body: Bytes) -> Response<Body> {
    // The status was received from an endpoint, so it is valid. If it weren't, the answer would count as a failure.
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .header(wire::REQUEST_ID_HEADER, request.to_string())
        .body(body.into())
        .expect("fixed headers and an id are valid")
}
