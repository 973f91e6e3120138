//! Newtypes for names, numbers and keys that identify customers, requests, endpoints and the like.
//!
//! Defines which names and keys are valid. `FromStr` validates the text, so code that holds one of these types may rely
//! on its form.

use {
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
    std::{fmt, str::FromStr, sync::Arc},
    thiserror::Error,
    uuid::Uuid,
};

/// Longest accepted name, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_LENGTH: usize = 128;

/// Reports that a text isn't a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("name is empty")]
    Empty,
    /// The text is longer than allowed.
    #[error("name is {length} bytes long, {limit} at most are allowed")]
    TooLong {
        /// Length found, in bytes.
        length: usize,
        /// Longest length allowed, in bytes.
        limit: usize,
    },
    /// The text contains a character outside the allowed set.
    #[error("name holds {found:?}; use a-z, A-Z, 0-9, '.', '_' and '-'")]
    BadCharacter {
        /// The first character that isn't allowed.
        found: char,
    },
    /// The text isn't a number or UUID as the identifier requires.
    #[error("{text:?} is not an id of this kind")]
    BadNumber {
        /// The text found.
        text: String,
    },
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME_LENGTH {
        return Err(IdError::TooLong {
            length: text.len(),
            limit: MAX_NAME_LENGTH,
        });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! name_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    )*};
}

name_ids! {
    /// Names a customer: an organisation or caller class with limits of its own.
    CustomerId;
    /// Names a service: a pool of endpoints that do the same work.
    ServiceId;
    /// Names a pipeline.
    PipelineId;
    /// Names a stage within its pipeline.
    StageId;
    /// Names an endpoint: one process of a service.
    EndpointId;
    /// Names a data centre.
    DataCentreId;
    /// Names a region: data centres under the same law, with short round-trip times between them.
    RegionId;
    /// Names a host that runs a daemon.
    HostId;
}

/// Identifies one request of a caller, unique across all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Builds an id from 128 random bits.
    pub fn from_random(bits: u128) -> Self {
        Self(uuid::Builder::from_random_bytes(bits.to_be_bytes()).into_uuid())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Uuid::parse_str(text)
            .map(Self)
            .map_err(|_| IdError::BadNumber { text: text.into() })
    }
}

/// Identifies one attempt at one stage, unique within a daemon's lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for AttemptId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.parse()
            .map(Self)
            .map_err(|_| IdError::BadNumber { text: text.into() })
    }
}

/// Idempotency key of a caller's request: printable ASCII without spaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text.is_empty() {
            return Err(IdError::Empty);
        }
        if text.len() > MAX_KEY_LENGTH {
            return Err(IdError::TooLong {
                length: text.len(),
                limit: MAX_KEY_LENGTH,
            });
        }
        match text.chars().find(|c| !c.is_ascii_graphic()) {
            Some(found) => Err(IdError::BadCharacter { found }),
            None => Ok(Self(text.into())),
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies the attempt that a reply belongs to; a reply with other ids is refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallIds {
    /// Request the attempt serves.
    pub request: RequestId,
    /// Stage of the pipeline, or the service's name in a direct call of a service.
    pub stage: StageId,
    /// The attempt itself.
    pub attempt: AttemptId,
}

/// Numbers an endpoint's membership in a pool; an endpoint that leaves and returns gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberSerial(pub u64);
