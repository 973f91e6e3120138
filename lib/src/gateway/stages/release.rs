//! Releases results of stages that are no longer needed, which frees result capacity of their endpoints.
//!
//! A result is released through the coordinator of its service, which tracks what each endpoint stores. It collects
//! releases for a short time and sends them to the endpoints. A lost release only delays the freeing: endpoints drop
//! results after a timeout.

use {
    crate::{
        gateway::{
            dialect::{Dialect, ReplyFacts},
            hashes::service_hash,
            peers::message::LinkRequest,
            rules::{
                allowed_regions::RegionHash, coordinator::Coordinator,
                distance::in_different_regions,
            },
            stages::{
                endpoint_post::{Post, post},
                job::ResultHandle,
            },
            state::{Gateway, GatewayState},
            wire::egress::{self, CONNECT_LIMIT},
        },
        shared::{ids::ServiceId, units::Time},
    },
    foldhash::{HashMap, HashSet},
    http::StatusCode,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// Time for which releases are collected before they are sent to the endpoints.
const GATHER_TIME: Duration = Duration::from_millis(15);

/// Releases results of a service through its coordinators, in each region that stores some of them.
pub(crate) fn release<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    handles: Vec<ResultHandle>,
) {
    for (region, handles) in by_region(gateway, service, handles) {
        release_in(gateway, service, region, handles);
    }
}

/// Groups results by the region that stores them; `None` stands for this daemon's region and for unknown regions.
fn by_region<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    handles: Vec<ResultHandle>,
) -> BTreeMap<Option<RegionHash>, Vec<ResultHandle>> {
    let state = gateway.state.borrow();
    let endpoints = &state.endpoints;
    let mut by_region: BTreeMap<Option<RegionHash>, Vec<ResultHandle>> = BTreeMap::new();
    if endpoints.local_region().is_none() && !handles.is_empty() {
        by_region.insert(None, handles);
        return by_region;
    }
    for handle in handles {
        let region = handle
            .address()
            .and_then(|at| endpoints.region_at(service, at));
        let remote = region.filter(|_| in_different_regions(endpoints.local_region(), region));
        by_region.entry(remote).or_default().push(handle);
    }
    by_region
}

/// Releases results through the coordinator of a service in a region. If another region has no coordinator, the
/// endpoints drop the results after a timeout.
fn release_in<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    region: Option<RegionHash>,
    handles: Vec<ResultHandle>,
) {
    let ready = gateway.may_coordinate();
    let now = gateway.now();
    let state = gateway.state.borrow();
    let coordinator = match region {
        None => state.peers.coordinator(now, service, ready, &[]),
        Some(region) => match state.peers.remote_coordinator(now, service, region, &[]) {
            Some(peer) => Coordinator::Peer(peer),
            None => return,
        },
    };
    drop(state);
    match coordinator {
        Coordinator::Local => gateway
            .state
            .borrow_mut()
            .stage_queues
            .release(service, handles),
        Coordinator::Peer(peer) => gateway
            .links
            .notify(peer, LinkRequest::Release(service.clone(), handles)),
    }
}

/// Releases inputs that endpoints have fetched, if the endpoints that store them are short of result capacity.
pub(super) fn release_fetched<D: Dialect>(gateway: &Gateway<D>) {
    let now = gateway.now();
    let short = short_of_capacity(gateway, now);
    if short.is_empty() {
        return;
    }
    let fetched = gateway
        .state
        .borrow_mut()
        .stage_queues
        .take_fetched(now, &short);
    for (service, handles) in by_service(gateway, fetched) {
        release(gateway, &service, handles);
    }
}

/// Returns the addresses of the endpoints of all services that are short of result capacity.
fn short_of_capacity<D: Dialect>(gateway: &Gateway<D>, now: Time) -> HashSet<SocketAddr> {
    let state = gateway.state.borrow();
    let services = state.stage_queues.services();
    let services = services.filter(|service| is_short_of_capacity(&state, now, service));
    services
        .flat_map(|service| state.endpoints.service(service))
        .map(|member| member.entry.address)
        .collect()
}

