//! JSON with comments as values that know their places, and a reader for objects.

use {
    crate::shared::findings::{Findings, Place},
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{ObjectProp, Value as AstValue},
        common::{Range, Ranged},
        parse_to_ast,
    },
    std::{collections::BTreeSet, fmt::Display, str::FromStr, sync::Arc},
};

/// Deepest nesting accepted; deeper input is refused before it is parsed.
pub const MAX_DEPTH: usize = 64;

/// Only comments and trailing commas go beyond plain JSON.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// One value of a document, with its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Where the value starts.
    pub place: Place,
    /// What the value is.
    pub kind: Kind,
}

/// What a value is.
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
    /// An object, its fields in the order they stand.
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

/// Turns byte offsets into places.
struct Lines<'a> {
    file: Arc<str>,
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(file: &str, text: &'a str) -> Self {
        let after_break = text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            file: file.into(),
            text,
            starts: std::iter::once(0).chain(after_break).collect(),
        }
    }

    fn place(&self, offset: usize) -> Place {
        let offset = offset.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        Place {
            file: self.file.clone(),
            line: line as u32,
            col: before.chars().count() as u32 + 1,
        }
    }
}

/// Returns the offset at which nesting first goes deeper than [`MAX_DEPTH`].
///
/// Brackets inside strings count as well; a legitimate string with so many is not expected, and
/// counting too much only refuses.
fn too_deep(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    for (i, byte) in text.bytes().enumerate() {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(i);
        }
    }
    None
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns the syntax error, or every field that stands twice in its object, with places.
pub fn parse(file: &str, text: &str) -> Result<Value, Findings> {
    let lines = Lines::new(file, text);
    let mut findings = Findings::default();
    if let Some(offset) = too_deep(text) {
        findings.add(
            &lines.place(offset),
            file,
            format!("values are nested more than {MAX_DEPTH} deep"),
            "flatten the file",
        );
        return Err(findings);
    }
    let root = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(parsed) => parsed.value,
        Err(error) => {
            findings.add(
                &lines.place(error.range().start),
                file,
                format!("syntax error: {}", error.kind()),
                "correct the JSON here",
            );
            return Err(findings);
        }
    };
    let Some(root) = root else {
        findings.add(
            &lines.place(0),
            file,
            "the file holds no value",
            "write an object",
        );
        return Err(findings);
    };
    let value = convert(&lines, &root, &mut findings);
    findings.into_result(value)
}

/// Parses bytes that may not be UTF-8.
///
/// # Errors
///
/// As [`parse`], and where the bytes aren't UTF-8.
pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Value, Findings> {
    match std::str::from_utf8(bytes) {
        Ok(text) => parse(file, text),
        Err(error) => {
            let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
            let mut findings = Findings::default();
            let place = Lines::new(file, &valid).place(valid.len());
            findings.add(&place, file, "invalid UTF-8", "save the file as UTF-8");
            Err(findings)
        }
    }
}

fn convert(lines: &Lines<'_>, value: &AstValue<'_>, findings: &mut Findings) -> Value {
    let Range { start, .. } = value.range();
    let kind = match value {
        AstValue::NullKeyword(_) => Kind::Null,
        AstValue::BooleanLit(lit) => Kind::Bool(lit.value),
        AstValue::NumberLit(lit) => Kind::Number(lit.value.to_owned()),
        AstValue::StringLit(lit) => Kind::Text(lit.value.clone().into_owned()),
        AstValue::Array(array) => Kind::List(
            array
                .elements
                .iter()
                .map(|element| convert(lines, element, findings))
                .collect(),
        ),
        AstValue::Object(object) => {
            Kind::Object(convert_fields(lines, &object.properties, findings))
        }
    };
    Value {
        place: lines.place(start),
        kind,
    }
}

fn convert_fields(
    lines: &Lines<'_>,
    properties: &[ObjectProp<'_>],
    findings: &mut Findings,
) -> Vec<Field> {
    let mut seen = BTreeSet::new();
    let mut fields = Vec::with_capacity(properties.len());
    for property in properties {
        let name = property.name.as_str().to_owned();
        let place = lines.place(property.range.start);
        if !seen.insert(name.clone()) {
            findings.add(
                &place,
                &name,
                format!("{name:?} stands twice in this object"),
                "remove or rename one of them",
            );
        }
        let value = convert(lines, &property.value, findings);
        fields.push(Field { place, name, value });
    }
    fields
}

/// Reads an object's fields one by one and reports those that nobody asked for.
#[derive(Debug)]
pub struct ObjectReader<'f> {
    node: String,
    place: Place,
    fields: Vec<Field>,
    known: Vec<&'static str>,
    findings: &'f mut Findings,
}

impl<'f> ObjectReader<'f> {
    /// Starts reading `value`, which should be an object; anything else is a finding.
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

    /// Returns the findings, to add some.
    pub fn findings(&mut self) -> &mut Findings {
        self.findings
    }

    /// Takes a field's value if it is there.
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

    /// Takes and parses a field that may be absent.
    pub fn take_parsed<T>(&mut self, name: &'static str) -> Option<(T, Place)>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.take(name)?;
        let Some(text) = scalar_text(&value) else {
            self.wrong_kind(name, &value, "a string, number or boolean");
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some((parsed, value.place)),
            Err(error) => {
                let message = format!("{name}: {error}");
                self.findings
                    .add(&value.place, &self.node, message, "correct the value");
                None
            }
        }
    }

    /// Takes and parses a field that has to be there.
    pub fn take_required<T>(&mut self, name: &'static str) -> Option<(T, Place)>
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

/// Returns the text of a string, number or boolean.
pub fn scalar_text(value: &Value) -> Option<String> {
    match &value.kind {
        Kind::Text(text) | Kind::Number(text) => Some(text.clone()),
        Kind::Bool(flag) => Some(flag.to_string()),
        Kind::Null | Kind::List(_) | Kind::Object(_) => None,
    }
}
