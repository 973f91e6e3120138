//! Changes the source of a stream: resumes one that has broken off, and seeks another endpoint beside one that is silent.
//!
//! A silent source is read from meanwhile, so that the stream goes on with whichever comes first.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::{
                attempt::StreamSource,
                early_end::{EarlyEnd, EndedBy},
                reply_stream::{SourceEnd, StreamRelay},
                stream_resume::{Handover, Replacement, Unresumed},
            },
            rules::resume::Hindrance,
            state::Gateway,
            wire::{event_stream::EventSplitter, reply::StreamPart},
        },
        shared::units::Time,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    tokio::sync::mpsc,
};

/// Reason for which a silent source is replaced, and reason of its end if the endpoint that took over failed, for logs.
const SILENT: &str = "silent";
const REPLACEMENT_FAILED: &str = "silent, and the endpoint that took over failed";

/// The result of seeking another endpoint beside a silent source.
enum Sought<D: Dialect> {
    Found(Box<Replacement<D>>),
    Nothing(Unresumed),
    /// The source goes on, or has ended.
    Source(Result<Bytes, SourceEnd>),
}

impl<D: Dialect> StreamRelay<D> {
    /// Resumes a stream without a source. If that fails, breaks off the answer and returns `None`.
    pub(super) async fn resume_broken(&mut self, why: String) -> Option<StreamSource<D>> {
        let mut early = EarlyEnd::new(EndedBy::Endpoint, why);
        let last_event = self.splitter.last();
        loop {
            if let Err(hindrance) = self.check_origin() {
                early.unresumed = Some(hindrance.into());
                self.break_off(&early);
                return None;
            }
            let step = self.request.resume(last_event, &early.why);
            match until_end(&self.sink, &self.gateway, self.deadline, step).await {
                Ok(Ok(Handover::Taken(next))) => return Some(self.adopt(next)),
                Ok(Ok(Handover::Kept(_) | Handover::Failed)) => {}
                Ok(Err(unresumed)) => {
                    early.unresumed = Some(unresumed);
                    self.break_off(&early);
                    return None;
                }
                Err(end) => {
                    self.end_stream(&end);
                    return None;
                }
            }
        }
    }

    /// Seeks another endpoint for a stream whose source is silent. Returns the source from which the stream goes on: the
    /// silent one unless another one has taken over.
    pub(super) async fn replace_silent(
        &mut self,
        mut source: StreamSource<D>,
    ) -> Option<StreamSource<D>> {
        let last_event = self.splitter.last();
        loop {
            match self.seek(&mut source).await {
                Sought::Source(Ok(data)) => {
                    return match self.relay_data(&data, &mut source.guard).await {
                        Ok(()) => Some(source),
                        Err(end) => self.end_source(end, source).await,
                    };
                }
                Sought::Source(Err(end)) => return self.end_source(end, source).await,
                Sought::Nothing(unresumed) => {
                    self.unresumed = Some(unresumed);
                    self.sought = self.request.gateway.now();
                    return Some(source);
                }
                Sought::Found(replacement) => {
                    let step =
                        self.request
                            .hand_over(*replacement, Some(source), last_event, SILENT);
                    match until_end(&self.sink, &self.gateway, self.deadline, step).await {
                        Ok(Handover::Taken(next)) => return Some(self.adopt(next)),
                        Ok(Handover::Kept(silent)) => source = silent,
                        Ok(Handover::Failed) => {
                            return self.resume_broken(REPLACEMENT_FAILED.into()).await;
                        }
                        Err(end) => {
                            self.end_stream(&end);
                            return None;
                        }
                    }
                }
            }
        }
    }

    /// Seeks another endpoint until one is connected, or until the silent source goes on or ends.
    async fn seek(&mut self, source: &mut StreamSource<D>) -> Sought<D> {
        if let Err(hindrance) = self.check_origin() {
            return Sought::Nothing(hindrance.into());
        }
        let last_event = self.splitter.last();
        loop {
            let found = tokio::select! {
                biased;
                frame = source.body.frame() => Err(frame),
                found = until_end(
                    &self.sink,
                    &self.gateway,
                    self.deadline,
                    self.request.prepare(last_event),
                ) => Ok(found),
            };
            match found {
                Ok(Ok(Ok(replacement))) => return Sought::Found(Box::new(replacement)),
                Ok(Ok(Err(unresumed))) => return Sought::Nothing(unresumed),
                Ok(Err(end)) => return Sought::Source(Err(end)),
                Err(frame) => {
                    if let Some(data) = self.read_frame(frame) {
                        return Sought::Source(data);
                    }
                }
            }
        }
    }

    /// Checks that it is known where the stream began, if it has begun.
    fn check_origin(&self) -> Result<(), Hindrance> {
        if self.events_begun && self.request.origin.is_none() {
            return Err(Hindrance::Version);
        }
        Ok(())
    }

    /// Continues the stream from another source.
    fn adopt(&mut self, source: StreamSource<D>) -> StreamSource<D> {
        self.splitter = EventSplitter::after(self.splitter.last());
        self.source_checked = false;
        self.endpoint = source.guard.choice.entry.clone();
        self.heard = self.request.gateway.now();
        self.unresumed = None;
        source
    }
}

/// Waits for a step of resuming a stream.
///
/// # Errors
///
/// Returns the end of the stream if its caller leaves or its deadline passes before the step is done.
async fn until_end<T, D: Dialect>(
    sink: &mpsc::Sender<StreamPart>,
    gateway: &Gateway<D>,
    deadline: Time,
    step: impl Future<Output = T>,
) -> Result<T, SourceEnd> {
    tokio::select! {
        biased;
        () = sink.closed() => Err(SourceEnd::CallerLeft),
        done = step => Ok(done),
        () = gateway.sleep_until(deadline) => Err(SourceEnd::TimeOver),
    }
}
