//! Checks services and endpoints: kinds, names, addresses and data centres.

use {
    crate::settings::{
        raw_tree::{RawEndpoint, RawService},
        tree::{EndpointSpec, Service, ServiceKind},
        tree_check::TreeCheck,
        values::Settings,
    },
    std::sync::Arc,
};

impl TreeCheck {
    pub(super) fn add_service(&mut self, raw: &RawService, parent: &Arc<Settings>) {
        let settings = self.add_node(&raw.path, parent, &raw.settings);
        let Some(kind) = self.service_kind(raw) else {
            return;
        };
        if raw.endpoints.is_empty() {
            let hint = "add \"endpoints\"";
            let message = "the service has no endpoint";
            self.findings
                .add(&raw.name.location, &raw.path, message, hint);
        }
        let endpoints = raw
            .endpoints
            .iter()
            .filter_map(|endpoint| self.check_endpoint(&raw.path, endpoint))
            .collect();
        let service = Service {
            id: raw.name.value.clone(),
            kind,
            settings,
            endpoints,
        };
        let services = &mut self.tree.services;
        let replaced = services.insert(raw.name.value.clone(), Arc::new(service));
        if replaced.is_some() {
            self.report_duplicate("service", &raw.name, &raw.path);
        }
    }

    /// Returns the kind of a service. Reports an unknown kind, an engine without a model and a plain service with one.
    fn service_kind(&mut self, raw: &RawService) -> Option<ServiceKind> {
        let kind = raw.kind.as_ref()?;
        match (kind.value.as_str(), &raw.model) {
            ("engine", Some(model)) => Some(ServiceKind::Engine {
                model: model.value.as_str().into(),
            }),
            ("plain", None) => Some(ServiceKind::Plain),
            ("engine", None) => {
                let message = "an engine needs a model";
                let hint = "add \"model\"";
                self.findings.add(&kind.location, &raw.path, message, hint);
                None
            }
            ("plain", Some(model)) => {
                let message = "a plain service has no model";
                let hint = "remove \"model\" or set \"kind\": \"engine\"";
                self.findings.add(&model.location, &raw.path, message, hint);
                None
            }
            (other, _) => {
                let message = format!("unknown kind {other:?}");
                let hint = "use \"engine\" or \"plain\"";
                self.findings.add(&kind.location, &raw.path, message, hint);
                None
            }
        }
    }

    /// Checks an endpoint of the service at `path`.
    fn check_endpoint(&mut self, path: &str, raw: &RawEndpoint) -> Option<Arc<EndpointSpec>> {
        if !self.endpoints.insert(raw.name.value.clone()) {
            self.report_duplicate("endpoint", &raw.name, path);
        }
        let address = raw.address.as_ref()?;
        let data_centre = raw.data_centre.as_ref()?;
        if let Some(other) = self.addresses.insert(address.value, raw.name.value.clone()) {
            let message = format!("address {} is already used by {other}", address.value);
            let hint = "give each endpoint its own address";
            self.findings.add(&address.location, path, message, hint);
        }
        if !self.tree.data_centres.contains(&data_centre.value) {
            let message = format!("unknown data centre {}", data_centre.value);
            let hint = "add it to \"data_centres\" or correct the name";
            self.findings
                .add(&data_centre.location, path, message, hint);
        }
        Some(Arc::new(EndpointSpec {
            id: raw.name.value.clone(),
            address: address.value,
            data_centre: data_centre.value.clone(),
            leaving: raw.leaving,
        }))
    }
}
