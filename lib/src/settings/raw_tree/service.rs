//! Services and their endpoints as written.

use {
    crate::{
        settings::{
            document::{Field, ObjectReader, Placed},
            raw_tree::{parse_name, read_all},
        },
        shared::{
            findings::Findings,
            ids::{DataCentreId, EndpointId, ServiceId},
        },
    },
    std::net::SocketAddr,
};

/// A service as written.
#[derive(Debug, Clone)]
pub struct RawService {
    /// Path from the root.
    pub path: String,
    /// Name of the service.
    pub name: Placed<ServiceId>,
    /// Kind of its endpoints: `engine` or `plain`.
    pub kind: Option<Placed<String>>,
    /// Model that its engines serve.
    pub model: Option<Placed<String>>,
    /// Overridden settings.
    pub settings: Vec<Field>,
    /// Its endpoints.
    pub endpoints: Vec<RawEndpoint>,
}

/// An endpoint as written.
#[derive(Debug, Clone)]
pub struct RawEndpoint {
    /// Name of the endpoint.
    pub name: Placed<EndpointId>,
    /// Where it listens.
    pub address: Option<Placed<SocketAddr>>,
    /// Data centre of its host.
    pub data_centre: Option<Placed<DataCentreId>>,
    /// True if operators take it out of service.
    pub leaving: bool,
}

impl RawService {
    pub(super) fn read(parent: &str, field: Field, findings: &mut Findings) -> Option<Self> {
        let path = format!("{parent}/services/{}", field.name);
        let name = parse_name(&field.name, &field.place, &path, findings)?;
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
        let name = parse_name(&field.name, &field.place, &path, findings)?;
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
