//! The settings tree as it is written: read from its values, names not yet resolved.

use {
    crate::{
        settings::document::{self, Field, Kind, ObjectReader, Value},
        shared::{
            findings::{Findings, Place},
            ids::{CustomerId, DataCentreId, EndpointId, PipelineId, ServiceId, StageId},
        },
    },
    std::{fmt::Display, net::SocketAddr, str::FromStr},
};

/// Gives the text of each value of a tree by its name.
///
/// The command line reads files; the daemon hands over what the configuration service sent.
pub trait ValueSource {
    /// Returns a value's bytes, or a message that says why it can't be had.
    ///
    /// # Errors
    ///
    /// Returns a message for people when the value can't be read.
    fn read(&self, name: &str) -> Result<Vec<u8>, String>;
}

/// A name as it was written, with its place.
#[derive(Debug, Clone)]
pub struct Named<T> {
    /// The checked name.
    pub id: T,
    /// Where it stands.
    pub place: Place,
}

/// A whole tree as written.
#[derive(Debug, Clone)]
pub struct RawTree {
    /// Version of the tree; readers adopt upward only.
    pub version: u64,
    /// Data centres that endpoints may stand in.
    pub data_centres: Vec<Named<DataCentreId>>,
    /// The root group.
    pub root: RawGroup,
    /// What was wrong already while reading.
    pub findings: Findings,
}

/// A node that holds services, customers, pipelines and further groups.
#[derive(Debug, Clone)]
pub struct RawGroup {
    /// Path from the root.
    pub path: String,
    /// Overridden settings.
    pub settings: Vec<Field>,
    /// Services defined in this group.
    pub services: Vec<RawService>,
    /// Customers defined in this group.
    pub customers: Vec<RawCustomer>,
    /// Pipelines defined in this group.
    pub pipelines: Vec<RawPipeline>,
    /// Groups below this one.
    pub groups: Vec<RawGroup>,
}

/// A service as written.
#[derive(Debug, Clone)]
pub struct RawService {
    /// Path from the root.
    pub path: String,
    /// Name of the service.
    pub name: Named<ServiceId>,
    /// What its endpoints are: `engine` or `plain`.
    pub kind: Option<Named<String>>,
    /// Model that its engines serve.
    pub model: Option<Named<String>>,
    /// Overridden settings.
    pub settings: Vec<Field>,
    /// Its endpoints.
    pub endpoints: Vec<RawEndpoint>,
}

/// An endpoint as written.
#[derive(Debug, Clone)]
pub struct RawEndpoint {
    /// Name of the endpoint.
    pub name: Named<EndpointId>,
    /// Where it listens.
    pub address: Option<Named<SocketAddr>>,
    /// Data centre it stands in.
    pub data_centre: Option<Named<DataCentreId>>,
    /// Whether operators take it out of service.
    pub leaving: bool,
}

/// A customer as written.
#[derive(Debug, Clone)]
pub struct RawCustomer {
    /// Path from the root.
    pub path: String,
    /// Name of the customer.
    pub name: Named<CustomerId>,
    /// Overridden settings.
    pub settings: Vec<Field>,
    /// Settings overridden for single pipelines.
    pub pipelines: Vec<(Named<PipelineId>, Vec<Field>)>,
}

/// A pipeline as written.
#[derive(Debug, Clone)]
pub struct RawPipeline {
    /// Path from the root.
    pub path: String,
    /// Name of the pipeline.
    pub name: Named<PipelineId>,
    /// Overridden settings.
    pub settings: Vec<Field>,
    /// Its stages in order.
    pub stages: Vec<RawStage>,
}

/// A stage as written.
#[derive(Debug, Clone)]
pub struct RawStage {
    /// Path from the root.
    pub path: String,
    /// Name of the stage.
    pub name: Named<StageId>,
    /// Service that runs it.
    pub service: Option<Named<ServiceId>>,
    /// Overridden settings.
    pub settings: Vec<Field>,
}

/// Group names that would be confused with parts of a node's path.
const RESERVED: [&str; 4] = ["services", "customers", "pipelines", "stages"];

