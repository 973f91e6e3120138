//! Reads one object of a document: takes the fields that the caller knows, and reports all others.
//!
//! Adds a finding for each missing, malformed or unknown field to the caller's findings.

use {
    crate::{
        settings::document::{Field, Located, Value, ValueKind, scalar_text},
        shared::findings::{Findings, Location},
    },
    std::{fmt::Display, str::FromStr},
};

/// Takes the fields of an object one by one, and reports those that weren't asked for.
#[derive(Debug)]
pub struct ObjectReader<'f> {
    node: String,
    location: Location,
    fields: Vec<Field>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'f> ObjectReader<'f> {
    /// Starts reading `value`, whose findings are reported for `node`.
    ///
    /// A value that isn't an object is reported and treated as an empty object.
    pub fn new(node: impl Display, value: Value, findings: &'f mut Findings) -> Self {
        let node = node.to_string();
        let fields = match value.kind {
            ValueKind::Object(fields) => fields,
            other => {
                findings.add(
                    &value.location,
                    &node,
                    format!("expected an object, found {}", other.name()),
                    "write {...} here",
                );
                Vec::new()
            }
        };
        Self {
            node,
            location: value.location,
            fields,
            known: Vec::new(),
            findings,
        }
    }

    /// Returns the location of the object's first character.
    pub fn location(&self) -> &Location {
        &self.location
    }

    /// Returns the findings, to which the caller may add others.
    pub fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// Takes the value of a field, if the object has the field.
    pub fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        let i = self.fields.iter().position(|field| field.name == name)?;
        Some(self.fields.remove(i).value)
    }

    /// Takes the fields of a nested object. An absent field counts as an empty object.
    pub fn take_fields(&mut self, name: &'static str) -> Vec<Field> {
        match self.take(name) {
            None => Vec::new(),
            Some(Value {
                kind: ValueKind::Object(fields),
                ..
            }) => fields,
            Some(other) => {
                self.report_wrong_kind(name, &other, "an object");
                Vec::new()
            }
        }
    }

    /// Takes the elements of a list. An absent field counts as an empty list.
    pub fn take_list(&mut self, name: &'static str) -> Vec<Value> {
        match self.take(name) {
            None => Vec::new(),
            Some(Value {
                kind: ValueKind::List(elements),
                ..
            }) => elements,
            Some(other) => {
                self.report_wrong_kind(name, &other, "a list");
                Vec::new()
            }
        }
    }

    /// Takes and parses an optional field. Reports a malformed value.
    pub fn take_parsed<T>(&mut self, name: &'static str) -> Option<Located<T>>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.take(name)?;
        let Some(text) = scalar_text(&value) else {
            self.report_wrong_kind(name, &value, "a string, number or boolean");
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(Located {
                value: parsed,
                location: value.location,
            }),
            Err(error) => {
                let message = format!("{name}: {error}");
                self.findings
                    .add(&value.location, &self.node, message, "correct the value");
                None
            }
        }
    }

    /// Takes and parses a required field. Reports an absent field or a malformed value.
    pub fn take_required<T>(&mut self, name: &'static str) -> Option<Located<T>>
    where
        T: FromStr<Err: Display>,
    {
        if !self.fields.iter().any(|field| field.name == name) {
            self.known.push(name);
            self.findings.add(
                &self.location,
                &self.node,
                format!("{name:?} is missing"),
                format!("add \"{name}\""),
            );
            return None;
        }
        self.take_parsed(name)
    }

    /// Reports every field that wasn't taken as unknown.
    pub fn finish(self) {
        for field in &self.fields {
            let hint = if self.known.is_empty() {
                "remove it".to_owned()
            } else {
                format!("remove it; known here: {}", self.known.join(", "))
            };
            let message = format!("unknown field {:?}", field.name);
            self.findings
                .add(&field.location, &self.node, message, hint);
        }
    }

    fn report_wrong_kind(&mut self, name: &str, value: &Value, expected: &str) {
        let message = format!("{name}: expected {expected}, found {}", value.kind.name());
        self.findings
            .add(&value.location, &self.node, message, "correct the value");
    }
}
