//! Runs the stages of one request: each as soon as those before it are done.

use {
    crate::{
        gateway::{
            dialect::{Dialect, Inbound},
            peers::{membership::Coordinator, message::LinkRequest, relay},
            rules::{admission, endpoint_choice::InputLocation},
            stages::{
                job::{JobEnd, PieceInput, ResultHandle, StageJob},
                release::release,
                work_claim::WorkClaim,
            },
            state::Gateway,
            table::{Route, RouteStage},
        },
        shared::{
            ids::{DataCentreId, ServiceId},
            units::{ByteSize, Millis, Time},
        },
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// Time kept of a request's objective for each stage that comes later.
const LATER_STAGE: Millis = Millis(350);

/// Times that a stage is made again because its results were gone.
const REMAKES: u32 = 2;

/// Time between two looks for a planner by a daemon that has just started.
const SETTLE_LOOK: Duration = Duration::from_millis(50);

/// Planners that are tried for one job, the last one being this daemon.
const PLANNERS: usize = 3;

/// What the stages of a request work on.
#[derive(Debug, Clone)]
pub struct ChainRequest {
    /// The request's id.
    pub id: Arc<str>,
    /// Its route.
    pub route: Arc<Route>,
    /// Pieces of each stage.
    pub pieces: Vec<u32>,
    /// Input of the first stages.
    pub key: Arc<str>,
    /// When its time is over.
    pub deadline: Time,
    /// When its answer should come to be worth most.
    pub objective: Time,
    /// Its rank.
    pub rank: u32,
    /// Time that the request itself needs.
    pub own_time: Millis,
    /// Data centre of the endpoint that will probably serve it.
    pub home: Option<DataCentreId>,
}

impl ChainRequest {
    /// Reads what the stages need from a request.
    pub fn new(
        inbound: &Inbound,
        route: &Arc<Route>,
        deadline: Time,
        objective: Time,
        rank: u32,
    ) -> Self {
        Self {
            id: inbound.id.clone(),
            route: route.clone(),
            pieces: inbound.pieces.clone(),
            key: inbound.piece_key.as_deref().unwrap_or_default().into(),
            deadline,
            objective,
            rank,
            own_time: Millis(admission::own_ms(inbound.prompt.tokens_in) as u64),
            home: None,
        }
    }

    /// Tells where the request will probably be served.
    #[must_use]
    pub fn near(mut self, home: Option<DataCentreId>) -> Self {
        self.home = home;
        self
    }

    /// Returns what crosses between data centres if one piece of a stage is made elsewhere.
    fn moved(&self, stage: usize) -> ByteSize {
        let stages = &self.route.stages;
        let taken: u64 = stages[stage]
            .after
            .iter()
            .map(|before| u64::from(self.count(*before)) * stages[*before].result.0)
            .sum();
        let takers: u64 = (0..stages.len())
            .filter(|later| stages[*later].after.contains(&stage))
            .map(|later| u64::from(self.count(later)))
            .sum();
        ByteSize(taken + stages[stage].result.0 * takers.max(1))
    }

    fn count(&self, stage: usize) -> u32 {
        self.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Returns the number of stages that come after a stage, along the longest way.
    fn later(&self, stage: usize) -> u64 {
        let stages = &self.route.stages;
        (stage + 1..stages.len())
            .filter(|later| stages[*later].after.contains(&stage))
            .map(|later| 1 + self.later(later))
            .max()
            .unwrap_or(0)
    }
}

/// Why the stages of a request failed; the request itself hasn't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChainError {
    /// They can't be done in time.
    Late,
    /// A stage failed as often as it is tried.
    Failed,
}

/// The results of a request's stages; those still held are released when this is dropped.
pub struct Results<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    stages: Vec<(ServiceId, Option<Vec<ResultHandle>>)>,
    /// Size of each stage's results.
    sizes: Vec<ByteSize>,
    /// Stages that no other one comes after.
    last: Vec<usize>,
}

impl<D: Dialect> Results<D> {
    fn new(gateway: Rc<Gateway<D>>, route: &Route) -> Self {
        let is_last = |stage: &usize| {
            let mut all = route.stages.iter();
            !all.any(|other| other.after.contains(stage))
        };
        Self {
            gateway,
            stages: route
                .stages
                .iter()
                .map(|stage| (stage.service.clone(), None))
                .collect(),
            sizes: route.stages.iter().map(|stage| stage.result).collect(),
            last: (0..route.stages.len()).filter(is_last).collect(),
        }
    }

    /// Returns the results that the request itself takes.
    pub fn inputs(&self) -> Vec<ResultHandle> {
        self.last
            .iter()
            .filter_map(|stage| self.stages[*stage].1.clone())
            .flatten()
            .collect()
    }

    /// Returns where the results lie that the request itself needs.
    pub fn input_locations(&self) -> Vec<InputLocation> {
        let state = self.gateway.state.borrow();
        let mut locations = Vec::new();
        for stage in &self.last {
            let size = self.sizes[*stage];
            for handle in self.stages[*stage].1.iter().flatten() {
                let address = handle.address();
                let member = state
                    .endpoints
                    .service(&self.stages[*stage].0)
                    .find(|member| Some(member.entry.address) == address);
                if let Some(member) = member {
                    locations.push(InputLocation {
                        data_centre: member.entry.data_centre.clone(),
                        size,
                    });
                }
            }
        }
        locations
    }

    /// Gives all results up that are still held.
    fn release_all(&mut self) {
        for (service, handles) in &mut self.stages {
            if let Some(handles) = handles.take() {
                release(&self.gateway, service, handles);
            }
        }
    }
}

impl<D: Dialect> Drop for Results<D> {
    fn drop(&mut self) {
        self.release_all();
    }
}

/// Runs all stages of a request; dropping it cancels what is under way.
///
/// # Errors
///
/// Returns why they aren't done; what was made is released.
pub async fn run<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: &ChainRequest,
) -> Result<Results<D>, ChainError> {
    let mut results = Results::new(gateway.clone(), &request.route);
    let mut claim = WorkClaim::new(gateway, &request.route, &request.pieces);
    let stages = &request.route.stages;
    let mut begun = vec![false; stages.len()];
    let mut remakes = 0;
    let mut running = FuturesUnordered::new();
    loop {
        for stage in 0..stages.len() {
            if !begun[stage] && is_ready(request, &results, stage) {
                begun[stage] = true;
                if request.count(stage) == 0 {
                    results.stages[stage].1 = Some(Vec::new());
                    continue;
                }
                let input = input_of(request, &results, &stages[stage]);
                running.push(make(gateway, request, stage, input));
            }
        }
        if results.stages.iter().all(|(_, handles)| handles.is_some()) {
            return Ok(results);
        }
        let Some((stage, end)) = running.next().await else {
            // Only stages left out were begun in this round, or what is left waits for them.
            if begun.iter().all(|begun| *begun) {
                return Err(ChainError::Failed);
            }
            continue;
        };
        match end {
            JobEnd::Completed(handles) => {
                claim.settle(stage);
                results.stages[stage].1 = Some(handles);
                release_used(request, &mut results);
            }
            JobEnd::Late => return Err(ChainError::Late),
            JobEnd::Failed => return Err(ChainError::Failed),
            JobEnd::InputsGone if remakes < REMAKES => {
                // What the stage before was made from may be released already, so that all is
                // made again; jobs under way are cancelled.
                remakes += 1;
                running = FuturesUnordered::new();
                begun.fill(false);
                results.release_all();
                claim = WorkClaim::new(gateway, &request.route, &request.pieces);
            }
            JobEnd::InputsGone => return Err(ChainError::Failed),
        }
    }
}

