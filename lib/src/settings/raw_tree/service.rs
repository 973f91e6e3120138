//! Services and their endpoints, parsed but not resolved.

use {
    crate::{
        settings::{
            document::{Field, Located, ObjectReader},
            raw_tree::{parse_name, read_all},
        },
        shared::{
            findings::Findings,
            ids::{DataCentreId, EndpointId, ServiceId},
        },
    },
    std::net::SocketAddr,
};

/// A service, parsed but not resolved.
#[derive(Debug, Clone)]
pub struct RawService {
    /// Path from the root.
    pub path: String,
    /// Name of the service.
    pub name: Located<ServiceId>,
    /// Kind of the endpoints, `engine` or `plain`; `None` if the field is missing or malformed, which is reported.
    pub kind: Option<Located<String>>,
    /// Model that the engines serve; only engines have one.
    pub model: Option<Located<String>>,
    /// Settings that the service overrides.
    pub settings: Vec<Field>,
    /// Endpoints of the service.
    pub endpoints: Vec<RawEndpoint>,
}

/// An endpoint, parsed but not resolved.
#[derive(Debug, Clone)]
pub struct RawEndpoint {
    /// Name of the endpoint.
    pub name: Located<EndpointId>,
    /// Address on which the endpoint listens; `None` if the field is missing or malformed, which is reported.
    pub address: Option<Located<SocketAddr>>,
    /// Data centre of the endpoint's host; `None` if the field is missing or malformed, which is reported.
    pub data_centre: Option<Located<DataCentreId>>,
    /// Set if operators are taking the endpoint out of service.
    pub leaving: bool,
}

impl RawService {
    pub(super) fn read(parent: &str, field: Field, findings: &mut Findings) -> Option<Self> {
        let path = format!("{parent}/services/{}", field.name);
        let name = parse_name(&field.name, &field.location, &path, findings)?;
        let mut reader = ObjectReader::new(&path, field.value, findings);
        let kind = reader.take_required::<String>("kind");
        let model = reader.take_parsed::<String>("model");
        let settings = reader.take_fields("settings");
        let endpoints = reader.take_fields("endpoints");
        let found = reader.findings();
        let endpoints = read_all(endpoints, |field| RawEndpoint::read(&path, field, found));
        reader.finish();
        Some(Self {
            path,
            name,
            kind,
            model,
            settings,
            endpoints,
        })
    }
}

impl RawEndpoint {
    fn read(parent: &str, field: Field, findings: &mut Findings) -> Option<Self> {
        let path = format!("{parent}/endpoints/{}", field.name);
        let name = parse_name(&field.name, &field.location, &path, findings)?;
        let mut reader = ObjectReader::new(&path, field.value, findings);
        let address = reader.take_required::<SocketAddr>("address");
        let data_centre = reader.take_required::<DataCentreId>("data_centre");
        let leaving = reader.take_parsed::<bool>("leaving");
        reader.finish();
        Some(Self {
            name,
            address,
            data_centre,
            leaving: leaving.is_some_and(|leaving| leaving.value),
        })
    }
}
