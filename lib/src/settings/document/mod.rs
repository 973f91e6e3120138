//! JSON with comments, parsed into values with their locations in the file.
//!
//! [`parse_bytes`] parses bytes into a [`Value`]. [`ObjectReader`] takes an object's fields one by one and reports
//! every field that is missing, malformed or unknown. This module defines the syntax of settings files, and knows no
//! individual setting.

mod line_index;
mod object_reader;
mod parse;

pub use {object_reader::ObjectReader, parse::parse_bytes};

use crate::shared::findings::Location;

/// A value of a document, with its location.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Location of the value's first character.
    pub location: Location,
    /// The value without its location.
    pub kind: ValueKind,
}

/// A JSON value. The values that it contains have locations.
#[derive(Debug, Clone, PartialEq)]
pub enum ValueKind {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number, as written.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Value>),
    /// An object, with its fields in the order of the file.
    Object(Vec<Field>),
}

impl ValueKind {
    /// Returns the name of the kind, for messages.
    pub fn name(&self) -> &'static str {
        match self {
            ValueKind::Null => "null",
            ValueKind::Bool(_) => "a boolean",
            ValueKind::Number(_) => "a number",
            ValueKind::Text(_) => "a string",
            ValueKind::List(_) => "a list",
            ValueKind::Object(_) => "an object",
        }
    }
}

/// A validated value of a document, with its location.
#[derive(Debug, Clone)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Location of the value, or of the field's name if the value is one.
    pub location: Location,
}

/// One field of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct Field {
    /// Location of the field's name.
    pub location: Location,
    /// The field's name.
    pub name: String,
    /// The field's value.
    pub value: Value,
}

/// Returns the text of a string, number or boolean; `None` for any other value.
pub fn scalar_text(value: &Value) -> Option<String> {
    match &value.kind {
        ValueKind::Text(text) | ValueKind::Number(text) => Some(text.clone()),
        ValueKind::Bool(flag) => Some(flag.to_string()),
        ValueKind::Null | ValueKind::List(_) | ValueKind::Object(_) => None,
    }
}
