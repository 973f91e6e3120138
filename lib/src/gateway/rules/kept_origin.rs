//! Decides where a stream began that no daemon remembers, from what engines keep of its prompt.
//!
//! Inputs: the request's own part of the prompt, which belongs to it or its session, and the number of the last event that
//! its caller has; for each engine of the route's services, the origin of its streams and the tokens that it keeps of
//! this part. Result: the origin, or nothing.
//!
//! Rule: an engine began the stream, or continued it, if it keeps the whole part and at least one token more for each event
//! of the caller's: engines keep what they generated after the prompt under the same part. The origin counts as proven
//! if all such engines have the same one, and each engine of another origin, or of an unknown one, states that it keeps
//! nothing of the part. Engines are asked again after [`ask_interval`]. Which engines there are is read from the
//! directory after the request has come, in a large fleet at most [`ask_interval`] before.
//!
//! Reason: after all daemons were lost, the engines alone still know. An engine that doesn't answer, or a second version that
//! has read the prompt, leaves it open which one wrote the events. So does an engine that this daemon doesn't know: one that was
//! cut off or stood still may have missed that another version has joined.
//!
//! See `docs/design/stream-origins.md`.

use crate::{
    gateway::{dialect::PromptPart, rules::stream_origin::StreamOrigin},
    shared::units::Millis,
};

/// Longest time for which a request waits for the answers of engines.
pub const KEPT_WAIT: Millis = Millis(400);

/// Longest time for which a request waits until the list of engines is current. It covers the pause between two calls of
/// the directory.
pub const LIST_WAIT: Millis = Millis(700);

/// Maximum number of engines that a daemon asks about one service. Beyond it, origins stay unknown.
pub const MAX_ENGINES: usize = 128;

/// Shortest time between two questions of a daemon to one engine.
const SHORTEST_INTERVAL: Millis = Millis(1_000);

/// Time between the questions of two daemons of a large fleet to one engine.
const FLEET_INTERVAL: Millis = Millis(50);

/// What an engine keeps of a part of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kept {
    /// It didn't answer.
    Unknown,
    /// Nothing.
    Nothing,
    /// This many tokens, of the part and of what was generated after it.
    Tokens(u64),
}

/// An engine that might have begun a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Witness {
    /// Origin of the streams that the engine begins; `None` if its version isn't known.
    pub origin: Option<StreamOrigin>,
    /// What it keeps of the request's own part.
    pub kept: Kept,
}

/// Returns the origin of a stream with the events up to `last_event`; `None` if the engines don't prove it.
pub fn kept_origin(own: PromptPart, last_event: u64, engines: &[Witness]) -> Option<StreamOrigin> {
    let whole = u64::from(own.tokens) + last_event.max(1);
    let wrote = |engine: &&Witness| matches!(engine.kept, Kept::Tokens(kept) if kept >= whole);
    let origin = engines.iter().find(wrote)?.origin?;
    let is_clear = |engine: &Witness| engine.origin == Some(origin) || engine.kept == Kept::Nothing;
    engines.iter().all(is_clear).then_some(origin)
}

/// Returns the time after which a daemon asks an engine again, in a fleet of `daemons`.
pub fn ask_interval(daemons: usize) -> Millis {
    SHORTEST_INTERVAL.max(Millis(FLEET_INTERVAL.0 * daemons as u64))
}

/// Returns how old the list of engines may be when a request comes. A daemon that reads the directory itself
/// (`must_read`) reads it once more; in a large fleet, the calls of all daemons would exceed what the directory allows.
pub fn list_age(must_read: bool, daemons: usize) -> Millis {
    if must_read {
        Millis(0)
    } else {
        ask_interval(daemons)
    }
}
