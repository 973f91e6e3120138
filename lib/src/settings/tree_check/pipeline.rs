//! Checks pipelines and stages: references, guards and deadlines.

use {
    crate::{
        settings::{
            raw_tree::{RawPipeline, RawStage},
            tree::{Pipeline, Service, Stage},
            tree_check::TreeCheck,
            values::{Guard, Settings, check_guard},
        },
        shared::{findings::Location, ids::StageId},
    },
    std::{collections::BTreeSet, sync::Arc},
};

impl TreeCheck {
    /// Adds a pipeline. The services that its stages call must have been added before.
    pub(super) fn add_pipeline(&mut self, raw: &RawPipeline, parent: &Arc<Settings>) {
        let settings = self.add_node(&raw.path, parent, &raw.settings);
        if raw.stages.is_empty() {
            let message = "the pipeline has no stage";
            let hint = "add \"stages\"";
            self.findings
                .add(&raw.name.location, &raw.path, message, hint);
        }
        let mut names = BTreeSet::new();
        let stages: Vec<_> = raw
            .stages
            .iter()
            .filter_map(|stage| self.check_stage(stage, &settings, &mut names))
            .collect();
        self.check_deadline(&raw.path, &raw.name.location, &settings, &stages);
        let pipeline = Pipeline {
            id: raw.name.value.clone(),
            settings,
            stages,
        };
        let pipelines = &mut self.tree.pipelines;
        let replaced = pipelines.insert(raw.name.value.clone(), Arc::new(pipeline));
        if replaced.is_some() {
            self.report_duplicate("pipeline", &raw.name, &raw.path);
        }
    }

    /// Checks a stage. `names` contains the names of the pipeline's previous stages.
    fn check_stage(
        &mut self,
        raw: &RawStage,
        pipeline: &Settings,
        names: &mut BTreeSet<StageId>,
    ) -> Option<Stage> {
        if !names.insert(raw.name.value.clone()) {
            self.report_duplicate("stage", &raw.name, &raw.path);
        }
        let name = raw.service.as_ref()?;
        let Some(service) = self.tree.services.get(&name.value).cloned() else {
            let message = format!("unknown service {}", name.value);
            let hint = "define the service or correct the name";
            self.findings.add(&name.location, &raw.path, message, hint);
            return None;
        };
        let inherited = Arc::new(Settings::for_stage(pipeline, &service.settings));
        let settings = self.add_node(&raw.path, &inherited, &raw.settings);
        self.check_strictness(raw, &service, &settings);
        Some(Stage {
            id: raw.name.value.clone(),
            service: name.value.clone(),
            settings,
        })
    }

    /// Reports a stage that allows retries, or goes without a guard, where the service it calls doesn't permit this.
    fn check_strictness(&mut self, raw: &RawStage, service: &Service, settings: &Settings) {
        check_guard(&raw.path, settings, &mut self.findings);
        let strict = &service.settings;
        let laxer = settings.repeatable.value && !strict.repeatable.value;
        let unguarded = settings.guard.value == Guard::None && strict.guard.value != Guard::None;
        if laxer || unguarded {
            let message = format!("the stage is laxer than service {} allows", service.id);
            let hint = "leave \"repeatable\" and \"guard\" to the service";
            self.findings
                .add(&raw.name.location, &raw.path, message, hint);
        }
    }

    /// Reports a deadline that no request can meet, because it is shorter than the sum of the stages' floors.
    pub(super) fn check_deadline(
        &mut self,
        path: &str,
        location: &Location,
        settings: &Settings,
        stages: &[Stage],
    ) {
        let floors = stages.iter().map(|stage| stage.settings.floor.value.0);
        let least: u64 = floors.sum();
        let deadline = &settings.deadline;
        if deadline.value.0 >= least {
            return;
        }
        let location = deadline.origin.location.as_ref().unwrap_or(location);
        let message = format!(
            "deadline {} is shorter than the sum of the stages' floors, {least}ms",
            deadline.value
        );
        let hint = "raise the deadline or lower the stages' \"floor\"";
        self.findings.add(location, path, message, hint);
    }
}
