//! How fast does an engine read a prompt?
//!
//! One figure for admission, for the choice of an endpoint, and for the time that a request keeps for
//! itself after its stages.

/// Prompt tokens that an engine reads in a millisecond. Chosen a little below the pace that the users
/// state for their engines; each endpoint's own pace is learned on top of it (`endpoint_pace`).
pub const TOKENS_PER_MS: f64 = 50.0;