impl RawTree {
    /// Reads a tree from its root value and all values that it includes.
    ///
    /// # Errors
    ///
    /// Returns findings when the root value itself can't be read; all other findings are kept in
    /// the tree and reported when it is checked.
    pub fn read(source: &impl ValueSource, name: &str) -> Result<Self, Findings> {
        let value = read_value(source, name)?;
        let mut findings = Findings::default();
        let mut root = ObjectReader::new(name, value, &mut findings);
        let version = root.take_required::<u64>("version");
        let tree_name = root.take_required::<PipelineId>("name");
        let data_centres = read_data_centres(&mut root);
        let path = tree_name.map_or_else(|| name.to_owned(), |(id, _)| id.to_string());
        let mut values = Values {
            source,
            open: vec![name.to_owned()],
        };
        let root = read_group(&mut values, path, root);
        Ok(Self {
            version: version.map_or(0, |(version, _)| version),
            data_centres,
            root,
            findings,
        })
    }
}

/// The values read so far on the way from the root, to notice cycles.
struct Values<'s, S> {
    source: &'s S,
    open: Vec<String>,
}

fn read_value(source: &impl ValueSource, name: &str) -> Result<Value, Findings> {
    match source.read(name) {
        Ok(bytes) => document::parse_bytes(name, &bytes),
        Err(error) => {
            let mut findings = Findings::default();
            let place = Place {
                file: name.into(),
                line: 1,
                col: 1,
            };
            let hint = "publish the value or correct its name";
            findings.add(&place, name, error, hint);
            Err(findings)
        }
    }
}

fn read_data_centres(root: &mut ObjectReader<'_>) -> Vec<Named<DataCentreId>> {
    let elements = root.take_list("data_centres");
    let mut names = Vec::with_capacity(elements.len());
    for element in elements {
        let text = document::scalar_text(&element).unwrap_or_default();
        names.extend(parse_name(
            &text,
            &element.place,
            "data_centres",
            root.findings(),
        ));
    }
    names
}

fn read_group<S: ValueSource>(
    values: &mut Values<'_, S>,
    path: String,
    mut reader: ObjectReader<'_>,
) -> RawGroup {
    let settings = reader.take_fields("settings");
    let services = reader.take_fields("services");
    let customers = reader.take_fields("customers");
    let pipelines = reader.take_fields("pipelines");
    let groups = reader.take_fields("groups");
    let found = reader.findings();
    let group = RawGroup {
        settings,
        services: read_all(services, |field| read_service(&path, field, found)),
        customers: read_all(customers, |field| read_customer(&path, field, found)),
        pipelines: read_all(pipelines, |field| read_pipeline(&path, field, found)),
        groups: read_all(groups, |field| read_subgroup(values, &path, field, found)),
        path,
    };
    reader.finish();
    group
}

fn read_all<T>(fields: Vec<Field>, read: impl FnMut(Field) -> Option<T>) -> Vec<T> {
    fields.into_iter().filter_map(read).collect()
}

fn parse_name<T: FromStr<Err: Display>>(
    text: &str,
    place: &Place,
    node: &str,
    findings: &mut Findings,
) -> Option<Named<T>> {
    match text.parse() {
        Ok(id) => Some(Named {
            id,
            place: place.clone(),
        }),
        Err(error) => {
            findings.add(place, node, error.to_string(), "rename it");
            None
        }
    }
}

fn read_subgroup<S: ValueSource>(
    values: &mut Values<'_, S>,
    parent: &str,
    field: Field,
    findings: &mut Findings,
) -> Option<RawGroup> {
    let name = parse_name::<PipelineId>(&field.name, &field.place, parent, findings)?;
    let path = format!("{parent}/{}", name.id);
    if RESERVED.contains(&name.id.as_str()) {
        let message = format!("a group can't be named {:?}", name.id.as_str());
        findings.add(&field.place, &path, message, "choose another name");
        return None;
    }
    match included_name(&field.value) {
        Some((include, place)) => read_include(values, path, &include, &place, findings),
        None => {
            let reader = ObjectReader::new(&path, field.value, findings);
            Some(read_group(values, path, reader))
        }
    }
}

/// Returns the name of the value that a group stands in, if it isn't written in place.
fn included_name(value: &Value) -> Option<(String, Place)> {
    let Kind::Object(fields) = &value.kind else {
        return None;
    };
    match fields.as_slice() {
        [only] if only.name == "include" => match &only.value.kind {
            Kind::Text(name) => Some((name.clone(), only.value.place.clone())),
            _ => None,
        },
        _ => None,
    }
}