/// Returns whether this daemon or a peer has found the endpoints of a service short of result capacity.
fn is_short_of_capacity(state: &GatewayState, now: Time, service: &ServiceId) -> bool {
    state.stage_queues.is_short_of_capacity(now, service)
        || state.peers.is_short_of_capacity(service_hash(service))
}

/// Releases results that the endpoint of their request has fetched, if the endpoints of the service that stores
/// them are short of result capacity. Returns whether the results were released.
pub(super) fn release_if_short<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    handles: &[ResultHandle],
) -> bool {
    let now = gateway.now();
    let is_short = is_short_of_capacity(&gateway.state.borrow(), now, service);
    if is_short {
        release(gateway, service, handles.to_vec());
    }
    is_short
}

/// Groups results by the services of the endpoints that store them. Skips results of endpoints that have left, since
/// these results no longer exist.
fn by_service<D: Dialect>(
    gateway: &Gateway<D>,
    handles: Vec<ResultHandle>,
) -> BTreeMap<ServiceId, Vec<ResultHandle>> {
    let state = gateway.state.borrow();
    let mut by_service: BTreeMap<ServiceId, Vec<ResultHandle>> = BTreeMap::new();
    for handle in handles {
        let service = handle
            .address()
            .and_then(|at| state.endpoints.service_at(at));
        if let Some(service) = service {
            by_service.entry(service.clone()).or_default().push(handle);
        }
    }
    by_service
}

/// Sends collected releases to the endpoints, periodically. Never returns.
pub async fn run_releases<D: Dialect>(gateway: Rc<Gateway<D>>) {
    loop {
        tokio::time::sleep(GATHER_TIME).await;
        let releases = gateway.state.borrow_mut().stage_queues.take_releases();
        for (service, handles) in releases {
            for (address, handles) in by_address(handles) {
                if in_cooldown(&gateway, &service, address) {
                    let mut state = gateway.state.borrow_mut();
                    state.stage_queues.release(&service, handles);
                    continue;
                }
                let gateway = gateway.clone();
                let service = service.clone();
                tokio::task::spawn_local(async move {
                    send_release(&gateway, &service, address, &handles).await;
                });
            }
        }
    }
}

/// Returns whether the endpoint of a service at an address is cooling down, so that releases to it have to wait.
fn in_cooldown<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId, address: SocketAddr) -> bool {
    let endpoints = &gateway.state.borrow().endpoints;
    let entry = endpoints.entry_at(service, address);
    entry.is_some_and(|entry| endpoints.in_cooldown(&entry))
}

/// Groups results by the addresses of the endpoints that store them. Skips handles without an address, whose
/// endpoints are unknown.
fn by_address(handles: Vec<ResultHandle>) -> HashMap<SocketAddr, Vec<ResultHandle>> {
    let mut by_address: HashMap<SocketAddr, Vec<ResultHandle>> = HashMap::default();
    for handle in handles {
        if let Some(address) = handle.address() {
            by_address.entry(address).or_default().push(handle);
        }
    }
    by_address
}

/// Sends a release to one endpoint. If the endpoint doesn't confirm it, the results count as stored until the
/// timeout after which the endpoint drops them.
async fn send_release<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    address: SocketAddr,
    handles: &[ResultHandle],
) {
    let message = Post {
        address,
        path: D::RELEASE_PATH,
        endpoint: None,
        body: D::write_release(handles),
        limit: CONNECT_LIMIT,
    };
    let entry = gateway.state.borrow().endpoints.entry_at(service, address);
    let record = |status, facts: &ReplyFacts| {
        if let Some(entry) = &entry {
            gateway.record_signals(entry, status, facts);
        }
    };
    let connection = match &entry {
        Some(entry) => {
            let opened = gateway.connect(entry).await;
            opened.map(|opened| opened.connection)
        }
        None => egress::connect(address, CONNECT_LIMIT).await,
    };
    let Ok(connection) = connection else { return };
    let reply = post::<D>(connection, message, record).await;
    if !reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
        return;
    }
    gateway
        .state
        .borrow_mut()
        .stage_queues
        .released(service, handles);
    gateway.stage_work.notify_one();
}
