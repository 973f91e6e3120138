//! Findings about settings, each with its place and a hint, collected and reported together.
//!
//! It owns the form of a finding and of its place. Readers add findings and go on, so that one
//! check reports everything that is wrong; it relies on nothing else of this library.

use {
    serde::{Serialize, Serializer},
    std::{error::Error, fmt, sync::Arc},
};

/// A place in a settings file: `file:line:col`, lines and columns from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// File name as the reader was given it.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub col: u32,
}

impl Place {
    /// Returns the place where a file starts.
    pub fn start_of(file: &str) -> Self {
        Self {
            file: file.into(),
            line: 1,
            col: 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.col)
    }
}

impl Serialize for Place {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// One thing that is wrong in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Place of the mistake.
    pub place: Place,
    /// Path of the node it belongs to.
    pub node: String,
    /// Says what is wrong.
    pub message: String,
    /// Says what to do about it.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}: {}; {}",
            self.place, self.node, self.message, self.hint
        )
    }
}

/// All findings of one check, in the order of their places once sorted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Returns a single finding.
    pub fn one(
        place: &Place,
        node: impl fmt::Display,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        let mut findings = Self::default();
        findings.add(place, node, message, hint);
        findings
    }

    /// Adds one finding.
    pub fn add(
        &mut self,
        place: &Place,
        node: impl fmt::Display,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        self.0.push(Finding {
            place: place.clone(),
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

    /// Returns the findings in the order they stand.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there is no finding, else the findings sorted by place, each once.
    ///
    /// # Errors
    ///
    /// Returns the findings when there are any.
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
