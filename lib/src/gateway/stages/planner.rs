//! Plans the pieces of the services that this daemon plans for, and calls their endpoints.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            routing::endpoint_state::service_hash,
            rules::call_timing::answer_limit,
            stages::{
                batch_call::{BatchCall, CallEnd},
                job::{JobEnd, JobId, PieceEnd, ResultHandle, StageJob},
                queues::JobTicket,
                release::release,
            },
            state::Gateway,
            wire::egress,
        },
        shared::{
            ids::{EndpointId, ServiceId},
            units::Time,
        },
    },
    bytes::Bytes,
    foldhash::{HashMap, HashSet},
    http::{HeaderMap, Request, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// Longest time to connect to an endpoint.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Largest answer to a call.
const ANSWER_SIZE: usize = 256 * 1024;

/// Time between two looks at jobs in hand.
const LOOK: Duration = Duration::from_millis(25);

/// Time for which results that are no longer needed are gathered before they are told.
const GATHER: Duration = Duration::from_millis(15);

/// Cancels a job when it is dropped before its end.
struct CancelOnDrop<'a, D: Dialect> {
    gateway: &'a Gateway<D>,
    id: JobId,
}

impl<D: Dialect> Drop for CancelOnDrop<'_, D> {
    fn drop(&mut self) {
        // After its end, this finds nothing.
        self.gateway.state.borrow_mut().planning.cancel(self.id);
        self.gateway.work.notify_one();
    }
}

impl<D: Dialect> Gateway<D> {
    /// Makes the pieces of a job through this daemon's own planner; dropping it cancels the job.
    pub async fn make_here(&self, service: &ServiceId, job: StageJob) -> JobEnd {
        let now = self.now();
        let ticket = self.state.borrow_mut().planning.add(now, service, job);
        let Some(JobTicket { id, receiver }) = ticket else {
            return JobEnd::Failed;
        };
        let cancel = CancelOnDrop { gateway: self, id };
        self.work.notify_one();
        let end = receiver.await.unwrap_or(JobEnd::Failed);
        drop(cancel);
        end
    }

    /// Gives up inputs that endpoints have fetched.
    fn release_fetched(&self) {
        let now = self.now();
        let short = self.short_of_room(now);
        if short.is_empty() {
            return;
        }
        let fetched = self.state.borrow_mut().planning.take_fetched(now, &short);
        let mut by_service: BTreeMap<ServiceId, Vec<ResultHandle>> = BTreeMap::new();
        let state = self.state.borrow();
        for handle in fetched {
            let maker = handle
                .address()
                .and_then(|at| state.endpoints.service_at(at));
            if let Some(service) = maker {
                by_service.entry(service.clone()).or_default().push(handle);
            }
        }
        drop(state);
        for (service, handles) in by_service {
            release(self, &service, handles);
        }
    }

    /// Names a call in logs, apart from those of other services and other lives of the process.
    fn call_name(&self, service: &ServiceId, call: &BatchCall) -> String {
        format!("{:04x}-{service}-{}", self.run as u16, call.id)
    }

    /// Returns the addresses of the endpoints of services that are short of room for results.
    fn short_of_room(&self, now: Time) -> HashSet<SocketAddr> {
        let state = self.state.borrow();
        let is_short = |service: &ServiceId| {
            state.planning.is_short_of_room(now, service)
                || state.peers.is_short_of_room(service_hash(service))
        };
        let services = state.planning.limits.keys().filter(|id| is_short(id));
        services
            .flat_map(|service| state.endpoints.service(service))
            .map(|member| member.entry.address)
            .collect()
    }

    fn start_calls(self: &Rc<Self>) {
        let now = self.now();
        let calls = self.state.borrow_mut().planning.plan(now);
        for (service, call) in calls {
            self.metrics
                .call(call.pieces.len() - call.retries, call.retries);
            log_call(&self.call_name(&service, &call), &service, &call);
            tokio::task::spawn_local(run_call(self.clone(), service, call));
        }
    }
}

