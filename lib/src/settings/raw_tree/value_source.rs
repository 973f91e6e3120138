//! Where the values of a tree come from, and the values that are being read.
//!
//! It owns the trait that adapters implement and the notice of include cycles.

use {
    crate::{
        settings::document::{self, Value},
        shared::findings::{Findings, Place},
    },
    std::fmt::Display,
};

/// Gives the text of each value of a tree by its name.
///
/// The command line reads files; the daemon passes on the values that it fetched from the
/// configuration service.
pub trait ValueSource {
    /// Says, in a finding, why a value can't be read.
    type Error: Display;

    /// Returns a value's bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the value can't be read.
    fn read(&self, name: &str) -> Result<Vec<u8>, Self::Error>;
}

/// The values that are open on the way from the root to the group being read.
pub(super) struct OpenValues<'s, S> {
    source: &'s S,
    names: Vec<String>,
}

impl<'s, S: ValueSource> OpenValues<'s, S> {
    /// Starts with no open value.
    pub(super) fn new(source: &'s S) -> Self {
        let names = Vec::new();
        Self { source, names }
    }

    /// Reads and parses a value, and keeps it open until [`OpenValues::close`].
    ///
    /// # Errors
    ///
    /// Returns findings when the value can't be read or parsed; it isn't open then.
    pub(super) fn open(&mut self, name: &str) -> Result<Value, Findings> {
        let bytes = self.source.read(name).map_err(|error| {
            let place = Place::start_of(name);
            let hint = "publish the value or correct its name";
            Findings::one(&place, name, error.to_string(), hint)
        })?;
        let value = document::parse_bytes(name, &bytes)?;
        self.names.push(name.to_owned());
        Ok(value)
    }

    /// Closes the value that was opened last.
    pub(super) fn close(&mut self) {
        self.names.pop();
    }

    /// Returns the cycle that opening `name` would close, as text, if it is open already.
    pub(super) fn cycle(&self, name: &str) -> Option<String> {
        let is_open = self.names.iter().any(|open| open == name);
        is_open.then(|| format!("{} -> {name}", self.names.join(" -> ")))
    }
}
