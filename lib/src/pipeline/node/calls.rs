//! The tasks that run calls of endpoints: start, trace span and cancellation of each call.
//!
//! The transport carries out the call. A call is registered under the node's lock before its task can report the end,
//! which needs the same lock.

use {
    crate::{
        pipeline::{
            decision::{
                core::Event,
                endpoint::{AttemptEnd, EndpointCall, FailCause, TokenSink, Transport},
            },
            node::{Node, NodeState},
        },
        settings::tree::ServiceKind,
        shared::{ids::AttemptId, tasks::catch_panic},
    },
    opentelemetry::trace::SpanKind,
    tokio::task::AbortHandle,
};

/// A call in flight, with what is needed to cancel it.
#[derive(Debug)]
pub(super) struct CallTask {
    abort: AbortHandle,
    /// The call as it was sent. The message that cancels it at an engine carries the same ids.
    call: EndpointCall,
}

/// Passes the tokens received for one attempt to the core.
struct CoreTokenSink<T: Transport> {
    node: Node<T>,
    attempt: AttemptId,
}

impl<T: Transport> TokenSink for CoreTokenSink<T> {
    fn token(&mut self, index: u32, text: String) {
        self.node.apply(Event::Token {
            attempt: self.attempt,
            index,
            text,
        });
    }
}

impl<T: Transport> Node<T> {
    /// Starts the task of one call. The core receives the end of the call as an event.
    pub(super) fn spawn_call(&self, state: &mut NodeState, mut call: EndpointCall) {
        let attempt = call.ids.attempt;
        let parent = call.trace_parent.as_deref();
        let mut span = self
            .tracing()
            .start_span("attempt", SpanKind::Client, parent);
        span.set_attribute("request", call.ids.request);
        span.set_attribute("stage", &call.ids.stage);
        span.set_attribute("endpoint", &call.endpoint);
        call.trace_parent = span.trace_parent();
        let sent = call.clone();
        let node = self.clone();
        let task = async move {
            let sink = CoreTokenSink {
                node: node.clone(),
                attempt,
            };
            let end = catch_panic(node.inner.transport.call(call, sink)).await;
            let end = end.unwrap_or_else(|panicked| {
                log::error!(attempt:%, reason:% = panicked; "call ended");
                AttemptEnd::Failed(FailCause::Broken)
            });
            span.set_attribute("end", describe_end(&end));
            drop(span);
            let mut state = node.lock();
            state.calls.remove(&attempt);
            node.apply_locked(&mut state, Event::Ended { attempt, end });
        };
        let abort = tokio::spawn(task).abort_handle();
        state.calls.insert(attempt, CallTask { abort, call: sent });
    }

    /// Aborts a call's task, unless the call has ended. An engine is also sent a message, because it goes on
    /// generating until it notices that the connection is closed.
    pub(super) fn cancel_call(&self, state: &mut NodeState, attempt: AttemptId) {
        let Some(task) = state.calls.remove(&attempt) else {
            return;
        };
        task.abort.abort();
        if matches!(task.call.kind, ServiceKind::Engine { .. }) {
            let transport = self.inner.transport.clone();
            tokio::spawn(async move { transport.cancel(task.call).await });
        }
    }
}

/// Returns the text that describes an attempt's end in its trace span.
fn describe_end(end: &AttemptEnd) -> String {
    match end {
        AttemptEnd::Answered(reply) => format!("answered {}", reply.status),
        AttemptEnd::StreamEnded { tokens, .. } => format!("streamed {tokens}"),
        AttemptEnd::NotRun(cause) => format!("not run: {cause}"),
        AttemptEnd::Failed(cause) => format!("failed: {cause}"),
    }
}
