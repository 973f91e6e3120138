//! Hands a job to the coordinator of its service, in the region where its request runs.
//!
//! Relies on `peers` for who that is, and for the link to it. A coordinator that is lost is passed
//! over for the next one; this daemon itself is the last resort, so that a job never waits for
//! daemons that can't be reached. In another region there is none: this daemon plans no calls there.

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

/// Time between two looks for a coordinator by a daemon that has just started.
const SETTLE_LOOK: Duration = Duration::from_millis(50);

/// Daemons that are tried for one job, the last of which is this one (a count).
const COORDINATORS: usize = 3;

/// Runs a job by the coordinator of its service in a region; nothing stands for that of this daemon.
pub(super) async fn run_by_coordinator<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    region: Option<RegionHash>,
    job: StageJob,
) -> JobEnd {
    match region {
        Some(region) => run_far(gateway, service, region, job).await,
        None => run_near(gateway, service, job).await,
    }
}

/// Runs a job by the coordinator of its service in another region.
async fn run_far<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    region: RegionHash,
    job: StageJob,
) -> JobEnd {
    let mut lost: Vec<SocketAddr> = Vec::new();
    while lost.len() + 1 < COORDINATORS {
        let Some(peer) = far_coordinator(gateway, service, region, &lost) else {
            break;
        };
        if let Some(end) = hand_over(gateway, service, &job, peer).await {
            return end;
        }
        lost.push(peer);
    }
    JobEnd::Failed
}

/// Runs a job by the coordinator of its service in this region.
async fn run_near<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    job: StageJob,
) -> JobEnd {
    let mut lost: Vec<SocketAddr> = Vec::new();
    while lost.len() + 1 < COORDINATORS {
        let Coordinator::Peer(peer) = coordinator(gateway, service, &lost) else {
            if gateway.is_settled() {
                break;
            }
            // Others that started at the same time are not known yet.
            tokio::time::sleep(SETTLE_LOOK).await;
            continue;
        };
        if let Some(end) = hand_over(gateway, service, &job, peer).await {
            return end;
        }
        lost.push(peer);
    }
    gateway.run_locally(service, job).await
}

/// Hands a job to a coordinator, and waits for its end; nothing if the coordinator is lost, which is then passed over.
async fn hand_over<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    job: &StageJob,
    peer: SocketAddr,
) -> Option<JobEnd> {
    let order = JobOrder::from_job(gateway.now(), service, job);
    let reply = gateway.links.request(peer, LinkRequest::Job(order)).await;
    let end = job_message::job_end(reply);
    if end.is_none() {
        // The event keeps its name; operators know the coordinator of a stage as its planner.
        log::warn!(request = &*job.request, service:% = service, peer:% = peer; "planner.lost");
        let now = gateway.now();
        gateway.state.borrow_mut().peers.pass_over(now, &peer);
    }
    end
}

fn far_coordinator<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    region: RegionHash,
    lost: &[SocketAddr],
) -> Option<SocketAddr> {
    let now = gateway.now();
    let state = gateway.state.borrow();
    state.peers.far_coordinator(now, service, region, lost)
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
