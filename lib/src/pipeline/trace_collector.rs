//! HTTP client of the trace exporter, which says what became of an export.
//!
//! The exporter takes any answer of status 200 for success, and names no reason for a failure. This client judges the
//! answer by OTLP: it has the type of the request and counts the spans that the collector refused. Without it, spans
//! that another server answered with 200 counted as received: 3 of 300 runs of the test `absent_collector`, beside
//! tests whose servers got the collector's port. Owns the verdict on the last answer; relies on `opentelemetry-http`
//! for the transport.

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

/// Type of OTLP's requests and answers in OTLP_JSON.
const OTLP_JSON: &str = "application/json";

/// Why the spans of an export didn't reach a collector.
#[derive(Debug, Clone, Error)]
pub(super) enum AnswerError {
    /// There was no whole answer.
    #[error("{0}")]
    Transport(String),
    /// The answer has another type than OTLP asks for.
    #[error("the answer's type is {kind:?}, not {OTLP_JSON}; not a collector")]
    Kind {
        /// The type; empty if there is none.
        kind: String,
    },
    /// The answer isn't one of OTLP.
    #[error("the answer isn't one of a collector: {0}")]
    Form(String),
}

/// Spans that the collector refused in the last answer, or why that wasn't a collector's.
type Verdict = Result<u64, AnswerError>;

/// A client that keeps the verdict on its last answer; clones share it.
#[derive(Debug, Clone)]
pub(super) struct CollectorClient {
    http: HyperClient,
    last: Arc<Mutex<Verdict>>,
}

impl CollectorClient {
    /// Builds a client whose calls take at most `limit`.
    pub(super) fn new(limit: Duration) -> Self {
        Self {
            http: HyperClient::with_default_connector(limit, None),
            last: Arc::new(Mutex::new(Ok(0))),
        }
    }

    /// Returns the verdict on the last answer.
    pub(super) fn verdict(&self) -> Verdict {
        self.last.lock().expect("no panic while held").clone()
    }

    fn keep(&self, verdict: Verdict) {
        *self.last.lock().expect("no panic while held") = verdict;
    }
}

#[async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let sent = self.http.send_bytes(request).await;
        self.keep(match &sent {
            Ok(response) if response.status().is_success() => judge(response),
            Ok(response) => Err(AnswerError::Transport(response.status().to_string())),
            Err(error) => Err(AnswerError::Transport(reason(error))),
        });
        sent
    }
}

/// Returns an error's text with those of its causes: the first alone says only that a request failed.
fn reason(error: &HttpError) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    text
}

/// Judges an answer of success. One without a body, as some collectors send it, refuses nothing.
fn judge(response: &Response<Bytes>) -> Verdict {
    check_kind(response.headers())?;
    if response.body().is_empty() {
        return Ok(0);
    }
    let form = |error: serde_json::Error| AnswerError::Form(error.to_string());
    // Read as an object first: a list would pass for an answer whose fields are all missing.
    let object: Map<String, Value> = serde_json::from_slice(response.body()).map_err(form)?;
    let answer = ExportAnswer::deserialize(Value::Object(object)).map_err(form)?;
    Ok(answer.partial_success.rejected_spans)
}

/// An answer has the type of its request (OTLP, section "OTLP/HTTP Response").
fn check_kind(headers: &HeaderMap) -> Result<(), AnswerError> {
    let kind = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let kind = String::from_utf8_lossy(kind.unwrap_or_default());
    // Parameters, such as a character set, may follow.
    let essence = kind.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case(OTLP_JSON) {
        return Ok(());
    }
    let kind = kind.into_owned();
    Err(AnswerError::Kind { kind })
}

/// `ExportTraceServiceResponse` of OTLP; fields that aren't known are ignored, as OTLP asks.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct ExportAnswer {
    partial_success: PartialSuccess,
}

/// `ExportTracePartialSuccess` of OTLP.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct PartialSuccess {
    #[serde(deserialize_with = "read_count")]
    rejected_spans: u64,
}

/// Reads a 64-bit number, which OTLP_JSON of Protocol Buffers writes as text, and some servers as a number.
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
