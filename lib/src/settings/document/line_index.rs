//! Converts byte offsets of a text to locations with line and column.

use {crate::shared::findings::Location, std::sync::Arc};

/// Index of the lines of a text, which converts byte offsets to locations.
pub(super) struct LineIndex<'a> {
    file: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Indexes the lines of `text`. `file` is the file name that locations contain.
    pub(super) fn new(file: &str, text: &'a str) -> Self {
        let after_break = text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            file: file.into(),
            text,
            starts: std::iter::once(0).chain(after_break).collect(),
        }
    }

    /// Returns the location of a byte offset. An offset beyond the end counts as the end.
    pub(super) fn location(&self, offset: usize) -> Location {
        let offset = offset.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        // An offset inside a multi-byte character gets the location of the line's start.
        let before = self.text.get(start..offset).unwrap_or_default();
        Location {
            file: self.file.clone(),
            line: line as u32,
            col: before.chars().count() as u32 + 1,
        }
    }

    /// Returns the file name.
    pub(super) fn file(&self) -> &str {
        &self.file
    }
}
