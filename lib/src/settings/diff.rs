//! What a change of the settings tree reaches, and how.

use {
    crate::settings::{
        tree::{Pipeline, Service, ServiceKind, Tree},
        values::{Scope, Settings},
    },
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// Customers and pipelines have request settings only; calls take theirs from services.
const REQUEST: Option<Scope> = Some(Scope::Request);

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

/// One way in which a node is changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Detail {
    /// The node is new.
    Added,
    /// The node is gone.
    Removed,
    /// An effective value is another one.
    Value {
        /// Which: a setting, an endpoint, the model or the stages.
        name: String,
        /// The value before; empty if there was none.
        old: String,
        /// The value now; empty if there is none.
        new: String,
        /// Where the value now comes from, if it is a setting.
        origin: Option<String>,
    },
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
                let shown = |text: &str| if text.is_empty() { "-" } else { text }.to_owned();
                write!(f, "{name}: {} -> {}", shown(old), shown(new))?;
                match origin {
                    Some(origin) => write!(f, " ({origin})"),
                    None => Ok(()),
                }
            }
        }
    }
}

/// All changes of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeChange {
    /// What the node is.
    pub kind: NodeKind,
    /// Its name.
    pub name: String,
    /// How it is changed; never empty.
    pub details: Vec<Detail>,
}

/// Compares two trees: services, then customers, then pipelines, each by name.
pub fn diff(old: &Tree, new: &Tree) -> Vec<NodeChange> {
    let services = diff_nodes(
        NodeKind::Service,
        &old.services,
        &new.services,
        |old, new, out| diff_service(old, new, out),
    );
    let customers = diff_nodes(
        NodeKind::Customer,
        &old.customers,
        &new.customers,
        |old, new, out| {
            diff_settings("", REQUEST, &old.settings, &new.settings, out);
            diff_overrides(&old.pipelines, &new.pipelines, out);
        },
    );
    let pipelines = diff_nodes(
        NodeKind::Pipeline,
        &old.pipelines,
        &new.pipelines,
        |old, new, out| diff_pipeline(old, new, out),
    );
    [services, customers, pipelines].concat()
}

fn diff_nodes<K: Ord + fmt::Display, N>(
    kind: NodeKind,
    old: &BTreeMap<K, N>,
    new: &BTreeMap<K, N>,
    mut compare: impl FnMut(&N, &N, &mut Vec<Detail>),
) -> Vec<NodeChange> {
    let mut changes = Vec::new();
    let mut add = |name: &K, details: Vec<Detail>| {
        if !details.is_empty() {
            let name = name.to_string();
            changes.push(NodeChange {
                kind,
                name,
                details,
            });
        }
    };
    for (name, old_node) in old {
        match new.get(name) {
            None => add(name, vec![Detail::Removed]),
            Some(new_node) => {
                let mut details = Vec::new();
                compare(old_node, new_node, &mut details);
                add(name, details);
            }
        }
    }
    for name in new.keys().filter(|name| !old.contains_key(name)) {
        add(name, vec![Detail::Added]);
    }
    changes.sort_by(|a, b| a.name.cmp(&b.name));
    changes
}

fn push_value(out: &mut Vec<Detail>, name: String, old: String, new: String) {
    if old != new {
        out.push(Detail::Value {
            name,
            old,
            new,
            origin: None,
        });
    }
}

/// Compares effective settings; of one scope only, where the other doesn't apply to the node.
fn diff_settings(
    prefix: &str,
    scope: Option<Scope>,
    old: &Settings,
    new: &Settings,
    out: &mut Vec<Detail>,
) {
    for (old, new) in old.entries().into_iter().zip(new.entries()) {
        let applies = scope.is_none_or(|scope| scope == new.scope);
        if applies && old.value != new.value {
            out.push(Detail::Value {
                name: format!("{prefix}{}", new.name),
                old: old.value,
                new: new.value,
                origin: Some(new.origin.to_string()),
            });
        }
    }
}

fn diff_overrides<K: Ord + fmt::Display>(
    old: &BTreeMap<K, std::sync::Arc<Settings>>,
    new: &BTreeMap<K, std::sync::Arc<Settings>>,
    out: &mut Vec<Detail>,
) {
    for change in diff_nodes(NodeKind::Pipeline, old, new, |old, new, out| {
        diff_settings("", REQUEST, old, new, out);
    }) {
        let prefix = format!("pipelines.{}", change.name);
        out.extend(change.details.into_iter().map(|detail| match detail {
            Detail::Added => whole(&prefix, "", "overridden"),
            Detail::Removed => whole(&prefix, "overridden", ""),
            Detail::Value {
                name,
                old,
                new,
                origin,
            } => Detail::Value {
                name: format!("{prefix}.{name}"),
                old,
                new,
                origin,
            },
        }));
    }
}

fn whole(name: &str, old: &str, new: &str) -> Detail {
    Detail::Value {
        name: name.to_owned(),
        old: old.to_owned(),
        new: new.to_owned(),
        origin: None,
    }
}

fn kind_text(kind: &ServiceKind) -> String {
    match kind {
        ServiceKind::Plain => "plain".to_owned(),
        ServiceKind::Engine { model } => format!("engine {model}"),
    }
}

fn endpoint_texts(service: &Service) -> BTreeMap<String, String> {
    let texts = service.endpoints.iter().map(|spec| {
        let leaving = if spec.leaving { ", leaving" } else { "" };
        let text = format!("{} in {}{leaving}", spec.address, spec.data_centre);
        (format!("endpoints.{}", spec.id), text)
    });
    texts.collect()
}

fn diff_service(old: &Service, new: &Service, out: &mut Vec<Detail>) {
    push_value(
        out,
        "kind".to_owned(),
        kind_text(&old.kind),
        kind_text(&new.kind),
    );
    diff_settings("", None, &old.settings, &new.settings, out);
    let (old, new) = (endpoint_texts(old), endpoint_texts(new));
    let names: std::collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for name in names {
        let text = |side: &BTreeMap<String, String>| side.get(name).cloned().unwrap_or_default();
        push_value(out, name.clone(), text(&old), text(&new));
    }
}

fn stage_texts(pipeline: &Pipeline) -> String {
    let stages = pipeline.stages.iter();
    let texts: Vec<_> = stages
        .map(|stage| format!("{}={}", stage.id, stage.service))
        .collect();
    texts.join(", ")
}

fn diff_pipeline(old: &Pipeline, new: &Pipeline, out: &mut Vec<Detail>) {
    push_value(out, "stages".to_owned(), stage_texts(old), stage_texts(new));
    diff_settings("", REQUEST, &old.settings, &new.settings, out);
    for stage in &new.stages {
        if let Some(before) = old.stages.iter().find(|other| other.id == stage.id) {
            let prefix = format!("stages.{}.", stage.id);
            let call = Some(Scope::Call);
            diff_settings(&prefix, call, &before.settings, &stage.settings, out);
        }
    }
}
