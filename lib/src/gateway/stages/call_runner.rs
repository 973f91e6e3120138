//! Sends the calls of the services that this daemon coordinates, and applies their outcomes.
//!
//! Owns the loop that schedules calls whenever jobs, endpoints or limits change. Relies on `queues` for the calls to
//! send, on `endpoint_post` for the HTTP exchange, and on `rules::call_timing` for the timeout of an answer.

use {
    crate::{
        gateway::{
            dialect::{Dialect, ReplyFacts},
            request_digest::RequestDigest,
            rules::call_timing::answer_limit,
            stages::{
                batch_call::{BatchCall, CallEnd},
                endpoint_post::{Post, Reply, post},
                job::PieceEnd,
                queues::ServiceCall,
                release::release_fetched,
            },
            state::Gateway,
            wire::{egress::SendError, endpoint_check::EndpointCheck},
        },
        shared::{
            ids::ServiceId,
            units::{Time, WorkMillis},
        },
    },
    bytes::Bytes,
    http::StatusCode,
    std::{collections::BTreeSet, rc::Rc, time::Duration},
};

/// Longest time between two checks of the queues while they have jobs. Overdue calls, late jobs and the end of an
/// endpoint's exclusion depend on time alone and don't wake the loop.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Schedules and sends calls whenever something has changed, and periodically while there are jobs. Never returns.
pub async fn run_calls<D: Dialect>(gateway: Rc<Gateway<D>>) {
    loop {
        let is_busy = gateway.state.borrow().stage_queues.jobs() > 0;
        if is_busy {
            // Whether notified or timed out, the queues are checked.
            let _ =
                tokio::time::timeout(time_to_check(&gateway), gateway.stage_work.notified()).await;
        } else {
            gateway.stage_work.notified().await;
        }
        start_calls(&gateway);
        release_fetched(&gateway);
    }
}

/// Returns the time until the next check if nothing changes: until the first held call is due, if that is sooner.
fn time_to_check<D: Dialect>(gateway: &Gateway<D>) -> Duration {
    let held = gateway.state.borrow().stage_queues.held_until();
    let now = gateway.now();
    held.map_or(CHECK_INTERVAL, |held| held.since(now).min(CHECK_INTERVAL))
}

fn start_calls<D: Dialect>(gateway: &Rc<Gateway<D>>) {
    gateway.refresh_stage_queues();
    let now = gateway.now();
    let allowed = gateway.allowed_calls();
    let mut state = gateway.state.borrow_mut();
    state.stage_queues.set_allowed_calls(&allowed);
    let calls = state.stage_queues.schedule(now);
    drop(state);
    for ServiceCall { service, call } in calls {
        gateway.call_sent(&call.entry);
        let first_sends = call.pieces.len() - call.retries;
        gateway.metrics.count_call(first_sends, call.retries);
        if let Some(of) = call.shortened {
            gateway.metrics.count_shortened();
            log_shortened(&service, &call, of);
        }
        log_start(&call_name(gateway, &service, &call), &service, &call);
        tokio::task::spawn_local(run_call(gateway.clone(), service, call));
    }
}

/// Returns the name of a call in logs, which differs from those of other services and other runs of the process.
fn call_name<D: Dialect>(gateway: &Gateway<D>, service: &ServiceId, call: &BatchCall) -> String {
    format!("{:04x}-{service}-{}", gateway.run as u16, call.id)
}

async fn run_call<D: Dialect>(gateway: Rc<Gateway<D>>, service: ServiceId, call: BatchCall) {
    let body = D::write_pieces(&call.pieces);
    let sent = gateway.now();
    let sending = gateway.run_caught("stage_call", send_call(&gateway, &call, body));
    let end = sending.await.unwrap_or(CallEnd::Broken);
    let now = gateway.now();
    let elapsed = WorkMillis(now.millis_since(sent));
    let name = call_name(&gateway, &service, &call);
    log_end(&name, &service, &call, &end, elapsed);
    let has_ended = end == CallEnd::Ended;
    gateway
        .state
        .borrow_mut()
        .stage_queues
        .call_ended(now, &service, call.id, end);
    if has_ended {
        record_terminated(&gateway, &service, &call, sent);
    }
    gateway.stage_work.notify_one();
}

