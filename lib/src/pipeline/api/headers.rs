//! Reads and checks the headers of a caller's request. A header with an invalid value leads to a problem that names
//! it.
//!
//! The doc comments of [`CallHeaders`] are published in `docs/openapi.json`.

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

/// Largest value of the deadline header: one hour.
const MAX_DEADLINE: Millis = Millis(3_600_000);

/// Header with the customer. Not in [`wire`], since it isn't sent to endpoints.
const CUSTOMER_HEADER: &str = "x-customer";

/// Media type that a caller lists in `accept` to receive the answer as a stream of tokens.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

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
    /// Takes the headers from a request, without any check. Bytes that aren't UTF-8 become replacement characters,
    /// so that the check of that header refuses the value with a problem.
    fn new(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name)?;
            Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        Self {
            customer: text(CUSTOMER_HEADER),
            deadline: text(wire::DEADLINE_HEADER),
            priority: text(wire::PRIORITY_HEADER),
            key: text(wire::IDEMPOTENCY_KEY_HEADER),
            traceparent: text(wire::TRACEPARENT_HEADER),
            accept: text(header::ACCEPT.as_str()),
        }
    }
}

/// Has the same documentation as `dropshot`'s extractor `Header`, but never refuses a request, because that refusal
/// would not be `application/problem+json`.
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

/// Checked headers of a caller's request.
#[derive(Debug)]
pub struct CallOptions {
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Time left until the deadline, if the caller sets one.
    pub remaining: Option<Millis>,
    /// Priority, if the caller sets one.
    pub priority: Option<Priority>,
    /// Key under which the request may be repeated.
    pub key: Option<IdempotencyKey>,
    /// Set if the answer is streamed token by token.
    pub stream: bool,
}

impl TryFrom<&CallHeaders> for CallOptions {
    type Error = ApiProblem;

    fn try_from(headers: &CallHeaders) -> Result<Self, ApiProblem> {
        let Some(customer) = &headers.customer else {
            return Err(bad_request(format!("{CUSTOMER_HEADER} is missing")));
        };
        let remaining = headers.deadline.as_deref().map(parse_deadline);
        // Without `accept`, any media type is accepted; a whole answer is the default.
        let accept = headers.accept.as_deref().unwrap_or_default();
        Ok(Self {
            customer: parse_parameter(CUSTOMER_HEADER, customer)?,
            remaining: remaining.transpose()?,
            priority: parse_optional_header(wire::PRIORITY_HEADER, headers.priority.as_deref())?,
            key: parse_optional_header(wire::IDEMPOTENCY_KEY_HEADER, headers.key.as_deref())?,
            stream: accept.contains(EVENT_STREAM_TYPE),
        })
    }
}

/// Parses the text of a path segment or header; `name` is its name in the problem.
///
/// # Errors
///
/// Returns a `bad_request` problem that begins with `name`.
pub fn parse_parameter<T: FromStr<Err: Display>>(name: &str, text: &str) -> Result<T, ApiProblem> {
    text.parse()
        .map_err(|error| bad_request(format!("{name}: {error}")))
}

fn parse_optional_header<T: FromStr<Err: Display>>(
    name: &str,
    text: Option<&str>,
) -> Result<Option<T>, ApiProblem> {
    text.map(|text| parse_parameter(name, text)).transpose()
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
