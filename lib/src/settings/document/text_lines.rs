//! The lines of a text, to turn byte offsets into places for people.

use {crate::shared::findings::Place, std::sync::Arc};

/// Turns byte offsets of a text into places.
pub(super) struct TextLines<'a> {
    file: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> TextLines<'a> {
    /// Finds the lines of `text`, which `file` names in places.
    pub(super) fn new(file: &str, text: &'a str) -> Self {
        let after_break = text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            file: file.into(),
            text,
            starts: std::iter::once(0).chain(after_break).collect(),
        }
    }

    /// Returns the place of a byte offset; an offset behind the end counts as the end.
    pub(super) fn place(&self, offset: usize) -> Place {
        let offset = offset.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        // An offset inside a character has no text before it; its place is the start of the line.
        let before = self.text.get(start..offset).unwrap_or_default();
        Place {
            file: self.file.clone(),
            line: line as u32,
            col: before.chars().count() as u32 + 1,
        }
    }

    /// Returns the name of the text.
    pub(super) fn file(&self) -> &str {
        &self.file
    }
}
