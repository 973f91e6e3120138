//! The caller's side of one request: the deliveries that its handler receives.
//!
//! Owns the receiving end of the request's deliveries; the node owns the sending end.

use {
    crate::{
        pipeline::{
            decision::{endpoint::Transport, request::Answer},
            node::Node,
        },
        shared::{ids::RequestId, problem::Problem},
    },
    tokio::sync::mpsc,
};

/// One delivery to a caller's handler.
#[derive(Debug, Clone, PartialEq)]
pub enum Delivery {
    /// One token of a streamed answer.
    Token {
        /// Its position in the whole generation, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The final answer; nothing follows.
    Finished(Result<Answer, Problem>),
}

/// A caller's request in progress; dropping it before the final answer reports to the core that the
/// caller has left.
#[derive(Debug)]
pub struct RequestHandle<T: Transport> {
    pub(super) node: Node<T>,
    pub(super) id: RequestId,
    pub(super) deliveries: mpsc::UnboundedReceiver<Delivery>,
    pub(super) finished: bool,
}

impl<T: Transport> RequestHandle<T> {
    /// Waits for the next delivery.
    ///
    /// Returns nothing after the final one, or when the node itself is gone.
    pub async fn next(&mut self) -> Option<Delivery> {
        if self.finished {
            return None;
        }
        let delivery = self.deliveries.recv().await?;
        self.finished = matches!(delivery, Delivery::Finished(_));
        Some(delivery)
    }

    /// Waits for the final answer and skips tokens; nothing when the node is gone.
    pub async fn finish(mut self) -> Option<Result<Answer, Problem>> {
        while let Some(delivery) = self.next().await {
            if let Delivery::Finished(result) = delivery {
                return Some(result);
            }
        }
        None
    }
}

impl<T: Transport> Drop for RequestHandle<T> {
    fn drop(&mut self) {
        if !self.finished {
            self.node.caller_left(self.id);
        }
    }
}
