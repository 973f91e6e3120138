//! HTTP client for the trace exporter, which checks the collector's response.
//!
//! The exporter treats every response with status 200 as a success, and doesn't state the cause of a failure. This
//! client checks the response as OTLP defines it: it must have the content type of the request, and may count spans
//! that the collector refused. Without this check, spans sent to another server that answers 200 would count as
//! exported. This happened in 3 of 300 runs of the test `absent_collector`, when a server of another test had been
//! given the collector's port.

use {
    async_trait::async_trait,
    bytes::Bytes,
    http::{
        HeaderMap, Request, Response,
        header::{CONTENT_TYPE, HeaderValue},
    },
    opentelemetry_http::{HttpClient, HttpError, hyper::HyperClient},
    serde::{Deserialize, Deserializer, de::Error as _},
    serde_json::{Map, Value},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    thiserror::Error,
};

/// Content type of OTLP requests and responses in JSON.
const OTLP_JSON: &str = "application/json";

/// Why an export request wasn't answered by a collector with success.
#[derive(Debug, Clone, Error)]
pub(super) enum ExportResponseError {
    /// There was no complete response, or one with a status other than success.
    #[error("the export request failed: {0}")]
    Transport(String),
    /// The response has another content type than OTLP requires.
    #[error(
        "the response has the content type {content_type:?} instead of {OTLP_JSON}; the server isn't an OTLP collector"
    )]
    ContentType {
        /// Content type of the response; empty if it has none.
        content_type: String,
    },
    /// The body of the response isn't one that OTLP defines.
    #[error("the response isn't an OTLP export response: {0}")]
    Malformed(String),
}

/// Number of spans that the collector refused, or why the export failed.
type ExportResult = Result<u64, ExportResponseError>;

/// HTTP client that keeps the result of its last export request. Clones share the result.
#[derive(Debug, Clone)]
pub(super) struct CollectorClient {
    http: HyperClient,
    last_result: Arc<Mutex<ExportResult>>,
}

impl CollectorClient {
    /// Builds a client whose requests take at most `limit`.
    pub(super) fn new(limit: Duration) -> Self {
        Self {
            http: HyperClient::with_default_connector(limit, None),
            last_result: Arc::new(Mutex::new(Ok(0))),
        }
    }

    /// Returns the result of the last export request.
    pub(super) fn last_result(&self) -> ExportResult {
        self.last_result
            .lock()
            .expect("no panic while held")
            .clone()
    }

    fn set_last_result(&self, result: ExportResult) {
        *self.last_result.lock().expect("no panic while held") = result;
    }
}

#[async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let sent = self.http.send_bytes(request).await;
        self.set_last_result(match &sent {
            Ok(response) if response.status().is_success() => check_response(response),
            Ok(response) => Err(ExportResponseError::Transport(
                response.status().to_string(),
            )),
            Err(error) => Err(ExportResponseError::Transport(error_chain(error))),
        });
        sent
    }
}

/// Returns the texts of an error and its causes. The first alone states only that a request failed.
fn error_chain(error: &HttpError) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    text
}

/// Checks a response with a success status. An empty body, which some collectors send, means that no span was refused.
fn check_response(response: &Response<Bytes>) -> ExportResult {
    check_content_type(response.headers())?;
    if response.body().is_empty() {
        return Ok(0);
    }
    let malformed = |error: serde_json::Error| ExportResponseError::Malformed(error.to_string());
    // Parsed as an object first, because an empty array would be accepted as a response without fields.
    let object: Map<String, Value> = serde_json::from_slice(response.body()).map_err(malformed)?;
    let parsed = ExportResponse::deserialize(Value::Object(object)).map_err(malformed)?;
    Ok(parsed.partial_success.rejected_spans)
}

/// Checks that the response has the content type of the request (OTLP, section "OTLP/HTTP Response").
fn check_content_type(headers: &HeaderMap) -> Result<(), ExportResponseError> {
    let content_type = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let content_type = String::from_utf8_lossy(content_type.unwrap_or_default());
    // Parameters, such as a character set, may follow the type.
    let essence = content_type.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case(OTLP_JSON) {
        return Ok(());
    }
    let content_type = content_type.into_owned();
    Err(ExportResponseError::ContentType { content_type })
}

/// `ExportTraceServiceResponse` of OTLP. Unknown fields are ignored, as OTLP requires.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct ExportResponse {
    partial_success: PartialSuccess,
}

/// `ExportTracePartialSuccess` of OTLP.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct PartialSuccess {
    #[serde(deserialize_with = "read_count")]
    rejected_spans: u64,
}

/// Reads a 64-bit number. The JSON format of Protocol Buffers writes it as a string; some servers write a number.
fn read_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Count {
        Number(u64),
        Text(String),
    }
    match Count::deserialize(deserializer)? {
        Count::Number(number) => Ok(number),
        Count::Text(text) => text.parse().map_err(D::Error::custom),
    }
}
