//! Parses JSON with comments into values, by means of `jsonc_parser`.
//!
//! Defines the accepted syntax and the limit on nesting.

use {
    crate::{
        settings::document::{Field, Value, ValueKind, line_index::LineIndex},
        shared::findings::Findings,
    },
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{ObjectProp, Value as AstValue},
        common::{Range, Ranged},
        parse_to_ast,
    },
    std::collections::BTreeSet,
};

/// Largest number of nested objects and lists. Deeper input is rejected before it is parsed, because the parser
/// recurses once per level. `test_settings_tree::damaged_text` exceeds the limit.
const MAX_DEPTH: usize = 64;

/// Accepts JSON with comments and trailing commas, and no other extension.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
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

/// Returns the byte offset at which nesting first exceeds [`MAX_DEPTH`].
///
/// Counts brackets inside strings as well. No legitimate string contains that many, and at worst the file is rejected.
fn find_excess_depth(text: &str) -> Option<usize> {
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

/// Parses text. Returns the first syntax error, or a finding for each duplicate field of an object.
fn parse(file: &str, text: &str) -> Result<Value, Findings> {
    let lines = LineIndex::new(file, text);
    if let Some(offset) = find_excess_depth(text) {
        let message = format!("values are nested more than {MAX_DEPTH} deep");
        return Err(refuse(&lines, offset, message, "flatten the file"));
    }
    let parsed =
        parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS).map_err(|error| {
            let message = format!("syntax error: {}", error.kind());
            refuse(
                &lines,
                error.range().start,
                message,
                "correct the JSON here",
            )
        })?;
    let root = parsed.value.ok_or_else(|| {
        let message = "the file holds no value".to_owned();
        refuse(&lines, 0, message, "write an object")
    })?;
    let mut findings = Findings::default();
    let value = convert(&lines, &root, &mut findings);
    findings.into_result(value)
}

/// Parses JSON with comments. `file` is the file name that locations contain.
///
/// # Errors
///
/// Returns the first byte that isn't UTF-8, the first syntax error, or a finding for each duplicate field of an object.
pub fn parse_bytes(file: &str, bytes: &[u8]) -> Result<Value, Findings> {
    let text = str::from_utf8(bytes).map_err(|error| {
        let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
        let lines = LineIndex::new(file, &valid);
        let message = "invalid UTF-8".to_owned();
        refuse(&lines, valid.len(), message, "save the file as UTF-8")
    })?;
    parse(file, text)
}

/// Returns the finding for a file that can't be parsed.
fn refuse(lines: &LineIndex<'_>, offset: usize, message: String, hint: &str) -> Findings {
    Findings::single(&lines.location(offset), lines.file(), message, hint)
}

fn convert(lines: &LineIndex<'_>, value: &AstValue<'_>, findings: &mut Findings) -> Value {
    let Range { start, .. } = value.range();
    Value {
        location: lines.location(start),
        kind: convert_kind(lines, value, findings),
    }
}

fn convert_kind(lines: &LineIndex<'_>, value: &AstValue<'_>, findings: &mut Findings) -> ValueKind {
    match value {
        AstValue::NullKeyword(_) => ValueKind::Null,
        AstValue::BooleanLit(lit) => ValueKind::Bool(lit.value),
        AstValue::NumberLit(lit) => ValueKind::Number(lit.value.to_owned()),
        AstValue::StringLit(lit) => ValueKind::Text(lit.value.clone().into_owned()),
        AstValue::Array(array) => ValueKind::List(
            array
                .elements
                .iter()
                .map(|element| convert(lines, element, findings))
                .collect(),
        ),
        AstValue::Object(object) => {
            ValueKind::Object(convert_fields(lines, &object.properties, findings))
        }
    }
}

fn convert_fields(
    lines: &LineIndex<'_>,
    properties: &[ObjectProp<'_>],
    findings: &mut Findings,
) -> Vec<Field> {
    let mut seen = BTreeSet::new();
    let mut fields = Vec::with_capacity(properties.len());
    for property in properties {
        let name = property.name.as_str().to_owned();
        let location = lines.location(property.range.start);
        if !seen.insert(name.clone()) {
            findings.add(
                &location,
                &name,
                format!("field {name:?} appears twice in this object"),
                "remove or rename one of them",
            );
        }
        let value = convert(lines, &property.value, findings);
        fields.push(Field {
            location,
            name,
            value,
        });
    }
    fields
}
