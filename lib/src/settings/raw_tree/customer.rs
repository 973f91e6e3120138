//! Customers and the settings that they override for single pipelines, parsed but not resolved.

use crate::{
    settings::{
        document::{Field, Located, ObjectReader, ValueKind},
        raw_tree::{parse_name, read_all},
    },
    shared::{
        findings::Findings,
        ids::{CustomerId, PipelineId},
    },
};

/// A customer, parsed but not resolved.
#[derive(Debug, Clone)]
pub struct RawCustomer {
    /// Path from the root.
    pub path: String,
    /// Name of the customer.
    pub name: Located<CustomerId>,
    /// Settings that the customer overrides for all pipelines.
    pub settings: Vec<Field>,
    /// Settings that the customer overrides for single pipelines.
    pub pipelines: Vec<RawOverride>,
}

/// The settings that a customer overrides for one pipeline.
#[derive(Debug, Clone)]
pub struct RawOverride {
    /// Name of the pipeline.
    pub name: Located<PipelineId>,
    /// Settings that the customer overrides.
    pub settings: Vec<Field>,
}

impl RawCustomer {
    pub(super) fn read(parent: &str, field: Field, findings: &mut Findings) -> Option<Self> {
        let path = format!("{parent}/customers/{}", field.name);
        let name = parse_name(&field.name, &field.location, &path, findings)?;
        let mut reader = ObjectReader::new(&path, field.value, findings);
        let settings = reader.take_fields("settings");
        let pipelines = reader.take_fields("pipelines");
        let found = reader.findings();
        let pipelines = read_all(pipelines, |field| RawOverride::read(&path, field, found));
        reader.finish();
        Some(Self {
            path,
            name,
            settings,
            pipelines,
        })
    }
}

impl RawOverride {
    fn read(customer: &str, field: Field, findings: &mut Findings) -> Option<Self> {
        let name = parse_name(&field.name, &field.location, customer, findings)?;
        match field.value.kind {
            ValueKind::Object(settings) => Some(Self { name, settings }),
            other => {
                let message = format!("expected an object of settings, found {}", other.name());
                let hint = "write {\"deadline\": ...}";
                findings.add(&field.location, customer, message, hint);
                None
            }
        }
    }
}
