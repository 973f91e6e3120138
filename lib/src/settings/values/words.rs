//! Settings that are one of a few words.

use {
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Reports a text that is none of a setting's words.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not one of {known:?}")]
pub struct WordError {
    /// The text found.
    pub text: String,
    /// The words that the setting accepts.
    pub known: &'static [&'static str],
}

macro_rules! word_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl FromStr for $name {
            type Err = WordError;

            fn from_str(text: &str) -> Result<Self, WordError> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    _ => Err(WordError {
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

word_enum! {
    /// Order of a request when overload sheds some, and in the queues of engines.
    Priority {
        /// Shed first.
        Low = "low",
        /// The default.
        Normal = "normal",
        /// Shed last.
        High = "high",
    }
}

word_enum! {
    /// Names the mechanism that keeps a call that may not be retried from running twice.
    Guard {
        /// None: a retry by the caller may run again.
        None = "none",
        /// The endpoint checks the idempotency key itself.
        Endpoint = "endpoint",
        /// All daemons together; none can give it, so that such calls are refused.
        Fleet = "fleet",
    }
}

word_enum! {
    /// Names the implementation that chooses endpoints.
    PolicyKind {
        /// Chooses by estimated finish, admits by deadline, retries within a budget.
        Estimated = "estimated",
        /// Round robin, no estimate, a fixed number of retries: the baseline.
        Naive = "naive",
    }
}
