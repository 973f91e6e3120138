//! One caller's request: sent when it is due, judged by the value that only it could get.

use {
    bytes::Bytes,
    hazelyoke_testutils::{
        expect::{self, Step},
        http_client::{Caller, CallerReply, CallerRequest},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// How a caller repeats a request that wasn't answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Never.
    Never,
    /// At once, up to so many times, whatever the daemons say.
    AtOnce(u32),
}

/// What a caller wants.
#[derive(Debug, Clone)]
pub struct Order {
    /// Number of the request in its run.
    pub number: u64,
    /// Path of the pipeline or service.
    pub path: Arc<str>,
    /// Its name.
    pub target: Arc<str>,
    /// Beginning that its prompt shares with others; may be empty.
    pub context: Arc<str>,
    /// Customer that asks.
    pub customer: Arc<str>,
    /// Steps of the pipeline.
    pub steps: Arc<Vec<Step>>,
    /// Time within which the answer is of use.
    pub deadline: Duration,
    /// Whether an idempotency key is sent.
    pub keyed: bool,
    /// How the request is repeated.
    pub repeat: Repeat,
}

/// How one try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Answered with the right value.
    Answered,
    /// Answered with another value: an answer lost, doubled or crossed.
    Wrong,
    /// Refused or failed with `not_run`.
    NotRun(String),
    /// Failed with `unknown`.
    Unknown(String),
    /// The connection to the daemon broke, or its answer was no answer.
    Broken(String),
}

/// One try, as the observer needs it.
#[derive(Debug, Clone)]
pub struct Try {
    /// Id that the daemon gave the request.
    pub request: Option<String>,
    /// How it ended.
    pub ending: Ending,
}

/// What became of an order.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The order.
    pub order: Order,
    /// Time from when it was due to its end.
    pub took: Duration,
    /// Its tries, the last one last.
    pub tries: Vec<Try>,
}

impl Outcome {
    /// Returns how it ended in the end.
    pub fn ending(&self) -> &Ending {
        self.tries
            .last()
            .map_or(&Ending::Answered, |last| &last.ending)
    }

    /// Returns whether it was answered whole within its deadline.
    pub fn attained(&self) -> bool {
        *self.ending() == Ending::Answered && self.took <= self.order.deadline
    }
}

/// Returns an order's body, which no other order has.
fn body(order: &Order) -> Bytes {
    let Order {
        context, number, ..
    } = order;
    if context.is_empty() {
        Bytes::from(format!("{{\"order\":{number}}}"))
    } else {
        Bytes::from(format!("{{\"context\":\"{context}\",\"order\":{number}}}"))
    }
}

/// Carries an order out; `due` is when it should have been sent, whether or not it could be.
pub async fn carry_out(callers: &[Caller], order: Order, first: usize, due: Instant) -> Outcome {
    let body = body(&order);
    let expected = expect::answer(&order.steps, &body);
    let mut tries = Vec::new();
    for round in 0.. {
        let caller = &callers[(first + round) % callers.len()];
        let attempt = attempt(caller, &order, &body, &expected, due).await;
        let answered = attempt.ending == Ending::Answered;
        tries.push(attempt);
        let left = match order.repeat {
            Repeat::Never => false,
            Repeat::AtOnce(times) => tries.len() <= times as usize,
        };
        if answered || !left || due.elapsed() >= order.deadline {
            break;
        }
        // Even a sleep of no time takes a tick of the timer, so others get their turn.
        tokio::time::sleep(Duration::ZERO).await;
    }
    Outcome {
        took: due.elapsed(),
        order,
        tries,
    }
}

async fn attempt(
    caller: &Caller,
    order: &Order,
    body: &Bytes,
    expected: &Bytes,
    due: Instant,
) -> Try {
    let left = order.deadline.saturating_sub(due.elapsed()).as_millis();
    let mut request = CallerRequest::new(&*order.path, &order.customer, body.clone())
        .header("x-deadline-ms", left.max(1));
    if order.keyed {
        request = request.header("idempotency-key", format!("order-{}", order.number));
    }
    match caller.post(request).await {
        Ok(reply) => judge(&reply, expected),
        Err(error) => Try {
            request: None,
            ending: Ending::Broken(error),
        },
    }
}

fn judge(reply: &CallerReply, expected: &Bytes) -> Try {
    let header = reply.headers.get("x-request-id");
    let request = header
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
        .or_else(|| reply.json()["request_id"].as_str().map(str::to_owned));
    let ending = if reply.status.is_success() {
        if reply.body == expected {
            Ending::Answered
        } else {
            Ending::Wrong
        }
    } else {
        match reply.outcome().as_str() {
            "not_run" => Ending::NotRun(reply.code()),
            "unknown" => Ending::Unknown(reply.code()),
            _ => Ending::Broken(format!("status {}", reply.status)),
        }
    };
    Try { request, ending }
}
