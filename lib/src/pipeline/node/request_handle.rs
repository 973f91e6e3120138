//! The handle by which an HTTP handler receives the tokens and the final answer of one request.
//!
//! The handle has the receiving end of a channel; the node has the sending end.

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

/// What the node sends to the handler of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Delivery {
    /// One token of a streamed answer.
    Token {
        /// Position in the whole generation, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The final answer. No delivery follows.
    Finished(Result<Answer, Problem>),
}

/// A request in progress. Dropping the handle before the final answer reports to the core that the caller has left.
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
    /// Returns `None` after the final one, or if the node was dropped.
    pub async fn next(&mut self) -> Option<Delivery> {
        if self.finished {
            return None;
        }
        let delivery = self.deliveries.recv().await?;
        self.finished = matches!(delivery, Delivery::Finished(_));
        Some(delivery)
    }

    /// Waits for the final answer and ignores tokens. Returns `None` if the node was dropped.
    pub async fn final_answer(mut self) -> Option<Result<Answer, Problem>> {
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
