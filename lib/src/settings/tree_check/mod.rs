//! Turns a parsed tree into a validated one: applies inheritance, resolves references, and checks limits.
//!
//! Every node is checked after those that it refers to: groups, services and customers first, then pipelines, which
//! refer to services, then the settings that customers override for pipelines. Each kind of node has a file with its
//! checks. `values` applies the inheritance of settings.

mod customer;
mod pipeline;
mod service;

use {
    crate::{
        settings::{
            document::{Field, Located},
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
        check.add_groups(&raw.root, &built_in);
        check.add_pipelines(&raw.root);
        check.add_overrides(&raw.root);
        check.findings.into_result(check.tree)
    }
}

/// State of a check: the tree as built so far, and the errors found so far.
///
/// A node that can't be checked is reported and omitted from the tree. The tree is returned only if there is no
/// finding.
struct TreeCheck {
    tree: Tree,
    findings: Findings,
    /// Names of all endpoints, to detect duplicates.
    endpoints: BTreeSet<EndpointId>,
    /// Endpoint of each address, to detect addresses that two endpoints share.
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

    /// Adds a node that overrides `fields` of its parent's settings. Returns the node's effective settings.
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

    fn add_data_centres(&mut self, names: &[Located<DataCentreId>]) {
        for name in names {
            if self.tree.data_centres.contains(&name.value) {
                self.report_duplicate("data centre", name, "data_centres");
            } else {
                self.tree.data_centres.push(name.value.clone());
            }
        }
    }

    fn report_duplicate<T: Display>(&mut self, what: &str, name: &Located<T>, path: &str) {
        self.findings.add(
            &name.location,
            path,
            format!("{what} {} is defined twice", name.value),
            "rename or remove one of them",
        );
    }

    /// Adds a group with its services, customers and child groups, to which pipelines refer.
    fn add_groups(&mut self, group: &RawGroup, parent: &Arc<Settings>) {
        let settings = self.add_node(&group.path, parent, &group.settings);
        for service in &group.services {
            self.add_service(service, &settings);
        }
        for customer in &group.customers {
            self.add_customer(customer, &settings);
        }
        for child in &group.groups {
            self.add_groups(child, &settings);
        }
    }

    /// Adds the pipelines of a group and its child groups. All groups and services must have been added before.
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
