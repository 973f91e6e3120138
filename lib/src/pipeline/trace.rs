//! Trace spans and their export over OTLP.
//!
//! Ended spans are queued, and a background task exports them, so requests never wait for the collector. If the queue
//! is full or the export fails, spans are dropped and counted. `docs/PROTOCOLS.md`, section Traces, describes the
//! spans; `opentelemetry` samples them.

use {
    crate::{
        pipeline::trace_collector::{CollectorClient, ExportResponseError},
        shared::tasks::{Panicked, catch_panic},
    },
    opentelemetry::{
        Context, KeyValue,
        trace::{
            Span as _, SpanBuilder, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags,
            TraceId, TraceState, Tracer as _, TracerProvider as _,
        },
    },
    opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig, WithHttpConfig},
    opentelemetry_sdk::{
        Resource,
        error::{OTelSdkError, OTelSdkResult},
        trace::{
            Sampler, SdkTracer, SdkTracerProvider, Span, SpanData, SpanExporter as _, SpanProcessor,
        },
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    thiserror::Error,
    tokio::sync::mpsc,
};

/// Largest number of ended spans that wait for export. Further ones are dropped and counted.
const SPAN_QUEUE_SIZE: usize = 2_048;

/// Largest number of spans in one export.
const MAX_EXPORT_SPANS: usize = 256;

/// Longest time for one export, its retries included.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Version of the `traceparent` headers that are written. W3C Trace Context defines it and the formats below.
const TRACE_VERSION: &str = "00";

/// Version that is invalid in a `traceparent` header.
const INVALID_VERSION: &str = "ff";

/// Number of hexadecimal digits of a trace id.
const TRACE_ID_DIGITS: usize = 32;

/// Number of hexadecimal digits of a span id.
const SPAN_ID_DIGITS: usize = 16;

/// Number of hexadecimal digits of the version, and of the flags.
const BYTE_DIGITS: usize = 2;

/// Base of hexadecimal numbers.
const HEX_RADIX: u32 = 16;

/// The collector's URL can't be used.
#[derive(Debug, Error)]
#[error("traces.collector {collector:?} can't be used: {reason}; give an http:// URL")]
pub struct TraceError {
    collector: String,
    reason: String,
}

