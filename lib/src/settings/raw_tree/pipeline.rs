//! Pipelines and their stages, parsed but not resolved.

use crate::{
    settings::{
        document::{Field, Located, ObjectReader, Value},
        raw_tree::parse_name,
    },
    shared::{
        findings::Findings,
        ids::{PipelineId, ServiceId, StageId},
    },
};

/// A pipeline, parsed but not resolved.
#[derive(Debug, Clone)]
pub struct RawPipeline {
    /// Path from the root.
    pub path: String,
    /// Name of the pipeline.
    pub name: Located<PipelineId>,
    /// Settings that the pipeline overrides.
    pub settings: Vec<Field>,
    /// Stages in the order of execution.
    pub stages: Vec<RawStage>,
}

/// A stage, parsed but not resolved.
#[derive(Debug, Clone)]
pub struct RawStage {
    /// Path from the root.
    pub path: String,
    /// Name of the stage.
    pub name: Located<StageId>,
    /// Service that the stage calls; `None` if the name is missing or malformed, which is reported.
    pub service: Option<Located<ServiceId>>,
    /// Settings that the stage overrides.
    pub settings: Vec<Field>,
}

impl RawPipeline {
    pub(super) fn read(parent: &str, field: Field, findings: &mut Findings) -> Option<Self> {
        let path = format!("{parent}/pipelines/{}", field.name);
        let name = parse_name(&field.name, &field.location, &path, findings)?;
        let mut reader = ObjectReader::new(&path, field.value, findings);
        let settings = reader.take_fields("settings");
        let elements = reader.take_list("stages");
        let found = reader.findings();
        let stages = elements
            .into_iter()
            .filter_map(|element| RawStage::read(&path, element, found))
            .collect();
        reader.finish();
        Some(Self {
            path,
            name,
            settings,
            stages,
        })
    }
}

impl RawStage {
    fn read(pipeline: &str, value: Value, findings: &mut Findings) -> Option<Self> {
        let mut reader = ObjectReader::new(pipeline, value, findings);
        let name = reader.take_required::<StageId>("name");
        let service = reader.take_required::<ServiceId>("service");
        let settings = reader.take_fields("settings");
        reader.finish();
        let name = name?;
        Some(Self {
            path: format!("{pipeline}/stages/{}", name.value),
            name,
            service,
            settings,
        })
    }
}
