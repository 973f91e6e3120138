//! Changes of single nodes, as people and programs read them.

use {serde::Serialize, std::fmt};

/// Text for a pipeline for which a customer overrides settings.
const OVERRIDDEN: &str = "overridden";

/// Kind of a node that a change can reach.
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
pub enum Detail {
    /// The node is new.
    Added,
    /// The node no longer exists.
    Removed,
    /// An effective value is changed.
    Value {
        /// Name of the value: a setting, an endpoint, the kind or the stages.
        name: String,
        /// The value before; empty if there was none.
        old: String,
        /// The value now; empty if there is none.
        new: String,
        /// Origin of the value now, if it is a setting.
        origin: Option<String>,
    },
}

impl Detail {
    /// Returns the change of a value that isn't a setting.
    pub(super) fn value(name: &str, old: &str, new: &str) -> Self {
        Self::Value {
            name: name.to_owned(),
            old: old.to_owned(),
            new: new.to_owned(),
            origin: None,
        }
    }

    /// Returns the same change as one of a part of the node.
    pub(super) fn within(self, part: &str) -> Self {
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

impl fmt::Display for Detail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Detail::Added => f.write_str("added"),
            Detail::Removed => f.write_str("removed"),
            Detail::Value {
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
    /// Its name.
    pub name: String,
    /// Its changes; never empty.
    pub details: Vec<Detail>,
}
