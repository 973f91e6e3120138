//! States the assumed rate at which an engine reads a prompt.
//!
//! Admission, the choice of an endpoint, and the time that a request reserves for itself after its stages use the same
//! rate.

/// Prompt tokens that an engine reads in a millisecond: slightly below the rate that users state for their engines. The
/// slowdown of each endpoint (`endpoint_slowdown`) is applied on top.
pub const TOKENS_PER_MS: f64 = 50.0;
