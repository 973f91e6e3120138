//! Errors found in settings, each with its location and a hint, collected and reported together.
//!
//! Defines what a finding and a location hold. Readers add a finding and continue, so that one check reports every
//! error at once.

use {
    serde::{Serialize, Serializer},
    std::{error::Error, fmt, sync::Arc},
};

/// A location in a settings file, written `file:line:col`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// File name as it was passed to the reader.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub col: u32,
}

impl Location {
    /// Returns the location of a file's first character.
    pub fn start_of(file: &str) -> Self {
        Self {
            file: file.into(),
            line: 1,
            col: 1,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.col)
    }
}

impl Serialize for Location {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Location of the error.
    #[serde(rename = "place")]
    pub location: Location,
    /// Path of the tree node that contains the error.
    pub node: String,
    /// Describes the error.
    pub message: String,
    /// Suggests how to correct it.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}: {}; {}",
            self.location, self.node, self.message, self.hint
        )
    }
}

/// All findings of one check, in the order they were added until [`Findings::into_result`] sorts them by location.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Returns a list of one finding.
    pub fn single(
        location: &Location,
        node: impl fmt::Display,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        let mut findings = Self::default();
        findings.add(location, node, message, hint);
        findings
    }

    /// Adds one finding.
    pub fn add(
        &mut self,
        location: &Location,
        node: impl fmt::Display,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        self.0.push(Finding {
            location: location.clone(),
            node: node.to_string(),
            message: message.into(),
            hint: hint.into(),
        });
    }

    /// Adds all findings of another check.
    pub fn append(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Returns whether there is no finding.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings in order.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there is no finding.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any, sorted by location and without duplicates.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        self.0.dedup();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl Error for Findings {}
