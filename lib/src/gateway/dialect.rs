//! What an installation's spelling of requests and replies is translated to and from.

use {
    crate::{
        gateway::{
            directory::catalogue::EndpointEntry,
            stages::job::{PieceEnd, PieceTask, ResultHandle},
            table::Table,
        },
        shared::{
            ids::{CustomerId, EndpointId},
            units::Millis,
        },
    },
    bytes::Bytes,
    http::{HeaderMap, request, response},
    std::{sync::Arc, time::Duration},
    thiserror::Error,
};

/// Reports a document or message that doesn't follow the installation's form.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {message}")]
pub struct FormError {
    /// Where it stands.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

impl FormError {
    /// Builds a report.
    pub fn new(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            message: message.into(),
        }
    }
}

/// A part of a prompt that may be shared with other requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Tells it from other parts.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request says of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order.
    pub parts: Vec<PromptPart>,
    /// Its length in tokens.
    pub tokens_in: u32,
    /// Most tokens to generate.
    pub tokens_out: u32,
}

/// What a caller's request says, apart from what is passed on as it is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Inbound {
    /// Id that the caller gave this request.
    pub id: Arc<str>,
    /// Key that tells the customer.
    pub key: Option<String>,
    /// Time that the caller will wait from when it sent the request.
    pub remaining: Option<Millis>,
    /// The prompt, if there is one.
    pub prompt: Prompt,
    /// Last event of the stream that the caller already has.
    pub last_event: Option<u64>,
    /// Number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// Input of the pieces of the first stages.
    pub piece_key: Option<String>,
}

/// What is added to a request on its way to an endpoint.
#[derive(Debug, Clone)]
pub struct Outbound<'a> {
    /// Endpoint that must answer, and no other.
    pub endpoint: &'a EndpointId,
    /// Customer that the key stands for.
    pub customer: Option<&'a CustomerId>,
    /// Time left.
    pub remaining: Millis,
    /// Order among the endpoint's requests; 0 goes first.
    pub urgency: u32,
    /// Results of the stages before.
    pub inputs: &'a [ResultHandle],
    /// Event after which the stream goes on.
    pub resume_after: Option<u64>,
}

/// Load that an endpoint tells with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyLoad {
    /// Requests at work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can be at work.
    pub slots: u32,
}

/// What the head of a reply says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplyFacts {
    /// Request it belongs to.
    pub request: Option<String>,
    /// Whether it carries the mark of an endpoint's own work.
    pub signed: bool,
    /// Whether the endpoint says that it didn't run the request.
    pub not_run: bool,
    /// Load of the endpoint.
    pub load: Option<ReplyLoad>,
}

/// The spelling of one installation. It translates and decides nothing.
pub trait Dialect: 'static {
    /// Path on which readiness is asked.
    const READY_PATH: &'static str;
    /// Path to which calls of pieces are posted.
    const PIECES_PATH: &'static str;
    /// Path to which results that are no longer needed are posted.
    const RELEASE_PATH: &'static str;

    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with its head.
    fn read_request(head: &request::Parts) -> Result<Inbound, FormError>;

    /// Takes out of a request's headers what only this system may set, and adds what it sets.
    fn write_request(headers: &mut HeaderMap, outbound: &Outbound<'_>);

    /// Reads the head of a reply.
    fn read_reply(head: &response::Parts) -> ReplyFacts;

    /// Writes the headers of a call of pieces to one endpoint.
    fn write_call(headers: &mut HeaderMap, endpoint: &EndpointId);

    /// Writes a call of pieces.
    fn write_pieces(pieces: &[PieceTask]) -> Bytes;

    /// Reads how the pieces of a call ended, in their order.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn read_pieces(body: &[u8]) -> Result<Vec<PieceEnd>, FormError>;

    /// Writes which results are no longer needed.
    fn write_release(handles: &[ResultHandle]) -> Bytes;

    /// Returns the time after which a caller may come back, as headers.
    fn write_retry_after(headers: &mut HeaderMap, wait: Duration);

    /// Reads a published table.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn read_table(bytes: &[u8]) -> Result<Table, FormError>;

    /// Reads an endpoint's entry.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn read_endpoint(id: &str, revision: u64, bytes: &[u8]) -> Result<EndpointEntry, FormError>;
}
