//! Checks customers, and the settings that they override for single pipelines.

use {
    crate::settings::{
        raw_tree::{RawCustomer, RawOverride},
        tree::Customer,
        tree_check::TreeCheck,
        values::Settings,
    },
    std::{collections::BTreeMap, sync::Arc},
};

impl TreeCheck {
    /// Adds a customer, without the settings that it overrides for single pipelines.
    pub(super) fn add_customer(&mut self, raw: &RawCustomer, parent: &Arc<Settings>) {
        let settings = self.add_node(&raw.path, parent, &raw.settings);
        let customer = Customer {
            id: raw.name.value.clone(),
            settings,
            pipelines: BTreeMap::new(),
        };
        let customers = &mut self.tree.customers;
        let replaced = customers.insert(raw.name.value.clone(), Arc::new(customer));
        if replaced.is_some() {
            self.report_duplicate("customer", &raw.name, &raw.path);
        }
    }

    /// Adds the settings that a customer overrides for single pipelines. The pipelines must have been added before.
    pub(super) fn add_customer_overrides(&mut self, raw: &RawCustomer) {
        let mut pipelines = BTreeMap::new();
        for raw_override in &raw.pipelines {
            if let Some(settings) = self.check_override(&raw.path, raw_override) {
                pipelines.insert(raw_override.name.value.clone(), settings);
            }
        }
        if pipelines.is_empty() {
            return;
        }
        if let Some(customer) = self.tree.customers.get_mut(&raw.name.value) {
            Arc::make_mut(customer).pipelines = pipelines;
        }
    }

    /// Returns the effective settings of the customer at `path` for one pipeline.
    fn check_override(&mut self, path: &str, raw: &RawOverride) -> Option<Arc<Settings>> {
        let name = &raw.name;
        let path = format!("{path}/pipelines/{}", name.value);
        let Some(pipeline) = self.tree.pipelines.get(&name.value).cloned() else {
            let message = format!("overrides pipeline {}, which doesn't exist", name.value);
            let hint = "define the pipeline or correct the name";
            self.findings.add(&name.location, &path, message, hint);
            return None;
        };
        let parent = &pipeline.settings;
        let settings = self.add_node(&path, parent, &raw.settings);
        self.check_deadline(&path, &name.location, &settings, &pipeline.stages);
        Some(settings)
    }
}
