//! Turns a tree as written into a checked one: inheritance, references and limits.
//!
//! It owns the order of the check, in which every node comes after those that it refers to:
//! groups, services and customers first, then pipelines, which refer to services, then the settings
//! that customers override for pipelines. Each kind of node has a file with its checks. It relies on
//! `values` for inheritance.

mod customer;
mod pipeline;
mod service;

use {
    crate::{
        settings::{
            document::{Field, Placed},
            raw_tree::{RawGroup, RawTree},
            tree::{Tree, TreeNode, TreeVersion},
            values::{Settings, override_settings},
        },
        shared::{
            findings::Findings,
            ids::{DataCentreId, EndpointId},
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Display,
        net::SocketAddr,
        sync::Arc,
    },
};

impl TryFrom<RawTree> for Tree {
    type Error = Findings;

    fn try_from(raw: RawTree) -> Result<Self, Findings> {
        let mut check = TreeCheck::new(raw.version, raw.findings);
        check.add_data_centres(&raw.data_centres);
        let built_in = Arc::new(Settings::built_in());
        check.add_providers(&raw.root, &built_in);
        check.add_pipelines(&raw.root);
        check.add_overrides(&raw.root);
        check.findings.into_result(check.tree)
    }
}

/// A check under way: the tree as far as it is built, and everything found wrong so far.
///
/// The tree is returned only if there is no finding, so that parts which can't be checked are left
/// out of it with a finding.
struct TreeCheck {
    tree: Tree,
    findings: Findings,
    /// Names of all endpoints, which no two of them may share.
    endpoints: BTreeSet<EndpointId>,
    /// Owner of each address, which no two endpoints may share.
    addresses: BTreeMap<SocketAddr, EndpointId>,
}

impl TreeCheck {
    fn new(version: u64, findings: Findings) -> Self {
        Self {
            tree: Tree {
                version: TreeVersion(version),
                ..Tree::default()
            },
            findings,
            endpoints: BTreeSet::new(),
            addresses: BTreeMap::new(),
        }
    }

    /// Adds a node that overrides `fields` of its parent's settings; returns its own settings.
    fn add_node(&mut self, path: &str, parent: &Arc<Settings>, fields: &[Field]) -> Arc<Settings> {
        let settings = override_settings(path, parent, fields, &mut self.findings);
        let path: Arc<str> = path.into();
        let node = TreeNode {
            path: path.clone(),
            settings: settings.clone(),
        };
        self.tree.nodes.insert(path, node);
        settings
    }

    fn add_data_centres(&mut self, names: &[Placed<DataCentreId>]) {
        for name in names {
            if self.tree.data_centres.contains(&name.value) {
                self.report_duplicate("data centre", name, "data_centres");
            } else {
                self.tree.data_centres.push(name.value.clone());
            }
        }
    }

    fn report_duplicate<T: Display>(&mut self, what: &str, name: &Placed<T>, path: &str) {
        self.findings.add(
            &name.place,
            path,
            format!("{what} {} is defined twice", name.value),
            "rename or remove one of them",
        );
    }

    /// Adds groups, services and customers, which pipelines refer to.
    fn add_providers(&mut self, group: &RawGroup, parent: &Arc<Settings>) {
        let settings = self.add_node(&group.path, parent, &group.settings);
        for service in &group.services {
            self.add_service(service, &settings);
        }
        for customer in &group.customers {
            self.add_customer(customer, &settings);
        }
        for child in &group.groups {
            self.add_providers(child, &settings);
        }
    }

    /// Adds pipelines; their groups and services are in the tree already.
    fn add_pipelines(&mut self, group: &RawGroup) {
        let parent = self.tree.nodes[group.path.as_str()].settings.clone();
        for pipeline in &group.pipelines {
            self.add_pipeline(pipeline, &parent);
        }
        for child in &group.groups {
            self.add_pipelines(child);
        }
    }

    /// Adds the settings that customers override for single pipelines.
    fn add_overrides(&mut self, group: &RawGroup) {
        for raw in &group.customers {
            self.add_customer_overrides(raw);
        }
        for child in &group.groups {
            self.add_overrides(child);
        }
    }
}
