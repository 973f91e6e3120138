//! JSON with comments, as values that know their places.
//!
//! [`parse_bytes`] turns text into a [`Value`]; [`ObjectReader`] takes an object's fields one by one
//! and reports everything that is missing, malformed or unknown. It owns the syntax of settings
//! files, and relies on `shared::findings` for places and reports; it knows no setting.

mod object_reader;
mod parse;
mod text_lines;

pub use {object_reader::ObjectReader, parse::parse_bytes};

use crate::shared::findings::Place;

/// One value of a document, with its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Where the value starts.
    pub place: Place,
    /// The value itself.
    pub kind: Kind,
}

/// A value without its place.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number, as written.
    Number(String),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Value>),
    /// An object, its fields in the order written.
    Object(Vec<Field>),
}

impl Kind {
    /// Names the kind for messages.
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Null => "null",
            Kind::Bool(_) => "a boolean",
            Kind::Number(_) => "a number",
            Kind::Text(_) => "a string",
            Kind::List(_) => "a list",
            Kind::Object(_) => "an object",
        }
    }
}

/// A checked value of a document, with its place.
#[derive(Debug, Clone)]
pub struct Placed<T> {
    /// The value.
    pub value: T,
    /// Its place in the document.
    pub place: Place,
}

/// One field of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct Field {
    /// Where the field's name starts.
    pub place: Place,
    /// The field's name.
    pub name: String,
    /// The field's value.
    pub value: Value,
}

/// Returns the text of a string, number or boolean; nothing for any other value.
pub fn scalar_text(value: &Value) -> Option<String> {
    match &value.kind {
        Kind::Text(text) | Kind::Number(text) => Some(text.clone()),
        Kind::Bool(flag) => Some(flag.to_string()),
        Kind::Null | Kind::List(_) | Kind::Object(_) => None,
    }
}
