//! One caller's request: its attempts, and the check of each reply against the answer expected for this request alone.
//!
//! This module defines when a caller retries and how it classifies replies. `hazelyoke_testutils::expect` computes the
//! expected answer.

use {
    bytes::Bytes,
    hazelyoke_lib::pipeline::endpoints::wire::{
        DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER,
    },
    hazelyoke_testutils::{
        expect::{self, Step},
        http_client::{Caller, CallerReply, CallerRequest},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// A request that a caller will send.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Number of the request in its run.
    pub number: u64,
    /// URL path of the pipeline or service.
    pub path: Arc<str>,
    /// Name of the pipeline or service.
    pub target: Arc<str>,
    /// Prefix that the prompt shares with other prompts; absent if it shares none.
    pub context: Option<Arc<str>>,
    /// Customer that sends the request.
    pub customer: Arc<str>,
    /// Steps of the pipeline, from which the expected answer is computed.
    pub steps: Arc<[Step]>,
    /// Time from when the request is due until its answer is too late.
    pub deadline: Duration,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
    /// Most retries, each sent at once after an attempt without the right answer.
    pub retries: u32,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The reply is the expected answer.
    Answered,
    /// The reply is a success with another body: part of the answer is lost or duplicated, or it is another request's.
    WrongAnswer,
    /// The reply is a problem with outcome `not_run` and this code.
    NotRun(String),
    /// The reply is a problem with outcome `unknown` and this code.
    Unknown(String),
    /// The connection to the daemon failed, or its reply was neither an answer nor a problem.
    Unanswered(String),
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id that the daemon assigned to the request; absent if there was no reply with an id.
    pub request: Option<String>,
    /// How the attempt ended.
    pub ending: Ending,
}

/// A request that has ended, with all its attempts.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request as it was planned.
    pub request: PlannedRequest,
    /// Time from when the request was due to the end of its last attempt.
    pub latency: Duration,
    /// All attempts before the last one, oldest first.
    pub earlier: Vec<Attempt>,
    /// The last attempt, whose ending counts as the request's.
    pub last: Attempt,
}

impl Outcome {
    /// Returns all attempts, oldest first.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.earlier.iter().chain([&self.last])
    }

    /// Returns whether the request was answered correctly within its deadline.
    pub fn attained(&self) -> bool {
        self.last.ending == Ending::Answered && self.latency <= self.request.deadline
    }
}

impl PlannedRequest {
    /// Sends the request until it is answered correctly, has no retries left, or its deadline has passed.
    ///
    /// The first attempt goes to the daemon with index `first`, each retry to the next one. `due` is when the request
    /// should have been sent; its latency and deadline count from there even if it was sent later.
    pub async fn perform(self, callers: &[Caller], first: usize, due: Instant) -> Outcome {
        let body = self.body();
        let expected = expect::answer(&self.steps, &body);
        let mut earlier = Vec::new();
        loop {
            let caller = &callers[(first + earlier.len()) % callers.len()];
            let attempt = match caller.post(self.to_http(&body, due)).await {
                Ok(reply) => classify_reply(&reply, &expected),
                Err(error) => Attempt {
                    request: None,
                    ending: Ending::Unanswered(error),
                },
            };
            let is_last = earlier.len() >= self.retries as usize;
            if attempt.ending == Ending::Answered || is_last || due.elapsed() >= self.deadline {
                return Outcome {
                    request: self,
                    latency: due.elapsed(),
                    earlier,
                    last: attempt,
                };
            }
            earlier.push(attempt);
            // Even a sleep of zero waits for the next tick of the timer, so that other tasks run in between.
            sleep(Duration::ZERO).await;
        }
    }

    /// Returns the request body, which is unique in the run.
    fn body(&self) -> Bytes {
        let number = self.number;
        Bytes::from(match &self.context {
            Some(context) => format!("{{\"context\":\"{context}\",\"order\":{number}}}"),
            None => format!("{{\"order\":{number}}}"),
        })
    }

    fn to_http(&self, body: &Bytes, due: Instant) -> CallerRequest {
        let left = self.deadline.saturating_sub(due.elapsed()).as_millis();
        let request = CallerRequest::new(&*self.path, &self.customer, body.clone())
            .header(DEADLINE_HEADER, left.max(1));
        if self.keyed {
            request.header(IDEMPOTENCY_KEY_HEADER, format!("order-{}", self.number))
        } else {
            request
        }
    }
}

fn classify_reply(reply: &CallerReply, expected: &Bytes) -> Attempt {
    let header = reply.headers.get(REQUEST_ID_HEADER);
    let request = header
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
        .or_else(|| reply.json()["request_id"].as_str().map(str::to_owned));
    let ending = if reply.status.is_success() {
        if reply.body == expected {
            Ending::Answered
        } else {
            Ending::WrongAnswer
        }
    } else {
        match reply.outcome().as_str() {
            "not_run" => Ending::NotRun(reply.code()),
            "unknown" => Ending::Unknown(reply.code()),
            _ => Ending::Unanswered(format!("status {}", reply.status)),
        }
    };
    Attempt { request, ending }
}