/// Why an export failed.
#[derive(Debug, Error)]
enum ExportError {
    #[error("the collector didn't answer within {EXPORT_TIMEOUT:?}")]
    Timeout,
    #[error(transparent)]
    Response(#[from] ExportResponseError),
    #[error(transparent)]
    Exporter(#[from] OTelSdkError),
    #[error(transparent)]
    Panicked(#[from] Panicked),
}

/// Starts spans. Without a collector no span is recorded.
#[derive(Debug, Clone, Default)]
pub struct Tracing {
    tracer: Option<SdkTracer>,
    dropped: Arc<AtomicU64>,
}

/// A span that ends when it is dropped. Without a collector, only the context of its parent.
#[derive(Debug, Default)]
pub struct TraceSpan {
    span: Option<Span>,
    parent: Option<SpanContext>,
}

impl Tracing {
    /// Starts the export to the collector at an `http://` URL. `share` is the share of new traces that is sampled, from
    /// 0 to 1; `host` is the value of the resource attribute `host.name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the collector's URL can't be used.
    ///
    /// # Panics
    ///
    /// Panics outside of a Tokio runtime, which runs the export.
    pub fn export_to(collector: &str, share: f64, host: &str) -> Result<Self, TraceError> {
        let client = CollectorClient::new(EXPORT_TIMEOUT);
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(client.clone())
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(format!("{}/v1/traces", collector.trim_end_matches('/')))
            .with_timeout(EXPORT_TIMEOUT)
            .with_headers(Default::default())
            .build()
            .map_err(|error| TraceError {
                collector: collector.to_owned(),
                reason: error.to_string(),
            })?;
        let dropped = Arc::new(AtomicU64::new(0));
        let (queue, ended) = mpsc::channel(SPAN_QUEUE_SIZE);
        let export = TraceExport { exporter, client };
        tokio::spawn(export_spans(export, ended, dropped.clone()));
        let processor = QueueProcessor {
            queue,
            dropped: dropped.clone(),
        };
        let resource = Resource::builder()
            .with_service_name("hazelyoke")
            .with_attribute(KeyValue::new("host.name", host.to_owned()))
            .build();
        let sampler = Sampler::TraceIdRatioBased(share);
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(sampler)))
            .with_span_processor(processor)
            .with_resource(resource)
            .build();
        Ok(Self {
            tracer: Some(provider.tracer("hazelyoke")),
            dropped,
        })
    }

    /// Returns the number of spans dropped since the daemon's start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Starts a span; `parent` is the `traceparent` of its parent.
    ///
    /// A parent that can't be parsed is ignored, as W3C Trace Context requires.
    pub fn start_span(
        &self,
        name: &'static str,
        kind: SpanKind,
        parent: Option<&str>,
    ) -> TraceSpan {
        let parent = parent.and_then(parse_traceparent);
        let Some(tracer) = &self.tracer else {
            return TraceSpan { span: None, parent };
        };
        let context = match &parent {
            Some(context) => Context::new().with_remote_span_context(context.clone()),
            None => Context::new(),
        };
        let builder = SpanBuilder::from_name(name).with_kind(kind);
        let span = tracer.build_with_context(builder, &context);
        TraceSpan {
            span: Some(span),
            parent: None,
        }
    }
}

impl TraceSpan {
    /// Sets an attribute, if the span is recorded.
    pub fn set_attribute(&mut self, key: &'static str, value: impl ToString) {
        if let Some(span) = &mut self.span
            && span.is_recording()
        {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Returns the `traceparent` for child spans: that of this span or, if there is none, of its parent.
    pub fn trace_parent(&self) -> Option<String> {
        match (&self.span, &self.parent) {
            (Some(span), _) => Some(format_traceparent(span.span_context())),
            (None, Some(parent)) => Some(format_traceparent(parent)),
            (None, None) => None,
        }
    }
}

fn format_traceparent(context: &SpanContext) -> String {
    format!(
        "{TRACE_VERSION}-{}-{}-{:02x}",
        context.trace_id(),
        context.span_id(),
        context.trace_flags().to_u8()
    )
}

/// Parses a W3C `traceparent`. The caller's header hasn't been checked, so any other text returns `None` and a new
/// trace starts.
fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let version = parts.next()?;
    let trace = parts.next().filter(|part| part.len() == TRACE_ID_DIGITS)?;
    let span = parts.next().filter(|part| part.len() == SPAN_ID_DIGITS)?;
    let flags = parts.next().filter(|part| part.len() == BYTE_DIGITS)?;
    if version.len() != BYTE_DIGITS || version == INVALID_VERSION {
        return None;
    }
    // Only versions after this one may append fields.
    if version == TRACE_VERSION && parts.next().is_some() {
        return None;
    }
    let flags = u8::from_str_radix(flags, HEX_RADIX).ok()?;
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::new(flags),
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}

/// Queues ended spans for the export task, and counts those for which the queue is full.
#[derive(Debug)]
struct QueueProcessor {
    queue: mpsc::Sender<SpanData>,
    dropped: Arc<AtomicU64>,
}

impl SpanProcessor for QueueProcessor {
    fn on_start(&self, _span: &mut Span, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        if self.queue.try_send(span).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

/// An exporter, and its HTTP client, which has the result of the last response.
struct TraceExport {
    exporter: SpanExporter,
    client: CollectorClient,
}

impl TraceExport {
    /// Exports spans and returns the number of those that the collector refused. If there is no response, or one that
    /// asks for a retry, the exporter sends the spans up to four times within its timeout.
    async fn send(&self, spans: Vec<SpanData>) -> Result<u64, ExportError> {
        let sent = tokio::time::timeout(EXPORT_TIMEOUT, self.exporter.export(spans)).await;
        let result = sent.map_err(|_elapsed| ExportError::Timeout)?;
        // The client's error states the cause, which the exporter's doesn't.
        let refused = self.client.last_result()?;
        result?;
        Ok(refused)
    }
}

/// Exports ended spans until all tracers are dropped. Spans that couldn't be exported are counted as dropped, which
/// `/metrics` reports, rather than sent again, so that the queue doesn't fill up.
async fn export_spans(
    export: TraceExport,
    mut ended: mpsc::Receiver<SpanData>,
    dropped: Arc<AtomicU64>,
) {
    let mut batch = Vec::with_capacity(MAX_EXPORT_SPANS);
    while ended.recv_many(&mut batch, MAX_EXPORT_SPANS).await > 0 {
        let spans = std::mem::take(&mut batch);
        let count = spans.len() as u64;
        let sent = catch_panic(export.send(spans)).await;
        let lost = match sent.unwrap_or_else(|panicked| Err(panicked.into())) {
            Ok(0) => continue,
            Ok(refused) => {
                log::info!(spans = count, refused; "spans refused by the collector");
                refused.min(count)
            }
            Err(error) => {
                log::info!(spans = count, error:%; "spans not exported");
                count
            }
        };
        dropped.fetch_add(lost, Ordering::Relaxed);
    }
}
