//! Translation between an installation's spelling of requests, replies and documents and this
//! system's values.
//!
//! An installation implements [`Dialect`], which decides nothing and holds no state. The values here
//! are what it reads and writes.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::EndpointEntry,
            revision::Revision,
            stages::job::{PieceEnd, PieceTask, ResultHandle},
            table::Table,
        },
        shared::{
            ids::{CustomerId, EndpointId},
            units::{Millis, Rate},
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
    /// Place in the document, or name of the header.
    pub place: String,
    /// Description of the fault.
    pub message: String,
}

impl FormError {
    /// Reports a fault at a place.
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
    /// Identity: equal for parts with the same text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a request, as far as its head describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order.
    pub parts: Vec<PromptPart>,
    /// Its length in tokens.
    pub tokens_in: u32,
    /// Most tokens to generate.
    pub tokens_out: u32,
}

/// A caller's request, apart from what is passed on unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Inbound {
    /// Id that the caller gave this request.
    pub id: Arc<str>,
    /// Key that identifies the customer.
    pub key: Option<String>,
    /// Time that the caller waits, counted from when it sent the request.
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

/// Headers that are added to a request on its way to an endpoint.
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
    /// Results of the stages that ran before.
    pub inputs: &'a [ResultHandle],
    /// Event after which the stream continues.
    pub resume_after: Option<u64>,
}

/// Load that an endpoint reports with a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplyLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// How long work takes there at the moment.
    pub pace: PaceReport,
}

/// What an endpoint reports of the time that work takes there at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PaceReport {
    /// Nothing.
    #[default]
    None,
    /// Something that can't be a pace.
    Unclear,
    /// This pace.
    Named(ReportedPace),
}

/// Time that work takes, in hundredths of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedPace(u32);

impl ReportedPace {
    /// The slowest pace that is believed.
    const SLOWEST: u32 = 10_000;

    /// Returns the pace as a multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<u32> for ReportedPace {
    type Error = PaceError;

    fn try_from(hundredths: u32) -> Result<Self, PaceError> {
        if (1..=Self::SLOWEST).contains(&hundredths) {
            Ok(Self(hundredths))
        } else {
            Err(PaceError(hundredths))
        }
    }
}

/// A number that can't be a pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{0} hundredths of the usual time can't be a pace")]
pub struct PaceError(u32);

/// Rate that an endpoint names in a reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedRate {
    /// Requests a second that it takes from all daemons together; 0 where none can be read.
    pub rate: Rate,
    /// The reply states it as one number, not below zero.
    pub clear: bool,
}

/// What an endpoint says with a reply of whether it leaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LeaveNotice {
    /// Nothing, or that it doesn't.
    #[default]
    None,
    /// Something that can't be read. An endpoint that stays has no reason to say anything.
    Unclear,
    /// It leaves.
    Leaves,
}

/// Time after which a reply asks to come back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReplyWait {
    /// It names none.
    #[default]
    None,
    /// It names one that can't be read.
    Unclear,
    /// This time.
    Named(Millis),
}

/// The head of a reply, as far as it matters here.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplyFacts {
    /// Request that it answers.
    pub request: Option<String>,
    /// It carries the mark of an endpoint's own work.
    pub signed: bool,
    /// The endpoint reports that it didn't run the request.
    pub not_run: bool,
    /// Load of the endpoint.
    pub load: Option<ReplyLoad>,
    /// Rate that the endpoint names, if it names any.
    pub rate: Option<NamedRate>,
    /// Whether the endpoint says that it leaves.
    pub leave: LeaveNotice,
    /// Time after which it asks to come back.
    pub wait: ReplyWait,
}

/// The spelling of one installation. It translates and decides nothing.
///
/// Functions that write can't fail: they add headers and bodies from values that are valid already.
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

    /// Removes from a request's headers those that only this system may set, and adds its own.
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

    /// Writes a release of results that are no longer needed.
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
    fn read_endpoint(
        id: &str,
        revision: Revision,
        bytes: &[u8],
    ) -> Result<EndpointEntry, FormError>;
}
