//! Sends a job to the coordinator of its service, in the region in which the request runs.
//!
//! Relies on `peers` to choose the coordinator and for the link to it. If a coordinator is lost, the next one is
//! tried. In its own region, this daemon runs the job itself as a last resort, so that no job waits for daemons
//! that can't be reached. In another region it can't, since it schedules no calls there; the job fails.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                job_message,
                message::{JobOrder, LinkRequest},
            },
            rules::{allowed_regions::RegionHash, coordinator::Coordinator},
            stages::job::{JobEnd, StageJob},
            state::Gateway,
        },
        shared::ids::ServiceId,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Time between two attempts to find a coordinator by a daemon that has just started.
const COORDINATOR_POLL: Duration = Duration::from_millis(50);

/// Maximum number of daemons that are tried for one job. In its own region, the last of them is this daemon.
const MAX_COORDINATORS: usize = 3;

/// Runs a job on the coordinator of its service in a region; `None` stands for the region of this daemon.
pub(super) async fn run_by_coordinator<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    region: Option<RegionHash>,
    job: StageJob,
) -> JobEnd {
    match region {
        Some(region) => run_in_remote_region(gateway, service, region, job).await,
        None => run_in_local_region(gateway, service, job).await,
    }
}

/// Runs a job on the coordinator of its service in another region.
async fn run_in_remote_region<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    region: RegionHash,
    job: StageJob,
) -> JobEnd {
    let mut lost: Vec<SocketAddr> = Vec::new();
    while lost.len() + 1 < MAX_COORDINATORS {
        let Some(peer) = remote_coordinator(gateway, service, region, &lost) else {
            break;
        };
        if let Some(end) = send_job(gateway, service, &job, peer).await {
            return end;
        }
        lost.push(peer);
    }
    JobEnd::Failed
}

/// Runs a job on the coordinator of its service in this daemon's region.
async fn run_in_local_region<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    job: StageJob,
) -> JobEnd {
    let mut lost: Vec<SocketAddr> = Vec::new();
    while lost.len() + 1 < MAX_COORDINATORS {
        let Coordinator::Peer(peer) = coordinator(gateway, service, &lost) else {
            if gateway.is_settled() {
                break;
            }
            // Daemons that started at the same time may not be known yet.
            tokio::time::sleep(COORDINATOR_POLL).await;
            continue;
        };
        if let Some(end) = send_job(gateway, service, &job, peer).await {
            return end;
        }
        lost.push(peer);
    }
    gateway.run_locally(service, job).await
}

/// Sends a job to a coordinator and waits for its outcome. Returns `None` if the coordinator is lost, which is then
/// excluded for a time.
async fn send_job<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    job: &StageJob,
    peer: SocketAddr,
) -> Option<JobEnd> {
    let order = JobOrder::from_job(gateway.now(), service, job);
    let reply = gateway.links.request(peer, LinkRequest::Job(order)).await;
    let end = job_message::job_end(reply);
    if end.is_none() {
        // In the event name, "planner" stands for the coordinator of a stage service, as operators know it.
        log::warn!(request = &*job.request, service:% = service, peer:% = peer; "planner.lost");
        let now = gateway.now();
        gateway
            .state
            .borrow_mut()
            .peers
            .exclude_coordinator(now, &peer);
    }
    end
}

fn remote_coordinator<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    region: RegionHash,
    lost: &[SocketAddr],
) -> Option<SocketAddr> {
    let now = gateway.now();
    let state = gateway.state.borrow();
    state.peers.remote_coordinator(now, service, region, lost)
}

fn coordinator<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    lost: &[SocketAddr],
) -> Coordinator {
    let ready = gateway.may_coordinate();
    let now = gateway.now();
    gateway
        .state
        .borrow()
        .peers
        .coordinator(now, service, ready, lost)
}
