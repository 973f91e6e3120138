//! Reads one object of a document: takes known fields, and reports the others.
//!
//! It owns the texts for missing, malformed and unknown fields; the caller owns the findings.

use {
    crate::{
        settings::document::{Field, Kind, Placed, Value, scalar_text},
        shared::findings::{Findings, Place},
    },
    std::{fmt::Display, str::FromStr},
};

/// Reads an object's fields one by one and reports those that the caller doesn't know.
#[derive(Debug)]
pub struct ObjectReader<'f> {
    node: String,
    place: Place,
    fields: Vec<Field>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'f> ObjectReader<'f> {
    /// Starts reading `value`; anything but an object is a finding, and reads as an empty one.
    pub fn new(node: impl Display, value: Value, findings: &'f mut Findings) -> Self {
        let node = node.to_string();
        let fields = match value.kind {
            Kind::Object(fields) => fields,
            other => {
                findings.add(
                    &value.place,
                    &node,
                    format!("expected an object, found {}", other.name()),
                    "write {...} here",
                );
                Vec::new()
            }
        };
        Self {
            node,
            place: value.place,
            fields,
            known: Vec::new(),
            findings,
        }
    }

    /// Returns the place where the object starts.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns the findings, for the caller to add its own.
    pub fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// Takes a field's value if the object has it.
    pub fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        let i = self.fields.iter().position(|field| field.name == name)?;
        Some(self.fields.remove(i).value)
    }

    /// Takes an object's fields; an absent field is an empty object.
    pub fn take_fields(&mut self, name: &'static str) -> Vec<Field> {
        match self.take(name) {
            None => Vec::new(),
            Some(Value {
                kind: Kind::Object(fields),
                ..
            }) => fields,
            Some(other) => {
                self.wrong_kind(name, &other, "an object");
                Vec::new()
            }
        }
    }

    /// Takes a list's elements; an absent field is an empty list.
    pub fn take_list(&mut self, name: &'static str) -> Vec<Value> {
        match self.take(name) {
            None => Vec::new(),
            Some(Value {
                kind: Kind::List(elements),
                ..
            }) => elements,
            Some(other) => {
                self.wrong_kind(name, &other, "a list");
                Vec::new()
            }
        }
    }

    /// Takes and parses a field that may be absent; a malformed value is a finding.
    pub fn take_parsed<T>(&mut self, name: &'static str) -> Option<Placed<T>>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.take(name)?;
        let Some(text) = scalar_text(&value) else {
            self.wrong_kind(name, &value, "a string, number or boolean");
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(Placed {
                value: parsed,
                place: value.place,
            }),
            Err(error) => {
                let message = format!("{name}: {error}");
                self.findings
                    .add(&value.place, &self.node, message, "correct the value");
                None
            }
        }
    }

    /// Takes and parses a field; an absent field or a malformed value is a finding.
    pub fn take_required<T>(&mut self, name: &'static str) -> Option<Placed<T>>
    where
        T: FromStr<Err: Display>,
    {
        if !self.fields.iter().any(|field| field.name == name) {
            self.known.push(name);
            self.findings.add(
                &self.place,
                &self.node,
                format!("{name:?} is missing"),
                format!("add \"{name}\""),
            );
            return None;
        }
        self.take_parsed(name)
    }

    /// Ends reading; every field that is left is unknown and becomes a finding.
    pub fn finish(self) {
        for field in &self.fields {
            let hint = if self.known.is_empty() {
                "remove it".to_owned()
            } else {
                format!("remove it; known here: {}", self.known.join(", "))
            };
            let message = format!("unknown field {:?}", field.name);
            self.findings.add(&field.place, &self.node, message, hint);
        }
    }

    fn wrong_kind(&mut self, name: &str, value: &Value, expected: &str) {
        let message = format!("{name}: expected {expected}, found {}", value.kind.name());
        self.findings
            .add(&value.place, &self.node, message, "correct the value");
    }
}
