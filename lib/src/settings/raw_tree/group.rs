//! Groups, parsed but not resolved: written inline or in a value that they include.

use crate::{
    settings::{
        document::{Field, ObjectReader, Value, ValueKind},
        raw_tree::{
            RawCustomer, RawPipeline, RawService, ValueSource, parse_name, read_all,
            value_source::IncludeStack,
        },
    },
    shared::{
        findings::{Findings, Location},
        ids::PipelineId,
    },
};

/// A node that holds services, customers, pipelines and further groups.
#[derive(Debug, Clone)]
pub struct RawGroup {
    /// Path from the root.
    pub path: String,
    /// Settings that the group overrides.
    pub settings: Vec<Field>,
    /// Services defined in this group.
    pub services: Vec<RawService>,
    /// Customers defined in this group.
    pub customers: Vec<RawCustomer>,
    /// Pipelines defined in this group.
    pub pipelines: Vec<RawPipeline>,
    /// Child groups.
    pub groups: Vec<RawGroup>,
}

/// Names that a group can't have, because node paths use them for the kinds of nodes.
const RESERVED_NAMES: [&str; 4] = ["services", "customers", "pipelines", "stages"];

/// A reference to the value that contains a group.
struct Include {
    value: String,
    location: Location,
}

impl RawGroup {
    /// Reads a group from the remaining fields of `reader`, with all groups below it.
    pub(super) fn read<S: ValueSource>(
        includes: &mut IncludeStack<'_, S>,
        path: String,
        mut reader: ObjectReader<'_>,
    ) -> Self {
        let settings = reader.take_fields("settings");
        let services = reader.take_fields("services");
        let customers = reader.take_fields("customers");
        let pipelines = reader.take_fields("pipelines");
        let groups = reader.take_fields("groups");
        let found = reader.findings();
        let group = Self {
            settings,
            services: read_all(services, |field| RawService::read(&path, field, found)),
            customers: read_all(customers, |field| RawCustomer::read(&path, field, found)),
            pipelines: read_all(pipelines, |field| RawPipeline::read(&path, field, found)),
            groups: read_all(groups, |field| {
                Self::read_child(includes, &path, field, found)
            }),
            path,
        };
        reader.finish();
        group
    }

    fn read_child<S: ValueSource>(
        includes: &mut IncludeStack<'_, S>,
        parent: &str,
        field: Field,
        findings: &mut Findings,
    ) -> Option<Self> {
        // Group names have no type; the rules of PipelineId are those of all names.
        let name = parse_name::<PipelineId>(&field.name, &field.location, parent, findings)?;
        let path = format!("{parent}/{}", name.value);
        if RESERVED_NAMES.contains(&name.value.as_str()) {
            let message = format!("a group can't be named {:?}", name.value.as_str());
            findings.add(&field.location, &path, message, "choose another name");
            return None;
        }
        if let Some(include) = parse_include(&field.value) {
            return Self::read_included(includes, path, &include, findings);
        }
        let reader = ObjectReader::new(&path, field.value, findings);
        Some(Self::read(includes, path, reader))
    }

    fn read_included<S: ValueSource>(
        includes: &mut IncludeStack<'_, S>,
        path: String,
        include: &Include,
        findings: &mut Findings,
    ) -> Option<Self> {
        if let Some(cycle) = includes.find_cycle(&include.value) {
            let message = format!("include cycle: {cycle}");
            let hint = "a value can't include itself; remove one of these includes";
            findings.add(&include.location, &path, message, hint);
            return None;
        }
        match includes.open(&include.value) {
            Ok(value) => {
                let reader = ObjectReader::new(&path, value, findings);
                let group = Self::read(includes, path, reader);
                includes.close();
                Some(group)
            }
            Err(inner) => {
                findings.append(inner);
                let message = format!("included value {:?} can't be read", include.value);
                findings.add(&include.location, &path, message, "see its own finding");
                None
            }
        }
    }
}

/// Returns the reference of a group that is written as `{"include": "..."}`; `None` for any other value.
fn parse_include(value: &Value) -> Option<Include> {
    let ValueKind::Object(fields) = &value.kind else {
        return None;
    };
    let [only] = fields.as_slice() else {
        return None;
    };
    match &only.value.kind {
        ValueKind::Text(name) if only.name == "include" => Some(Include {
            value: name.clone(),
            location: only.value.location.clone(),
        }),
        _ => None,
    }
}