fn is_ready<D: Dialect>(request: &ChainRequest, results: &Results<D>, stage: usize) -> bool {
    request.route.stages[stage]
        .after
        .iter()
        .all(|before| results.stages[*before].1.is_some())
}

/// Releases the results whose users are all done; those of the last stages stay.
fn release_used<D: Dialect>(request: &ChainRequest, results: &mut Results<D>) {
    let stages = &request.route.stages;
    for stage in 0..stages.len() {
        if results.last.contains(&stage) {
            continue;
        }
        let used = stages
            .iter()
            .enumerate()
            .filter(|(_, other)| other.after.contains(&stage))
            .all(|(user, _)| results.stages[user].1.is_some());
        if used {
            // The stage counts as done; only its handles are given up.
            let (service, handles) = &mut results.stages[stage];
            if let Some(handles) = handles.as_mut() {
                release(&results.gateway, service, std::mem::take(handles));
            }
        }
    }
}

fn input_of<D: Dialect>(
    request: &ChainRequest,
    results: &Results<D>,
    stage: &RouteStage,
) -> PieceInput {
    let handles: Vec<ResultHandle> = stage
        .after
        .iter()
        .filter_map(|before| results.stages[*before].1.clone())
        .flatten()
        .collect();
    if handles.is_empty() {
        PieceInput::Key(request.key.clone())
    } else {
        PieceInput::Results(handles)
    }
}

async fn make<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: &ChainRequest,
    stage: usize,
    input: PieceInput,
) -> (usize, JobEnd) {
    let service = request.route.stages[stage].service.clone();
    let reserve = LATER_STAGE.0 * request.later(stage) + request.own_time.0;
    let job = StageJob {
        request: request.id.clone(),
        stage: stage as u32,
        pieces: request.count(stage),
        input,
        deadline: request.deadline,
        objective: Time(request.objective.0.saturating_sub(reserve * 1000)),
        rank: request.rank,
        result: request.route.stages[stage].result,
        home: request.home.clone(),
        moved: request.moved(stage),
    };
    let begun = gateway.now();
    let end = make_somewhere(gateway, &service, job).await;
    let took = gateway.now().since(begun);
    gateway.metrics.stage(took);
    let outcome = match &end {
        JobEnd::Completed(_) => "made",
        JobEnd::Late => "late",
        JobEnd::InputsGone => "inputs_gone",
        JobEnd::Failed => "failed",
    };
    log::info!(
        request = &*request.id,
        stage,
        service:% = service,
        pieces = request.count(stage),
        outcome,
        took_ms = took.as_millis() as u64;
        "stage.ended"
    );
    (stage, end)
}

/// Hands a job to the daemon that plans for its service, and to the next one if that one is lost.
async fn make_somewhere<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    service: &ServiceId,
    job: StageJob,
) -> JobEnd {
    let mut failed: Vec<SocketAddr> = Vec::new();
    while failed.len() + 1 < PLANNERS {
        let ready = gateway.may_coordinate();
        let now = gateway.now();
        let planner = gateway
            .state
            .borrow()
            .peers
            .coordinator(now, service, ready, &failed);
        let Coordinator::Peer(peer) = planner else {
            if gateway.is_settled() {
                break;
            }
            // Others that started at the same time are not known yet.
            tokio::time::sleep(SETTLE_LOOK).await;
            continue;
        };
        let order = relay::order_of(gateway, service, &job);
        let reply = gateway.links.ask(peer, LinkRequest::Job(order)).await;
        if let Some(end) = relay::job_end(reply) {
            return end;
        }
        log::warn!(request = &*job.request, service:% = service, peer:% = peer; "planner.lost");
        let now = gateway.now();
        gateway.state.borrow_mut().peers.pass_over(now, &peer);
        failed.push(peer);
    }
    gateway.run_locally(service, job).await
}
