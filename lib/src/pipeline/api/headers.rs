//! Headers of a caller's request: as they come, and as they are checked.
//!
//! Owns their names, their limits and the problem of each that is wrong. The comments of
//! [`CallHeaders`] are published in `docs/openapi.json`.

use {
    crate::{
        pipeline::{
            api::problem::{ApiProblem, bad_request},
            endpoints::wire,
        },
        settings::values::Priority,
        shared::{
            ids::{CustomerId, IdempotencyKey},
            problem::{Code, Problem},
            units::{ByteSize, Millis},
        },
    },
    async_trait::async_trait,
    dropshot::{
        ApiEndpointBodyContentType, ExtractorMetadata, Header, HttpError, RequestContext,
        ServerContext, SharedExtractor,
    },
    http::{HeaderMap, header},
    schemars::JsonSchema,
    serde::Deserialize,
    std::{fmt::Display, str::FromStr},
};

/// Longest time left that a caller may name: one hour.
const MAX_DEADLINE: Millis = Millis(3_600_000);

/// Header with the customer; only callers use it, so it isn't among the endpoints' headers.
const CUSTOMER_HEADER: &str = "x-customer";

/// Media type that a caller accepts to receive tokens as they come.
const EVENT_STREAM: &str = "text/event-stream";

/// Headers of a caller's request as they come.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct CallHeaders {
    /// Customer that the request belongs to.
    #[serde(rename = "x-customer")]
    customer: Option<String>,
    /// Milliseconds left; the settings' deadline holds if it is shorter.
    #[serde(rename = "x-deadline-ms")]
    deadline: Option<String>,
    /// `low`, `normal` or `high`; can only lower the settings' priority.
    #[serde(rename = "x-priority")]
    priority: Option<String>,
    /// Key under which the request may be repeated.
    #[serde(rename = "idempotency-key")]
    key: Option<String>,
    /// W3C trace context.
    pub(crate) traceparent: Option<String>,
    /// `text/event-stream` asks for tokens as they come.
    accept: Option<String>,
}

impl CallHeaders {
    /// Header values that aren't text are kept with replacement characters, so that the check of
    /// that header refuses them as a problem.
    fn new(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name)?;
            Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        Self {
            customer: text(CUSTOMER_HEADER),
            deadline: text(wire::DEADLINE_HEADER),
            priority: text(wire::PRIORITY_HEADER),
            key: text(wire::KEY_HEADER),
            traceparent: text(wire::TRACE_HEADER),
            accept: text(header::ACCEPT.as_str()),
        }
    }
}

/// Documented like `dropshot`'s own `Header`, but never refuses: that refusal would not be
/// `application/problem+json`.
#[async_trait]
impl SharedExtractor for CallHeaders {
    async fn from_request<C: ServerContext>(
        context: &RequestContext<C>,
    ) -> Result<Self, HttpError> {
        Ok(Self::new(context.request.headers()))
    }

    fn metadata(content: ApiEndpointBodyContentType) -> ExtractorMetadata {
        <Header<Self> as SharedExtractor>::metadata(content)
    }
}

/// Headers of a caller's request, checked.
#[derive(Debug)]
pub struct CallOptions {
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Time left, if the caller names one.
    pub remaining: Option<Millis>,
    /// Priority, if the caller names one.
    pub priority: Option<Priority>,
    /// Key under which the request may be repeated.
    pub key: Option<IdempotencyKey>,
    /// True if tokens are passed on as they come.
    pub stream: bool,
}

impl TryFrom<&CallHeaders> for CallOptions {
    type Error = ApiProblem;

    fn try_from(headers: &CallHeaders) -> Result<Self, ApiProblem> {
        let Some(customer) = &headers.customer else {
            return Err(bad_request(format!("{CUSTOMER_HEADER} is missing")));
        };
        let remaining = headers.deadline.as_deref().map(parse_deadline);
        // No `accept` accepts anything, and a whole answer is the usual form.
        let accept = headers.accept.as_deref().unwrap_or_default();
        Ok(Self {
            customer: parse_header(CUSTOMER_HEADER, customer)?,
            remaining: remaining.transpose()?,
            priority: parse_optional(wire::PRIORITY_HEADER, headers.priority.as_deref())?,
            key: parse_optional(wire::KEY_HEADER, headers.key.as_deref())?,
            stream: accept.contains(EVENT_STREAM),
        })
    }
}

/// Parses a text from a path or header.
///
/// # Errors
///
/// Returns a bad-request problem that names the part.
pub fn parse_header<T: FromStr<Err: Display>>(name: &str, text: &str) -> Result<T, ApiProblem> {
    text.parse()
        .map_err(|error| bad_request(format!("{name}: {error}")))
}

fn parse_optional<T: FromStr<Err: Display>>(
    name: &str,
    text: Option<&str>,
) -> Result<Option<T>, ApiProblem> {
    text.map(|text| parse_header(name, text)).transpose()
}

fn parse_deadline(text: &str) -> Result<Millis, ApiProblem> {
    match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE.0).contains(&ms) => Ok(Millis(ms)),
        _ => Err(bad_request(format!(
            "{}: {text:?} is not a number from 1 to {}",
            wire::DEADLINE_HEADER,
            MAX_DEADLINE.0
        ))),
    }
}

/// Checks the size of all names and values together, in bytes.
///
/// # Errors
///
/// Returns a `headers_too_large` problem.
pub(super) fn check_header_size(headers: &HeaderMap, limit: ByteSize) -> Result<(), ApiProblem> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size as u64 <= limit.0 {
        return Ok(());
    }
    let detail = format!("the headers have {size} bytes, {limit} are allowed");
    Err(Problem::not_run(Code::HeadersTooLarge, detail).into())
}
