//! Turns a tree as written into a checked one: inheritance, references and limits.

use {
    crate::{
        settings::{
            raw_tree::{
                Named, RawCustomer, RawEndpoint, RawGroup, RawPipeline, RawService, RawStage,
                RawTree,
            },
            tree::{Customer, EndpointSpec, Pipeline, Service, ServiceKind, Stage, Tree, TreeNode},
            values::{Guard, Settings, check_combination, override_settings},
        },
        shared::{
            findings::{Findings, Place},
            ids::{DataCentreId, EndpointId, StageId},
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Display,
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

struct TreeCheck {
    tree: Tree,
    findings: Findings,
    endpoints: BTreeSet<EndpointId>,
    addresses: BTreeMap<std::net::SocketAddr, EndpointId>,
}

impl TreeCheck {
    fn new(version: u64, findings: Findings) -> Self {
        let mut tree = Tree::default();
        tree.version.0 = version;
        Self {
            tree,
            findings,
            endpoints: BTreeSet::new(),
            addresses: BTreeMap::new(),
        }
    }

    fn add_node(&mut self, path: &str, place: Option<&Place>, settings: &Arc<Settings>) {
        let node = TreeNode {
            place: place.cloned(),
            settings: settings.clone(),
        };
        self.tree.nodes.insert(path.into(), node);
    }

    fn add_data_centres(&mut self, names: &[Named<DataCentreId>]) {
        for name in names {
            if self.tree.data_centres.contains(&name.id) {
                self.duplicate("data centre", name, "data_centres");
            } else {
                self.tree.data_centres.push(name.id.clone());
            }
        }
    }

    fn duplicate<T: Display>(&mut self, what: &str, name: &Named<T>, path: &str) {
        self.findings.add(
            &name.place,
            path,
            format!("{what} {} is defined twice", name.id),
            "rename or remove one of them",
        );
    }

    /// Adds groups, services and customers, which pipelines refer to.
    fn add_providers(&mut self, group: &RawGroup, parent: &Arc<Settings>) {
        let settings = override_settings(&group.path, parent, &group.settings, &mut self.findings);
        self.add_node(&group.path, None, &settings);
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

    fn add_service(&mut self, raw: &RawService, parent: &Arc<Settings>) {
        let settings = override_settings(&raw.path, parent, &raw.settings, &mut self.findings);
        let Some(kind) = self.service_kind(raw) else {
            return;
        };
        if raw.endpoints.is_empty() {
            let hint = "add \"endpoints\"";
            let message = "the service has no endpoint";
            self.findings.add(&raw.name.place, &raw.path, message, hint);
        }
        let endpoints = raw
            .endpoints
            .iter()
            .filter_map(|endpoint| self.endpoint(&raw.path, endpoint))
            .collect();
        self.add_node(&raw.path, Some(&raw.name.place), &settings);
        let service = Service {
            id: raw.name.id.clone(),
            path: raw.path.as_str().into(),
            kind,
            settings,
            endpoints,
        };
        let replaced = self
            .tree
            .services
            .insert(raw.name.id.clone(), Arc::new(service));
        if replaced.is_some() {
            self.duplicate("service", &raw.name, &raw.path);
        }
    }

    fn service_kind(&mut self, raw: &RawService) -> Option<ServiceKind> {
        let kind = raw.kind.as_ref()?;
        match (kind.id.as_str(), &raw.model) {
            ("engine", Some(model)) => Some(ServiceKind::Engine {
                model: model.id.as_str().into(),
            }),
            ("plain", None) => Some(ServiceKind::Plain),
            ("engine", None) => {
                let message = "an engine needs a model";
                let hint = "add \"model\"";
                self.findings.add(&kind.place, &raw.path, message, hint);
                None
            }
            ("plain", Some(model)) => {
                let message = "a plain service has no model";
                let hint = "remove \"model\" or set \"kind\": \"engine\"";
                self.findings.add(&model.place, &raw.path, message, hint);
                None
            }
            (other, _) => {
                let message = format!("unknown kind {other:?}");
                let hint = "use \"engine\" or \"plain\"";
                self.findings.add(&kind.place, &raw.path, message, hint);
                None
            }
        }
    }

    fn endpoint(&mut self, path: &str, raw: &RawEndpoint) -> Option<Arc<EndpointSpec>> {
        if !self.endpoints.insert(raw.name.id.clone()) {
            self.duplicate("endpoint", &raw.name, path);
        }
        let address = raw.address.as_ref()?;
        let data_centre = raw.data_centre.as_ref()?;
        if let Some(other) = self.addresses.insert(address.id, raw.name.id.clone()) {
            let message = format!("address {} belongs to {other} already", address.id);
            let hint = "give each endpoint its own address";
            self.findings.add(&address.place, path, message, hint);
        }
        if !self.tree.data_centres.contains(&data_centre.id) {
            let message = format!("unknown data centre {}", data_centre.id);
            let hint = "add it to \"data_centres\" or correct the name";
            self.findings.add(&data_centre.place, path, message, hint);
        }
        Some(Arc::new(EndpointSpec {
            id: raw.name.id.clone(),
            address: address.id,
            data_centre: data_centre.id.clone(),
            leaving: raw.leaving,
        }))
    }

    fn add_customer(&mut self, raw: &RawCustomer, parent: &Arc<Settings>) {
        let settings = override_settings(&raw.path, parent, &raw.settings, &mut self.findings);
        self.add_node(&raw.path, Some(&raw.name.place), &settings);
        let customer = Customer {
            id: raw.name.id.clone(),
            path: raw.path.as_str().into(),
            settings,
            pipelines: BTreeMap::new(),
        };
        let replaced = self
            .tree
            .customers
            .insert(raw.name.id.clone(), Arc::new(customer));
        if replaced.is_some() {
            self.duplicate("customer", &raw.name, &raw.path);
        }
    }

    fn add_pipelines(&mut self, group: &RawGroup) {
        let parent = self.tree.nodes[group.path.as_str()].settings.clone();
        for pipeline in &group.pipelines {
            self.add_pipeline(pipeline, &parent);
        }
        for child in &group.groups {
            self.add_pipelines(child);
        }
    }

    fn add_pipeline(&mut self, raw: &RawPipeline, parent: &Arc<Settings>) {
        let settings = override_settings(&raw.path, parent, &raw.settings, &mut self.findings);
        self.add_node(&raw.path, Some(&raw.name.place), &settings);
        if raw.stages.is_empty() {
            let message = "the pipeline has no stage";
            let hint = "add \"stages\"";
            self.findings.add(&raw.name.place, &raw.path, message, hint);
        }
        let mut names = BTreeSet::new();
        let stages: Vec<_> = raw
            .stages
            .iter()
            .filter_map(|stage| self.stage(stage, &settings, &mut names))
            .collect();
        self.check_floors(&raw.path, &raw.name.place, &settings, &stages);
        let pipeline = Pipeline {
            id: raw.name.id.clone(),
            path: raw.path.as_str().into(),
            settings,
            stages,
        };
        let replaced = self
            .tree
            .pipelines
            .insert(raw.name.id.clone(), Arc::new(pipeline));
        if replaced.is_some() {
            self.duplicate("pipeline", &raw.name, &raw.path);
        }
    }

    fn stage(
        &mut self,
        raw: &RawStage,
        pipeline: &Settings,
        names: &mut BTreeSet<StageId>,
    ) -> Option<Stage> {
        if !names.insert(raw.name.id.clone()) {
            self.duplicate("stage", &raw.name, &raw.path);
        }
        let name = raw.service.as_ref()?;
        let Some(service) = self.tree.services.get(&name.id).cloned() else {
            let message = format!("unknown service {}", name.id);
            let hint = "define the service or correct the name";
            self.findings.add(&name.place, &raw.path, message, hint);
            return None;
        };
        let inherited = Arc::new(Settings::for_stage(pipeline, &service.settings));
        let settings = override_settings(&raw.path, &inherited, &raw.settings, &mut self.findings);
        self.check_stage(raw, &service, &settings);
        self.add_node(&raw.path, Some(&raw.name.place), &settings);
        Some(Stage {
            id: raw.name.id.clone(),
            service: name.id.clone(),
            settings,
        })
    }

    /// A stage may be stricter than the service it calls, never laxer.
    fn check_stage(&mut self, raw: &RawStage, service: &Service, settings: &Settings) {
        check_combination(&raw.path, settings, &mut self.findings);
        let strict = &service.settings;
        let laxer = settings.repeatable.value && !strict.repeatable.value;
        let unguarded = settings.guard.value == Guard::None && strict.guard.value != Guard::None;
        if laxer || unguarded {
            let message = format!("the stage loosens what service {} asks for", service.id);
            let hint = "leave \"repeatable\" and \"guard\" to the service";
            self.findings.add(&raw.name.place, &raw.path, message, hint);
        }
    }

    fn check_floors(&mut self, path: &str, place: &Place, settings: &Settings, stages: &[Stage]) {
        let floor: u64 = stages
            .iter()
            .map(|stage| stage.settings.floor.value.0)
            .sum();
        let deadline = &settings.deadline;
        if deadline.value.0 >= floor {
            return;
        }
        let place = deadline.origin.place.as_ref().unwrap_or(place);
        let message = format!(
            "deadline {} is shorter than the {floor}ms that the stages take at least",
            deadline.value
        );
        let hint = "raise the deadline or lower the stages' \"floor\"";
        self.findings.add(place, path, message, hint);
    }

    /// Adds what customers override for single pipelines.
    fn add_overrides(&mut self, group: &RawGroup) {
        for raw in &group.customers {
            self.add_customer_overrides(raw);
        }
        for child in &group.groups {
            self.add_overrides(child);
        }
    }

    fn add_customer_overrides(&mut self, raw: &RawCustomer) {
        let mut effective = BTreeMap::new();
        for (name, fields) in &raw.pipelines {
            let path = format!("{}/pipelines/{}", raw.path, name.id);
            let Some(pipeline) = self.tree.pipelines.get(&name.id).cloned() else {
                let message = format!("overrides pipeline {}, which doesn't exist", name.id);
                let hint = "define the pipeline or correct the name";
                self.findings.add(&name.place, &path, message, hint);
                continue;
            };
            let settings = override_settings(&path, &pipeline.settings, fields, &mut self.findings);
            self.check_floors(&path, &name.place, &settings, &pipeline.stages);
            self.add_node(&path, Some(&name.place), &settings);
            effective.insert(name.id.clone(), settings);
        }
        if effective.is_empty() {
            return;
        }
        if let Some(customer) = self.tree.customers.get_mut(&raw.name.id) {
            Arc::make_mut(customer).pipelines = effective;
        }
    }
}