fn read_include<S: ValueSource>(
    values: &mut Values<'_, S>,
    path: String,
    name: &str,
    place: &Place,
    findings: &mut Findings,
) -> Option<RawGroup> {
    if values.open.iter().any(|open| open == name) {
        let cycle = [values.open.join(" -> "), name.to_owned()].join(" -> ");
        findings.add(
            place,
            &path,
            format!("include cycle: {cycle}"),
            "include a value only below itself once",
        );
        return None;
    }
    match read_value(values.source, name) {
        Ok(value) => {
            values.open.push(name.to_owned());
            let reader = ObjectReader::new(&path, value, findings);
            let group = read_group(values, path, reader);
            values.open.pop();
            Some(group)
        }
        Err(inner) => {
            findings.append(inner);
            findings.add(
                place,
                &path,
                format!("included value {name:?} can't be read"),
                "see its own finding",
            );
            None
        }
    }
}

fn read_service(parent: &str, field: Field, findings: &mut Findings) -> Option<RawService> {
    let path = format!("{parent}/services/{}", field.name);
    let name = parse_name(&field.name, &field.place, &path, findings)?;
    let mut reader = ObjectReader::new(&path, field.value, findings);
    let named = |(id, place)| Named { id, place };
    let kind = reader.take_required::<String>("kind").map(named);
    let model = reader.take_parsed::<String>("model").map(named);
    let settings = reader.take_fields("settings");
    let endpoints = reader.take_fields("endpoints");
    let endpoints = read_all(endpoints, |field| {
        read_endpoint(&path, field, reader.findings())
    });
    reader.finish();
    Some(RawService {
        path,
        name,
        kind,
        model,
        settings,
        endpoints,
    })
}

fn read_endpoint(parent: &str, field: Field, findings: &mut Findings) -> Option<RawEndpoint> {
    let path = format!("{parent}/endpoints/{}", field.name);
    let name = parse_name(&field.name, &field.place, &path, findings)?;
    let mut reader = ObjectReader::new(&path, field.value, findings);
    let address = reader.take_required::<SocketAddr>("address");
    let data_centre = reader.take_required::<DataCentreId>("data_centre");
    let leaving = reader.take_parsed::<bool>("leaving");
    reader.finish();
    Some(RawEndpoint {
        name,
        address: address.map(|(id, place)| Named { id, place }),
        data_centre: data_centre.map(|(id, place)| Named { id, place }),
        leaving: leaving.is_some_and(|(leaving, _)| leaving),
    })
}

fn read_customer(parent: &str, field: Field, findings: &mut Findings) -> Option<RawCustomer> {
    let path = format!("{parent}/customers/{}", field.name);
    let name = parse_name(&field.name, &field.place, &path, findings)?;
    let mut reader = ObjectReader::new(&path, field.value, findings);
    let settings = reader.take_fields("settings");
    let overrides = reader.take_fields("pipelines");
    let pipelines = read_all(overrides, |field| {
        let name = parse_name(&field.name, &field.place, &path, reader.findings())?;
        match field.value.kind {
            Kind::Object(fields) => Some((name, fields)),
            other => {
                let message = format!("expected an object of settings, found {}", other.name());
                let hint = "write {\"deadline\": ...}";
                reader.findings().add(&field.place, &path, message, hint);
                None
            }
        }
    });
    reader.finish();
    Some(RawCustomer {
        path,
        name,
        settings,
        pipelines,
    })
}

fn read_pipeline(parent: &str, field: Field, findings: &mut Findings) -> Option<RawPipeline> {
    let path = format!("{parent}/pipelines/{}", field.name);
    let name = parse_name(&field.name, &field.place, &path, findings)?;
    let mut reader = ObjectReader::new(&path, field.value, findings);
    let settings = reader.take_fields("settings");
    let elements = reader.take_list("stages");
    let stages = elements
        .into_iter()
        .filter_map(|element| read_stage(&path, element, reader.findings()))
        .collect();
    reader.finish();
    Some(RawPipeline {
        path,
        name,
        settings,
        stages,
    })
}

fn read_stage(parent: &str, value: Value, findings: &mut Findings) -> Option<RawStage> {
    let mut reader = ObjectReader::new(parent, value, findings);
    let name = reader.take_required::<StageId>("name");
    let service = reader.take_required::<ServiceId>("service");
    let settings = reader.take_fields("settings");
    reader.finish();
    let (id, place) = name?;
    Some(RawStage {
        path: format!("{parent}/stages/{id}"),
        name: Named { id, place },
        service: service.map(|(id, place)| Named { id, place }),
        settings,
    })
}