fn log_call(name: &str, service: &ServiceId, call: &BatchCall) {
    let requests: Vec<&str> = call.pieces.iter().map(|piece| &*piece.request).collect();
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

fn distinct(mut names: Vec<&str>) -> Vec<&str> {
    names.sort_unstable();
    names.dedup();
    names
}

/// Plans whenever there is something new, and looks again now and then while jobs are in hand.
pub async fn run_planner<D: Dialect>(gateway: Rc<Gateway<D>>) {
    loop {
        let busy = gateway.state.borrow().planning.jobs() > 0;
        if busy {
            let _ = tokio::time::timeout(LOOK, gateway.work.notified()).await;
        } else {
            gateway.work.notified().await;
        }
        gateway.start_calls();
        gateway.release_fetched();
    }
}

/// Tells endpoints which results are no longer needed.
pub async fn run_releases<D: Dialect>(gateway: Rc<Gateway<D>>) {
    loop {
        tokio::time::sleep(GATHER).await;
        let releases = gateway.state.borrow_mut().planning.take_releases();
        for (service, handles) in releases {
            let mut by_maker: HashMap<SocketAddr, Vec<ResultHandle>> = HashMap::default();
            for handle in handles {
                if let Some(address) = handle.address() {
                    by_maker.entry(address).or_default().push(handle);
                }
            }
            for (address, handles) in by_maker {
                let gateway = gateway.clone();
                let service = service.clone();
                tokio::task::spawn_local(async move {
                    tell_release(&gateway, &service, address, &handles).await;
                });
            }
        }
    }
}

/// Tells one endpoint; one that doesn't hear of it drops the results by itself later.
async fn tell_release<D: Dialect>(
    gateway: &Gateway<D>,
    service: &ServiceId,
    address: SocketAddr,
    handles: &[ResultHandle],
) {
    let body = D::write_release(handles);
    let told = post::<D>(address, D::RELEASE_PATH, None, body, CONNECT_LIMIT).await;
    if matches!(told, Ok((StatusCode::OK, _))) {
        gateway
            .state
            .borrow_mut()
            .planning
            .released(service, handles);
        gateway.work.notify_one();
    }
}

async fn run_call<D: Dialect>(gateway: Rc<Gateway<D>>, service: ServiceId, call: BatchCall) {
    let limit = answer_limit(call.expected);
    let body = D::write_pieces(&call.pieces);
    let sent = gateway.now();
    let endpoint = Some(&call.entry.id);
    let posted = post::<D>(call.entry.address, D::PIECES_PATH, endpoint, body, limit).await;
    let end = match posted {
        Ok((StatusCode::OK, body)) => match D::read_pieces(&body) {
            Ok(ends) if ends.len() == call.pieces.len() => CallEnd::Answered(ends),
            Ok(_) | Err(_) => CallEnd::Broken,
        },
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => CallEnd::Replaced,
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => CallEnd::Refused,
        Ok(_) => CallEnd::Broken,
        Err(egress::SendError::NotSent(_)) => CallEnd::Refused,
        Err(egress::SendError::MaybeSent(_) | egress::SendError::Broken(_)) => CallEnd::Broken,
    };
    let now = gateway.now();
    let took_ms = now.millis_since(sent);
    let outcome = match &end {
        CallEnd::Answered(_) => "answered",
        CallEnd::Refused => "refused",
        CallEnd::Replaced => "replaced",
        CallEnd::Broken => "broken",
    };
    let count = |wanted: fn(&PieceEnd) -> bool| match &end {
        CallEnd::Answered(ends) => ends.iter().filter(|end| wanted(end)).count(),
        CallEnd::Refused | CallEnd::Replaced | CallEnd::Broken => 0,
    };
    log::info!(
        call = gateway.call_name(&service, &call).as_str(),
        service:% = service,
        endpoint:% = call.entry.id,
        outcome,
        made = count(|end| matches!(end, PieceEnd::Completed(_))),
        no_room = count(|end| matches!(end, PieceEnd::NoRoom)),
        input_gone = count(|end| matches!(end, PieceEnd::InputGone)),
        took_ms,
        expected_ms = call.expected.0;
        "pieces.ended"
    );
    gateway
        .state
        .borrow_mut()
        .planning
        .call_ended(now, &service, call.id, end);
    gateway.work.notify_one();
}

/// Posts a body to an endpoint and reads the whole answer within `limit`.
async fn post<D: Dialect>(
    address: SocketAddr,
    path: &str,
    endpoint: Option<&EndpointId>,
    body: Bytes,
    limit: Duration,
) -> Result<(StatusCode, Bytes), egress::SendError> {
    let connection = egress::connect(address, CONNECT_LIMIT).await?;
    let mut headers = HeaderMap::new();
    if let Some(endpoint) = endpoint {
        D::write_call(&mut headers, endpoint);
    }
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = headers;
    let host = address.to_string();
    if let Ok(host) = host.parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request.headers_mut().insert(
        header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    let exchange = async {
        let (response, _guard) = connection.send(request).await?;
        let status = response.status();
        let collected = Limited::new(response.into_body(), ANSWER_SIZE)
            .collect()
            .await;
        match collected {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(error) => Err(egress::SendError::Broken(error.to_string())),
        }
    };
    match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(egress::SendError::Broken("no answer in time".into())),
    }
}
