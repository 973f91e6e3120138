//! Changes of single nodes, as text and as JSON.

use {serde::Serialize, std::fmt};

/// Value shown for a pipeline for which a customer overrides settings.
const OVERRIDDEN: &str = "overridden";

/// Kind of a node that a change can affect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeKind {
    /// A service.
    Service,
    /// A customer.
    Customer,
    /// A pipeline.
    Pipeline,
}

impl fmt::Display for NodeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NodeKind::Service => "service",
            NodeKind::Customer => "customer",
            NodeKind::Pipeline => "pipeline",
        })
    }
}

/// One change of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ChangeDetail {
    /// Only the new tree has the node.
    Added,
    /// Only the old tree has the node.
    Removed,
    /// An effective value differs.
    Value {
        /// Name of the value: a setting, an endpoint, the kind or the stages.
        name: String,
        /// Value in the old tree; empty if there is none.
        old: String,
        /// Value in the new tree; empty if there is none.
        new: String,
        /// Node that set the new value, if the value is a setting.
        origin: Option<String>,
    },
}

impl ChangeDetail {
    /// Returns the change of a value that isn't a setting.
    pub(super) fn value(name: &str, old: &str, new: &str) -> Self {
        Self::Value {
            name: name.to_owned(),
            old: old.to_owned(),
            new: new.to_owned(),
            origin: None,
        }
    }

    /// Converts the change of a node to the change of a value of its parent, with `part` as a prefix of the name.
    pub(super) fn nested_in(self, part: &str) -> Self {
        match self {
            Self::Added => Self::value(part, "", OVERRIDDEN),
            Self::Removed => Self::value(part, OVERRIDDEN, ""),
            Self::Value {
                name,
                old,
                new,
                origin,
            } => Self::Value {
                name: format!("{part}.{name}"),
                old,
                new,
                origin,
            },
        }
    }
}

impl fmt::Display for ChangeDetail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeDetail::Added => f.write_str("added"),
            ChangeDetail::Removed => f.write_str("removed"),
            ChangeDetail::Value {
                name,
                old,
                new,
                origin,
            } => {
                write!(f, "{name}: {} -> {}", or_dash(old), or_dash(new))?;
                match origin {
                    Some(origin) => write!(f, " ({origin})"),
                    None => Ok(()),
                }
            }
        }
    }
}

/// Returns the text, or a dash for an absent value.
fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}

/// All changes of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeChange {
    /// Kind of the node.
    pub kind: NodeKind,
    /// Name of the node.
    pub name: String,
    /// Changes of the node; never empty.
    pub details: Vec<ChangeDetail>,
}
