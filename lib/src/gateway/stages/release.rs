//! Releases results of stages that are no longer needed, so that their endpoints have room again.
//!
//! A result is released through the coordinator of its service, which knows what each endpoint
//! keeps; it gathers releases for a moment and sends them to the endpoints. A release that is lost
//! costs room only: endpoints drop results by themselves in time.

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
            wire::egress::CONNECT_LIMIT,
        },
        shared::{ids::ServiceId, units::Time},
    },
    foldhash::{HashMap, HashSet},
    http::StatusCode,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// Time for which results are gathered before their release is sent.
const GATHER: Duration = Duration::from_millis(15);

/// Reports to the coordinators of a service that results are no longer needed.
pub(crate) fn release<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    handles: Vec<ResultHandle>,
) {
    for (region, handles) in by_region(gateway, service, handles) {
        release_in(gateway, service, region, handles);
    }
}

/// Groups results by the other regions where they are kept; nothing stands for this daemon's own.
fn by_region<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    handles: Vec<ResultHandle>,
) -> BTreeMap<Option<RegionHash>, Vec<ResultHandle>> {
    let state = gateway.state.borrow();
    let endpoints = &state.endpoints;
    let mut by_region: BTreeMap<Option<RegionHash>, Vec<ResultHandle>> = BTreeMap::new();
    if endpoints.home().is_none() && !handles.is_empty() {
        by_region.insert(None, handles);
        return by_region;
    }
    for handle in handles {
        let region = handle
            .address()
            .and_then(|at| endpoints.region_at(service, at));
        let far = region.filter(|_| in_different_regions(endpoints.home(), region));
        by_region.entry(far).or_default().push(handle);
    }
    by_region
}

/// Reports to the coordinator of a service in a region that results are no longer needed. Where there is none,
/// endpoints drop them in time.
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
        Some(region) => match state.peers.far_coordinator(now, service, region, &[]) {
            Some(peer) => Coordinator::Peer(peer),
            None => return,
        },
    };
    drop(state);
    match coordinator {
        Coordinator::Me => gateway
            .state
            .borrow_mut()
            .planning
            .release(service, handles),
        Coordinator::Peer(peer) => gateway
            .links
            .notify(peer, LinkRequest::Release(service.clone(), handles)),
    }
}

/// Releases inputs that endpoints have fetched, where those that keep them are short of room.
pub(super) fn release_fetched<D: Dialect>(gateway: &Gateway<D>) {
    let now = gateway.now();
    let short = short_of_room(gateway, now);
    if short.is_empty() {
        return;
    }
    let fetched = gateway
        .state
        .borrow_mut()
        .planning
        .take_fetched(now, &short);
    for (service, handles) in by_service(gateway, fetched) {
        release(gateway, &service, handles);
    }
}

/// Returns the addresses of the endpoints of services that are short of room for results.
fn short_of_room<D: Dialect>(gateway: &Gateway<D>, now: Time) -> HashSet<SocketAddr> {
    let state = gateway.state.borrow();
    let services = state.planning.services();
    let services = services.filter(|service| is_short_of_room(&state, now, service));
    services
        .flat_map(|service| state.endpoints.service(service))
        .map(|member| member.entry.address)
        .collect()
}

/// Returns whether any daemon knows the endpoints of a service to be short of room for results.
fn is_short_of_room(state: &GatewayState, now: Time, service: &ServiceId) -> bool {
    state.planning.is_short_of_room(now, service)
        || state.peers.is_short_of_room(service_hash(service))
}

/// Releases results of a service that the endpoint of their request has fetched by now, if the endpoints
/// that keep them are short of room; returns whether it did.
pub(super) fn release_if_short<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    handles: &[ResultHandle],
) -> bool {
    let now = gateway.now();
    let is_short = is_short_of_room(&gateway.state.borrow(), now, service);
    if is_short {
        release(gateway, service, handles.to_vec());
    }
    is_short
}

/// Groups results by the services of the endpoints that keep them. Results of an endpoint that has
/// left went with it.
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

/// Sends the releases gathered here to the endpoints, for good.
pub async fn run_releases<D: Dialect>(gateway: Rc<Gateway<D>>) {
    loop {
        tokio::time::sleep(GATHER).await;
        let releases = gateway.state.borrow_mut().planning.take_releases();
        for (service, handles) in releases {
            for (address, handles) in by_address(handles) {
                if is_resting(&gateway, &service, address) {
                    let mut state = gateway.state.borrow_mut();
                    state.planning.release(&service, handles);
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

/// Returns whether the endpoint of a service at an address wants nothing just now, so that releases wait.
fn is_resting<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId, address: SocketAddr) -> bool {
    let endpoints = &gateway.state.borrow().endpoints;
    let entry = endpoints.entry_at(service, address);
    entry.is_some_and(|entry| endpoints.is_resting(&entry))
}

/// Groups results by the addresses of the endpoints that keep them; a handle without an address
/// names no endpoint that could drop its result.
fn by_address(handles: Vec<ResultHandle>) -> HashMap<SocketAddr, Vec<ResultHandle>> {
    let mut by_address: HashMap<SocketAddr, Vec<ResultHandle>> = HashMap::default();
    for handle in handles {
        if let Some(address) = handle.address() {
            by_address.entry(address).or_default().push(handle);
        }
    }
    by_address
}

/// Sends a release to one endpoint. One that doesn't confirm it drops the results by itself later;
/// until then they count as kept.
async fn send_release<D: Dialect>(
    gateway: &Gateway<D>,
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
            gateway.record_notices(entry, status, facts);
        }
    };
    let reply = post::<D>(message, record).await;
    if !reply.is_ok_and(|reply| reply.status == StatusCode::OK) {
        return;
    }
    gateway
        .state
        .borrow_mut()
        .planning
        .released(service, handles);
    gateway.work.notify_one();
}
