//! Differences between two settings trees: the nodes that a change affects, with their old and new values.
//!
//! Compares effective values, so that a change of a value at the root is listed for every node that inherits it. Both
//! trees are validated.

mod change;

pub use change::{ChangeDetail, NodeChange, NodeKind};

use {
    crate::{
        settings::{
            tree::{Customer, Pipeline, Service, ServiceKind, Tree},
            values::{Scope, Settings},
        },
        shared::ids::PipelineId,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        sync::Arc,
    },
};

/// Scope of the settings of customers and pipelines. Calls inherit their settings from services.
const REQUEST_SCOPE: Option<Scope> = Some(Scope::Request);

/// Compares two trees. Lists services, then customers, then pipelines, each sorted by name.
pub fn diff(old: &Tree, new: &Tree) -> Vec<NodeChange> {
    use NodeKind::{Customer, Pipeline, Service};
    let services = diff_nodes(Service, &old.services, &new.services, diff_service);
    let customers = diff_nodes(Customer, &old.customers, &new.customers, diff_customer);
    let pipelines = diff_nodes(Pipeline, &old.pipelines, &new.pipelines, diff_pipeline);
    [services, customers, pipelines].concat()
}

/// Compares the nodes of one kind. `compare` adds the changes of a node that both trees have.
fn diff_nodes<K: Ord + fmt::Display, N>(
    kind: NodeKind,
    old: &BTreeMap<K, Arc<N>>,
    new: &BTreeMap<K, Arc<N>>,
    compare: impl Fn(&N, &N, &mut Vec<ChangeDetail>),
) -> Vec<NodeChange> {
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let details_of = |name: &K| match (old.get(name), new.get(name)) {
        (Some(old), Some(new)) => {
            let mut details = Vec::new();
            compare(old, new, &mut details);
            details
        }
        (Some(_), None) => vec![ChangeDetail::Removed],
        (None, _) => vec![ChangeDetail::Added],
    };
    let changes = names.into_iter().map(|name| NodeChange {
        kind,
        name: name.to_string(),
        details: details_of(name),
    });
    changes
        .filter(|change| !change.details.is_empty())
        .collect()
}

fn push_value(out: &mut Vec<ChangeDetail>, name: &str, old: &str, new: &str) {
    if old != new {
        out.push(ChangeDetail::value(name, old, new));
    }
}

/// Compares effective settings: those of `scope`, or all if it is `None`. `prefix` is put before their names.
fn diff_settings(
    prefix: &str,
    scope: Option<Scope>,
    old: &Settings,
    new: &Settings,
    out: &mut Vec<ChangeDetail>,
) {
    for (old, new) in old.entries().into_iter().zip(new.entries()) {
        let applies = scope.is_none_or(|scope| scope == new.scope);
        if applies && old.value != new.value {
            out.push(ChangeDetail::Value {
                name: format!("{prefix}{}", new.name),
                old: old.value,
                new: new.value,
                origin: Some(new.origin.to_string()),
            });
        }
    }
}

fn diff_overrides(
    old: &BTreeMap<PipelineId, Arc<Settings>>,
    new: &BTreeMap<PipelineId, Arc<Settings>>,
    out: &mut Vec<ChangeDetail>,
) {
    let changes = diff_nodes(NodeKind::Pipeline, old, new, |old, new, out| {
        diff_settings("", REQUEST_SCOPE, old, new, out);
    });
    for change in changes {
        let part = format!("pipelines.{}", change.name);
        out.extend(change.details.into_iter().map(|d| d.nested_in(&part)));
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

fn diff_service(old: &Service, new: &Service, out: &mut Vec<ChangeDetail>) {
    push_value(out, "kind", &kind_text(&old.kind), &kind_text(&new.kind));
    diff_settings("", None, &old.settings, &new.settings, out);
    let (old, new) = (endpoint_texts(old), endpoint_texts(new));
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for name in names {
        // The text is empty in the tree that doesn't have the endpoint.
        let text = |side: &BTreeMap<String, String>| side.get(name).cloned().unwrap_or_default();
        push_value(out, name, &text(&old), &text(&new));
    }
}

fn stages_text(pipeline: &Pipeline) -> String {
    let stages = pipeline.stages.iter();
    let texts: Vec<_> = stages
        .map(|stage| format!("{}={}", stage.id, stage.service))
        .collect();
    texts.join(", ")
}

fn diff_customer(old: &Customer, new: &Customer, out: &mut Vec<ChangeDetail>) {
    diff_settings("", REQUEST_SCOPE, &old.settings, &new.settings, out);
    diff_overrides(&old.pipelines, &new.pipelines, out);
}

fn diff_pipeline(old: &Pipeline, new: &Pipeline, out: &mut Vec<ChangeDetail>) {
    push_value(out, "stages", &stages_text(old), &stages_text(new));
    diff_settings("", REQUEST_SCOPE, &old.settings, &new.settings, out);
    for stage in &new.stages {
        if let Some(before) = old.stages.iter().find(|other| other.id == stage.id) {
            let prefix = format!("stages.{}.", stage.id);
            let call = Some(Scope::Call);
            diff_settings(&prefix, call, &before.settings, &stage.settings, out);
        }
    }
}
