//! Hands a job to the coordinator of its service.
//!
//! Relies on `peers` for who that is, and for the link to it. A coordinator that is lost is passed
//! over for the next one; this daemon itself is the last resort, so that a job never waits for
//! daemons that can't be reached.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            peers::{
                job_message,
                message::{JobOrder, LinkRequest},
            },
            rules::coordinator::Coordinator,
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

/// Runs a job by the coordinator of its service.
pub(super) async fn run_by_coordinator<D: Dialect>(
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
        let order = JobOrder::from_job(gateway.now(), service, &job);
        let reply = gateway.links.request(peer, LinkRequest::Job(order)).await;
        if let Some(end) = job_message::job_end(reply) {
            return end;
        }
        // The event keeps its name; operators know the coordinator of a stage as its planner.
        log::warn!(request = &*job.request, service:% = service, peer:% = peer; "planner.lost");
        let now = gateway.now();
        gateway.state.borrow_mut().peers.pass_over(now, &peer);
        lost.push(peer);
    }
    gateway.run_locally(service, job).await
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
