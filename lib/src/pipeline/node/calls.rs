//! The tasks that run calls of endpoints.

use {
    crate::{
        pipeline::{
            decision::{
                core::Event,
                endpoint::{AttemptEnd, EndpointCall, TokenSink, Transport},
            },
            node::{Node, NodeState},
        },
        settings::tree::ServiceKind,
        shared::ids::AttemptId,
    },
    opentelemetry::trace::SpanKind,
    tokio::task::AbortHandle,
};

#[derive(Debug)]
pub(super) struct Task {
    abort: AbortHandle,
    call: EndpointCall,
}

/// Passes tokens from a call's task to the core.
struct Tokens<T: Transport> {
    node: Node<T>,
    attempt: AttemptId,
}

impl<T: Transport> TokenSink for Tokens<T> {
    fn token(&mut self, index: u32, text: String) {
        self.node.apply(Event::Token {
            attempt: self.attempt,
            index,
            text,
        });
    }
}

impl<T: Transport> Node<T> {
    pub(super) fn spawn_call(&self, state: &mut NodeState, mut call: EndpointCall) {
        let attempt = call.ids.attempt;
        let parent = call.trace_parent.as_deref();
        let mut hop = self.tracing().hop("attempt", SpanKind::Client, parent);
        hop.set("request", call.ids.request);
        hop.set("stage", &call.ids.stage);
        hop.set("endpoint", &call.endpoint);
        call.trace_parent = hop.trace_parent();
        let remembered = call.clone();
        let node = self.clone();
        let task = async move {
            let sink = Tokens {
                node: node.clone(),
                attempt,
            };
            let end = node.shared.transport.call(call, sink).await;
            hop.set("end", describe(&end));
            drop(hop);
            let mut state = node.lock();
            state.tasks.remove(&attempt);
            node.step(&mut state, Event::Ended { attempt, end });
        };
        let abort = tokio::spawn(task).abort_handle();
        let task = Task {
            abort,
            call: remembered,
        };
        state.tasks.insert(attempt, task);
    }

    pub(super) fn cancel_call(&self, state: &mut NodeState, attempt: AttemptId) {
        let Some(task) = state.tasks.remove(&attempt) else {
            return;
        };
        task.abort.abort();
        if matches!(task.call.kind, ServiceKind::Engine { .. }) {
            let transport = self.shared.transport.clone();
            tokio::spawn(async move { transport.cancel(task.call).await });
        }
    }
}
fn describe(end: &AttemptEnd) -> String {
    match end {
        AttemptEnd::Answered(reply) => format!("answered {}", reply.status),
        AttemptEnd::StreamEnded { tokens, .. } => format!("streamed {tokens}"),
        AttemptEnd::NotRun(cause) => format!("not run: {cause}"),
        AttemptEnd::Failed(cause) => format!("failed: {cause}"),
    }
}
