//! Spans of each hop, exported over OTLP without anything waiting for the collector.

use {
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
        error::OTelSdkResult,
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

/// Ended spans that wait for export; more are dropped and counted.
const QUEUE: usize = 2_048;

/// Spans exported at once.
const BATCH: usize = 256;

/// Longest time that one export may take.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Reports a collector that can't be used.
#[derive(Debug, Error)]
#[error("traces.collector {collector:?} can't be used: {reason}; give an http:// URL")]
pub struct TraceError {
    collector: String,
    reason: String,
}

/// Starts spans; without a collector it starts none.
#[derive(Debug, Clone, Default)]
pub struct Tracing {
    tracer: Option<SdkTracer>,
    dropped: Arc<AtomicU64>,
}

/// A span that may not be recorded.
#[derive(Debug, Default)]
pub struct Hop {
    span: Option<Span>,
    parent: Option<SpanContext>,
}

impl Tracing {
    /// Starts exporting to a collector, with this share of new traces sampled.
    ///
    /// # Errors
    ///
    /// Returns an error when the collector's address can't be used.
    pub fn export_to(collector: &str, share: f64, host: &str) -> Result<Self, TraceError> {
        let exporter = SpanExporter::builder()
            .with_http()
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
        let (queue, ended) = mpsc::channel(QUEUE);
        tokio::spawn(export_all(exporter, ended, dropped.clone()));
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

    /// Returns the number of spans dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Starts the span of a hop under a parent's `traceparent`, if there is one.
    pub fn hop(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> Hop {
        let parent = parent.and_then(parse_parent);
        let Some(tracer) = &self.tracer else {
            return Hop { span: None, parent };
        };
        let context = match &parent {
            Some(context) => Context::new().with_remote_span_context(context.clone()),
            None => Context::new(),
        };
        let builder = SpanBuilder::from_name(name).with_kind(kind);
        let span = tracer.build_with_context(builder, &context);
        Hop {
            span: Some(span),
            parent: None,
        }
    }
}

impl Hop {
    /// Adds an attribute.
    pub fn set(&mut self, key: &'static str, value: impl ToString) {
        if let Some(span) = &mut self.span
            && span.is_recording()
        {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Returns the `traceparent` for what follows: this span, or its parent if there is no span.
    pub fn trace_parent(&self) -> Option<String> {
        match (&self.span, &self.parent) {
            (Some(span), _) => Some(write_parent(span.span_context())),
            (None, Some(parent)) => Some(write_parent(parent)),
            (None, None) => None,
        }
    }
}

fn write_parent(context: &SpanContext) -> String {
    format!(
        "00-{}-{}-{:02x}",
        context.trace_id(),
        context.span_id(),
        context.trace_flags().to_u8()
    )
}

/// Reads a W3C `traceparent`; anything else is no parent.
fn parse_parent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let version = parts.next()?;
    let trace = parts.next().filter(|part| part.len() == 32)?;
    let span = parts.next().filter(|part| part.len() == 16)?;
    let flags = parts.next().filter(|part| part.len() == 2)?;
    if version.len() != 2 || version == "ff" || (version == "00" && parts.next().is_some()) {
        return None;
    }
    let flags = u8::from_str_radix(flags, 16).ok()?;
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::new(flags),
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}

/// Hands ended spans to the exporting task, and counts those that don't fit.
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

async fn export_all(
    exporter: SpanExporter,
    mut ended: mpsc::Receiver<SpanData>,
    dropped: Arc<AtomicU64>,
) {
    let mut batch = Vec::with_capacity(BATCH);
    while ended.recv_many(&mut batch, BATCH).await > 0 {
        let spans = std::mem::take(&mut batch);
        let count = spans.len() as u64;
        let sent = tokio::time::timeout(EXPORT_TIMEOUT, exporter.export(spans)).await;
        if !matches!(sent, Ok(Ok(()))) {
            dropped.fetch_add(count, Ordering::Relaxed);
        }
    }
}
