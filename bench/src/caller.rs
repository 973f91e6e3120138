//! One caller's request: sent when it is due, judged by the value that only it could get.
//!
//! Owns how a caller sends again and how it reads answers; what the right answer is follows from
//! `hazelyoke_testutils::expect`.

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

/// A request that a caller is to make.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Number of the request in its run.
    pub number: u64,
    /// Path of the pipeline or service.
    pub path: Arc<str>,
    /// Its name.
    pub target: Arc<str>,
    /// Beginning that its prompt shares with others; absent if its prompt is its own.
    pub context: Option<Arc<str>>,
    /// Customer that asks.
    pub customer: Arc<str>,
    /// Steps of the pipeline.
    pub steps: Arc<[Step]>,
    /// Time within which the answer is of use, since the request was due.
    pub deadline: Duration,
    /// Whether an idempotency key is sent.
    pub keyed: bool,
    /// Times that it is sent again, at once, after an attempt without an answer.
    pub retries: u32,
}

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Answered with the right value.
    Answered,
    /// Answered with another value: an answer lost, doubled or crossed.
    WrongAnswer,
    /// Refused or failed with `not_run`, for the code given.
    NotRun(String),
    /// Failed with `unknown`, for the code given.
    Unknown(String),
    /// The connection to the daemon broke, or its response was neither answer nor problem.
    Unanswered(String),
}

/// One attempt of a caller, as the observer needs it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Id that the daemon gave the request; absent if no response named one.
    pub request: Option<String>,
    /// How it ended.
    pub ending: Ending,
}

/// A request with all that came of it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub request: PlannedRequest,
    /// Time from when it was due to the end of its last attempt.
    pub latency: Duration,
    /// All attempts but the last.
    pub earlier: Vec<Attempt>,
    /// The last attempt.
    pub last: Attempt,
}

impl Outcome {
    /// Returns all attempts, the last one last.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.earlier.iter().chain([&self.last])
    }

    /// Returns whether it was answered whole within its deadline.
    pub fn attained(&self) -> bool {
        self.last.ending == Ending::Answered && self.latency <= self.request.deadline
    }
}

impl PlannedRequest {
    /// Sends the request until it is answered, has no retry left, or is late.
    ///
    /// Attempts go round the daemons from the one numbered `first`. `due` is when the request
    /// should have been sent, whether or not it could be.
    pub async fn perform(self, callers: &[Caller], first: usize, due: Instant) -> Outcome {
        let body = self.body();
        let expected = expect::answer(&self.steps, &body);
        let mut earlier = Vec::new();
        loop {
            let caller = &callers[(first + earlier.len()) % callers.len()];
            let attempt = match caller.post(self.to_http(&body, due)).await {
                Ok(reply) => judge(&reply, &expected),
                Err(error) => Attempt {
                    request: None,
                    ending: Ending::Unanswered(error),
                },
            };
            let spent = earlier.len() >= self.retries as usize;
            if attempt.ending == Ending::Answered || spent || due.elapsed() >= self.deadline {
                return Outcome {
                    request: self,
                    latency: due.elapsed(),
                    earlier,
                    last: attempt,
                };
            }
            earlier.push(attempt);
            // Even a sleep of no time takes a tick of the timer, so others get their turn.
            sleep(Duration::ZERO).await;
        }
    }

    /// Returns the body, which no other request of the run has.
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

fn judge(reply: &CallerReply, expected: &Bytes) -> Attempt {
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
