//! Entries of messages between daemons about the origins of streams.
//!
//! Entries are serialized as arrays without field names; `lib/tests/test_message_bytes.rs` checks the bytes.

use {
    crate::gateway::{
        request_digest::RequestDigest, request_memory::queries::Answer,
        rules::stream_origin::StreamOrigin,
    },
    serde::{Deserialize, Serialize},
};

/// What a daemon knows of a stream: its origin, or nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(RequestDigest, Option<StreamOrigin>)",
    from = "(RequestDigest, Option<StreamOrigin>)"
)]
pub struct OriginNote {
    /// Digest of the id of the request that brought the first event.
    pub digest: RequestDigest,
    /// Origin of the stream; `None` if the sender doesn't know it.
    pub origin: Option<StreamOrigin>,
}

impl From<OriginNote> for (RequestDigest, Option<StreamOrigin>) {
    fn from(note: OriginNote) -> Self {
        (note.digest, note.origin)
    }
}

impl From<(RequestDigest, Option<StreamOrigin>)> for OriginNote {
    fn from((digest, origin): (RequestDigest, Option<StreamOrigin>)) -> Self {
        Self { digest, origin }
    }
}

impl Answer for Option<StreamOrigin> {
    const UNKNOWN: Self = None;

    fn precedence(&self) -> u8 {
        u8::from(self.is_some())
    }

    fn is_final(&self) -> bool {
        self.is_some()
    }
}

/// The entries for one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginEntries {
    /// Origins that the receiver remembers: it holds them, or asked for them. Unknown ones are answers.
    pub notes: Vec<OriginNote>,
    /// Digests of the streams whose origins the sender asks for.
    pub lookups: Vec<RequestDigest>,
}
