//! An effective value of a node, with the node that set it.

use {
    crate::shared::findings::Location,
    std::{fmt, sync::Arc},
};

/// The node that set a value, and the location where it did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Path of the node, or `built-in` for a default.
    pub node: Arc<str>,
    /// Location of the value; absent for a built-in default.
    pub location: Option<Location>,
}

impl Origin {
    /// Returns the origin of built-in defaults.
    pub fn built_in() -> Self {
        Self {
            node: "built-in".into(),
            location: None,
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.location {
            Some(location) => write!(f, "{} at {location}", self.node),
            None => f.write_str(&self.node),
        }
    }
}

/// A value together with the node that set it.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting<T> {
    /// The effective value.
    pub value: T,
    /// The node that set the value.
    pub origin: Origin,
}

/// An effective value as text, for reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingEntry {
    /// Name of the setting.
    pub name: &'static str,
    /// The parent from which a stage inherits it.
    pub scope: Scope,
    /// The effective value.
    pub value: String,
    /// The node that set the value.
    pub origin: Origin,
}

/// The parent from which a stage inherits a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The setting applies to the request: a stage inherits it from its pipeline.
    Request,
    /// The setting applies to the call: a stage inherits it from the service that it calls.
    Call,
}