/// Records that an endpoint terminated during a call with pieces of these requests. Fails the jobs of the requests
/// that are quarantined now, since their other pieces could terminate endpoints too.
fn record_terminated<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    call: &BatchCall,
    sent: Time,
) {
    gateway.metrics.endpoints.count_terminated();
    let digests: BTreeSet<RequestDigest> = call
        .pieces
        .iter()
        .filter_map(|piece| piece.digest)
        .collect();
    for digest in digests {
        log::warn!(endpoint:% = call.entry.id, digest:%; "endpoint.ended");
        gateway.record_terminated(&[digest], &call.entry, sent);
        if gateway.check_digest(&digest).is_err() {
            let mut state = gateway.state.borrow_mut();
            state.stage_queues.fail_request(service, digest);
        }
    }
}

async fn send_call<D: Dialect>(gateway: &Rc<Gateway<D>>, call: &BatchCall, body: Bytes) -> CallEnd {
    let sent = gateway.now();
    let message = Post {
        address: call.entry.address,
        path: D::PIECES_PATH,
        endpoint: Some(&call.entry.id),
        body,
        limit: answer_limit(call.expected),
    };
    let record = |status, facts: &ReplyFacts| {
        gateway.record_call_reply(&call.entry, status, facts, sent);
    };
    let reply = match gateway.connect(&call.entry).await {
        Ok(opened) => post::<D>(opened.connection, message, record).await,
        Err(error) => Err(error),
    };
    match reply {
        Ok(reply) => read_end::<D>(&reply, call.pieces.len()),
        Err(SendError::NotSent(_)) => CallEnd::Unconnected,
        Err(SendError::TimedOut) => CallEnd::Broken,
        Err(SendError::MaybeSent(_) | SendError::IncompleteReply(_)) => {
            match gateway.check(&call.entry).await {
                EndpointCheck::Terminated => CallEnd::Ended,
                EndpointCheck::Alive | EndpointCheck::Silent => CallEnd::Broken,
            }
        }
    }
}

fn read_end<D: Dialect>(reply: &Reply, pieces: usize) -> CallEnd {
    match reply.status {
        StatusCode::OK => match D::read_pieces(&reply.body) {
            Ok(ends) if ends.len() == pieces => CallEnd::Answered(ends),
            // The results of such an answer can't be matched to the pieces; the event `pieces.ended` reports the call
            // as broken.
            Ok(_) | Err(_) => CallEnd::Broken,
        },
        StatusCode::MISDIRECTED_REQUEST => CallEnd::Replaced,
        StatusCode::SERVICE_UNAVAILABLE => CallEnd::Refused,
        _ => CallEnd::Broken,
    }
}

fn log_start(name: &str, service: &ServiceId, call: &BatchCall) {
    let requests = call.pieces.iter().map(|piece| &*piece.request).collect();
    log::info!(
        call = name,
        service:% = service,
        endpoint:% = call.entry.id,
        pieces = call.pieces.len(),
        repeated = call.retries,
        waiting = call.waiting,
        expected_ms = call.expected.0,
        requests:? = distinct(requests);
        "pieces.sent"
    );
}

fn log_shortened(service: &ServiceId, call: &BatchCall, of: usize) {
    log::info!(service:% = service, pieces = call.pieces.len(), of; "pieces.shortened");
}

fn distinct(mut names: Vec<&str>) -> Vec<&str> {
    names.sort_unstable();
    names.dedup();
    names
}

fn log_end(name: &str, service: &ServiceId, call: &BatchCall, end: &CallEnd, elapsed: WorkMillis) {
    let count = |wanted: fn(&PieceEnd) -> bool| match end {
        CallEnd::Answered(ends) => ends.iter().filter(|end| wanted(end)).count(),
        CallEnd::Refused
        | CallEnd::Unconnected
        | CallEnd::Replaced
        | CallEnd::Broken
        | CallEnd::Ended => 0,
    };
    log::info!(
        call = name,
        service:% = service,
        endpoint:% = call.entry.id,
        outcome = end.as_str(),
        made = count(|end| matches!(end, PieceEnd::Completed(_))),
        no_room = count(|end| matches!(end, PieceEnd::NoCapacity)),
        input_gone = count(|end| matches!(end, PieceEnd::InputGone)),
        took_ms = elapsed.0,
        expected_ms = call.expected.0;
        "pieces.ended"
    );
}
