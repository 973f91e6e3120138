//! Applies the settings that a node overrides to those that it inherits.
//!
//! Checks each value, and reports values that contradict each other.

use {
    crate::{
        settings::{
            document::{Field, ValueKind, scalar_text},
            values::{Guard, Origin, SETTING_NAMES, Settings},
        },
        shared::{
            findings::{Findings, Location},
            units::NONE_TEXT,
        },
    },
    std::sync::Arc,
    thiserror::Error,
};

/// Reports why a field can't override a setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum OverrideError {
    /// No setting has the name of the field.
    #[error("unknown setting {name:?}")]
    Unknown {
        /// Name of the field.
        name: String,
    },
    /// The field is `null`, which clears a setting, but the node inherits no value to clear.
    #[error("{name} is cleared here, but the parent doesn't have it")]
    NothingToClear {
        /// Name of the setting.
        name: String,
    },
    /// The field's value is a list or an object.
    #[error("{name}: {found} can't be the value of a setting")]
    NotScalar {
        /// Name of the setting.
        name: String,
        /// Kind of the value found.
        found: &'static str,
    },
    /// The value isn't valid for the setting's type.
    #[error("{name}: {reason}")]
    BadValue {
        /// Name of the setting.
        name: &'static str,
        /// Error of the type's parser, which names the accepted form.
        reason: String,
    },
}

impl OverrideError {
    /// Returns the location of the error: the field's name if it is unknown, else its value.
    fn location<'f>(&self, field: &'f Field) -> &'f Location {
        match self {
            Self::Unknown { .. } => &field.location,
            _ => &field.value.location,
        }
    }

    fn hint(&self) -> String {
        match self {
            Self::Unknown { .. } => format!("remove it; known: {}", SETTING_NAMES.join(", ")),
            Self::NothingToClear { .. } => "remove this line".to_owned(),
            Self::NotScalar { .. } => "write a string, number or boolean".to_owned(),
            Self::BadValue { .. } => "correct the value or unit".to_owned(),
        }
    }
}

/// Applies the fields of a `"settings"` object to the settings that a node inherits.
///
/// Returns the parent's `Arc` if nothing is overridden, so that thousands of nodes without overrides share one
/// allocation.
pub(crate) fn override_settings(
    node: &str,
    parent: &Arc<Settings>,
    fields: &[Field],
    findings: &mut Findings,
) -> Arc<Settings> {
    if fields.is_empty() {
        return parent.clone();
    }
    let mut settings = Settings::clone(parent);
    let node_name: Arc<str> = node.into();
    for field in fields {
        let origin = Origin {
            node: node_name.clone(),
            location: Some(field.value.location.clone()),
        };
        let overridden =
            override_text(parent, field).and_then(|text| settings.set(&field.name, &text, origin));
        if let Err(error) = overridden {
            findings.add(error.location(field), node, error.to_string(), error.hint());
        }
    }
    check_guard(node, &settings, findings);
    Arc::new(settings)
}

/// Returns the text that a field sets: its value, or `none` for `null`, which clears the setting.
fn override_text(parent: &Settings, field: &Field) -> Result<String, OverrideError> {
    let name = &field.name;
    if field.value.kind != ValueKind::Null {
        return scalar_text(&field.value).ok_or_else(|| OverrideError::NotScalar {
            name: name.clone(),
            found: field.value.kind.name(),
        });
    }
    if parent.text(name).as_deref() == Some(NONE_TEXT) {
        return Err(OverrideError::NothingToClear { name: name.clone() });
    }
    Ok(NONE_TEXT.to_owned())
}

/// Reports a guard on a call that may be retried, because the two contradict each other.
pub(crate) fn check_guard(node: &str, settings: &Settings, findings: &mut Findings) {
    if !settings.repeatable.value || settings.guard.value == Guard::None {
        return;
    }
    let origin = &settings.guard.origin;
    // Descendants inherit the contradiction. It is reported only once, at the node that sets the guard.
    if let Some(location) = &origin.location
        && &*origin.node == node
    {
        findings.add(
            location,
            node,
            format!("guard is {} for a repeatable call", settings.guard.value),
            "set \"repeatable\": false beside it",
        );
    }
}
