//! Types of the settings that accept one of a fixed set of keywords.

use {
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Reports that a text is none of the keywords that a setting accepts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not one of {known:?}")]
pub struct KeywordError {
    /// The text found.
    pub text: String,
    /// All keywords that the setting accepts.
    pub known: &'static [&'static str],
}

macro_rules! keyword_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl FromStr for $name {
            type Err = KeywordError;

            fn from_str(text: &str) -> Result<Self, KeywordError> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    _ => Err(KeywordError {
                        text: text.to_owned(),
                        known: &[$($text),*],
                    }),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $text,)* })
            }
        }
    };
}

keyword_enum! {
    /// Rank of a request when the daemon sheds load, and in the queues of engines.
    Priority {
        /// Shed first.
        Low = "low",
        /// The default.
        Normal = "normal",
        /// Shed last.
        High = "high",
    }
}

keyword_enum! {
    /// Mechanism that prevents a call that may not be retried from running twice.
    Guard {
        /// No mechanism: if the caller retries, the call may run again.
        None = "none",
        /// The endpoint checks the idempotency key.
        Endpoint = "endpoint",
        /// All daemons coordinate. No daemon implements this, so such calls are rejected.
        Fleet = "fleet",
    }
}

keyword_enum! {
    /// Algorithm that selects endpoints.
    PolicyKind {
        /// Selects by estimated finish, admits by deadline, and retries within a budget.
        Estimated = "estimated",
        /// Baseline for comparisons: round robin, without estimates, with a fixed number of retries.
        Naive = "naive",
    }
}
