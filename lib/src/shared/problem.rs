//! Problems (RFC 9457): the error response to a caller whose request isn't answered.
//!
//! Defines the stable codes with their HTTP statuses, and the outcome, which says whether any of the work may have run.
//! Both daemons build problems; each serialises them as its own interface requires.

use {
    crate::shared::units::Millis,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Result of a request: answered, or a problem with or without the chance that work has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was answered whole.
    Answered,
    /// None of the work ran, and none will.
    NotRun,
    /// Some of the work may have run, or may still run.
    Unknown,
}

impl Outcome {
    /// Returns the stable text of the outcome.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $variant:ident = $text:literal, $status:literal;)*) => {
        /// Stable reason of a problem; new ones may be added, none changes its meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[$doc])* #[serde(rename = $text)] $variant,)*
        }

        impl Code {
            /// Returns the stable text of the code.
            pub fn as_str(self) -> &'static str {
                match self { $(Code::$variant => $text,)* }
            }

            /// Returns the HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$variant => $status,)* }
            }
        }
    };
}

codes! {
    /// The body, a header or the path can't be understood.
    BadRequest = "bad_request", 400;
    /// The request carries no key that any customer holds.
    Unauthorized = "unauthorized", 401;
    /// No such resource.
    NotFound = "not_found", 404;
    /// The customer isn't in the settings tree.
    UnknownCustomer = "unknown_customer", 403;
    /// The pipeline isn't in the settings tree.
    UnknownPipeline = "unknown_pipeline", 404;
    /// The service isn't in the settings tree.
    UnknownService = "unknown_service", 404;
    /// The body is larger than the settings allow.
    BodyTooLarge = "body_too_large", 413;
    /// The headers are larger than allowed.
    HeadersTooLarge = "headers_too_large", 431;
    /// The request's body didn't arrive whole in time.
    ReceiveTimeout = "receive_timeout", 408;
    /// The daemon has the largest number of requests in flight that it accepts.
    TooBusy = "too_busy", 503;
    /// The daemon is starting or stopping.
    NotReady = "not_ready", 503;
    /// The customer is over its limit.
    OverLimit = "over_limit", 429;
    /// The request would not finish within its deadline, by the estimate.
    NoTime = "no_time", 503;
    /// No endpoint is available for the stage.
    NoEndpoint = "no_endpoint", 503;
    /// Endpoints terminated while they ran this request, so it is sent to no other one.
    Quarantined = "quarantined", 503;
    /// The deadline has passed.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// A stage failed and can't be retried.
    StageFailed = "stage_failed", 502;
    /// A stage's endpoint refused the input for good.
    StageRejected = "stage_rejected", 422;
    /// The call needs a guard that this daemon can't give.
    GuardUnavailable = "guard_unavailable", 503;
    /// A call that may not be retried has no idempotency key.
    KeyMissing = "key_missing", 400;
    /// The daemon itself failed.
    Internal = "internal", 500;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reports why a request isn't answered, as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Stable reason.
    pub code: Code,
    /// Says whether any of the work can have run.
    pub outcome: Outcome,
    /// Explains the problem to people.
    pub detail: String,
    /// Time after which a retry may succeed; absent if the daemon has no estimate of it.
    pub retry_after: Option<Millis>,
}

impl Problem {
    /// Builds a problem of a request of which nothing ran.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Adds the time after which a retry may succeed.
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.outcome, self.detail)
    }
}

impl std::error::Error for Problem {}
