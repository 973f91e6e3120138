//! The source of a tree's values, and the stack of values being read.
//!
//! Defines the trait that adapters implement, and detects include cycles.

use {
    crate::{
        settings::document::{self, Value},
        shared::findings::{Findings, Location},
    },
    std::fmt::Display,
};

/// Reads the values of a tree by name.
///
/// For the command line, values are files. For the daemon, they are the values that it fetched from the configuration
/// service.
pub trait ValueSource {
    /// Reason why a value can't be read, which becomes the message of a finding.
    type Error: Display;

    /// Returns a value's bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the value can't be read.
    fn read(&self, name: &str) -> Result<Vec<u8>, Self::Error>;
}

/// Stack of the values being read, from the root to the one that contains the current group.
pub(super) struct IncludeStack<'s, S> {
    source: &'s S,
    names: Vec<String>,
}

impl<'s, S: ValueSource> IncludeStack<'s, S> {
    /// Creates an empty stack.
    pub(super) fn new(source: &'s S) -> Self {
        let names = Vec::new();
        Self { source, names }
    }

    /// Reads and parses a value, and pushes its name on the stack until [`IncludeStack::close`].
    ///
    /// # Errors
    ///
    /// Returns findings if the value can't be read or parsed. The stack doesn't change then.
    pub(super) fn open(&mut self, name: &str) -> Result<Value, Findings> {
        let bytes = self.source.read(name).map_err(|error| {
            let location = Location::start_of(name);
            let hint = "publish the value or correct its name";
            Findings::single(&location, name, error.to_string(), hint)
        })?;
        let value = document::parse_bytes(name, &bytes)?;
        self.names.push(name.to_owned());
        Ok(value)
    }

    /// Pops the value that was opened last.
    pub(super) fn close(&mut self) {
        self.names.pop();
    }

    /// Returns the include cycle that opening `name` would cause, as text; `None` if there is none.
    pub(super) fn find_cycle(&self, name: &str) -> Option<String> {
        let is_open = self.names.iter().any(|open| open == name);
        is_open.then(|| format!("{} -> {name}", self.names.join(" -> ")))
    }
}
