//! Runs the stages of one request, each as soon as the stages that it depends on are complete.
//!
//! Owns the progress of the stages of one request. Relies on `handover` to run the job of a stage, on
//! `stage_results` for the handles of results, and on `work_claim` to count the pieces as outstanding.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            rules::stage_placement::StagePlacement,
            stages::{
                chain_request::ChainRequest,
                handover::run_by_coordinator,
                job::{JobEnd, PieceInput, ResultHandle},
                stage_results::Results,
                work_claim::WorkClaim,
            },
            state::Gateway,
            table::RouteStage,
        },
        shared::ids::{DataCentreId, ServiceId},
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{rc::Rc, time::Duration},
};

/// Maximum number of times that the stages of a request start over because their results were gone.
const MAX_RESTARTS: u32 = 2;

/// Reports why the stages of a request failed. The request itself wasn't sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChainError {
    /// The stages can't end before the deadline.
    Late,
    /// The job of a stage failed, or the stages started over too often because results were gone.
    Failed,
}

/// Runs all stages of a request and returns their results. Dropping the future cancels the jobs in flight.
///
/// # Errors
///
/// Returns why the stages failed; their results are released.
pub async fn run<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: &ChainRequest,
) -> Result<Results<D>, ChainError> {
    let mut chain = Chain::new(gateway, request);
    let mut running = FuturesUnordered::new();
    loop {
        for start in chain.begin_ready() {
            running.push(run_stage(gateway, request, start));
        }
        if chain.results.are_complete() {
            return Ok(chain.results);
        }
        let Some(ended) = running.next().await else {
            if chain.are_all_begun() {
                return Err(ChainError::Failed);
            }
            // Only stages without pieces began in this round, and they are complete already; stages that
            // depend on them can begin.
            continue;
        };
        match ended.end {
            JobEnd::Completed(handles) => chain.complete(ended.stage, handles),
            JobEnd::Late => return Err(ChainError::Late),
            JobEnd::Failed => return Err(ChainError::Failed),
            JobEnd::InputsGone if chain.restarts < MAX_RESTARTS => {
                // All stages run again, since the inputs of earlier stages may be released already. Dropping the
                // running stages cancels their jobs.
                running = FuturesUnordered::new();
                chain.restart();
            }
            JobEnd::InputsGone => return Err(ChainError::Failed),
        }
    }
}

/// A stage whose job can start.
struct StageStart {
    stage: usize,
    input: PieceInput,
    /// Data centre in which the pieces should run; `None` without a preference.
    preferred: Option<DataCentreId>,
}

/// A stage whose job ended.
struct StageEnd {
    stage: usize,
    end: JobEnd,
}

/// The progress of the stages of one request.
struct Chain<'a, D: Dialect> {
    gateway: &'a Rc<Gateway<D>>,
    request: &'a ChainRequest,
    /// For each stage of the route, whether it has begun.
    begun: Vec<bool>,
    restarts: u32,
    claim: WorkClaim<D>,
    results: Results<D>,
}

impl<'a, D: Dialect> Chain<'a, D> {
    fn new(gateway: &'a Rc<Gateway<D>>, request: &'a ChainRequest) -> Self {
        let route = &request.route;
        Self {
            gateway,
            request,
            begun: vec![false; route.stages.len()],
            restarts: 0,
            results: Results::new(gateway.clone(), route),
            claim: WorkClaim::new(gateway, request),
        }
    }

    /// Begins the stages whose inputs are complete, and returns those whose jobs have to run. A stage without
    /// pieces is complete at once.
    fn begin_ready(&mut self) -> Vec<StageStart> {
        let mut starts = Vec::new();
        for (index, stage) in self.request.route.stages.iter().enumerate() {
            if self.begun[index] || !self.results.is_ready(stage) {
                continue;
            }
            self.begun[index] = true;
            if self.request.count(index) == 0 {
                self.results.complete(index, Vec::new());
                continue;
            }
            starts.push(StageStart {
                stage: index,
                input: self.results.input_of(stage, &self.request.key),
                preferred: self.preferred_centre(index, stage),
            });
        }
        starts
    }

    /// Returns the data centre in which the pieces of a stage should run.
    fn preferred_centre(&self, index: usize, stage: &RouteStage) -> Option<DataCentreId> {
        let inputs = self.results.stage_inputs(stage);
        let placement = StagePlacement {
            inputs: &inputs,
            pieces: self.request.count(index),
            result_size: stage.result,
            request: self.request.serving_centre.as_ref(),
        };
        placement.preferred().cloned()
    }

    fn are_all_begun(&self) -> bool {
        self.begun.iter().all(|begun| *begun)
    }

    fn complete(&mut self, stage: usize, handles: Vec<ResultHandle>) {
        self.claim.complete_stage(stage);
        self.results.complete(stage, handles);
        self.results.release_used(&self.request.route);
    }

    /// Releases all results and starts over with no stage begun.
    fn restart(&mut self) {
        self.restarts += 1;
        self.begun.fill(false);
        self.results.release_all();
        self.claim = WorkClaim::new(self.gateway, self.request);
    }
}

async fn run_stage<D: Dialect>(
    gateway: &Rc<Gateway<D>>,
    request: &ChainRequest,
    start: StageStart,
) -> StageEnd {
    let stage = start.stage;
    let service = request.route.stages[stage].service.clone();
    let job = request.job(stage, start.input, start.preferred);
    let begun = gateway.now();
    let end = run_by_coordinator(gateway, &service, request.region, job).await;
    let elapsed = gateway.now().since(begun);
    gateway.metrics.observe_stage(elapsed);
    log_end(request, stage, &service, &end, elapsed);
    StageEnd { stage, end }
}

fn log_end(
    request: &ChainRequest,
    stage: usize,
    service: &ServiceId,
    end: &JobEnd,
    elapsed: Duration,
) {
    log::info!(
        request = &*request.id,
        stage,
        service:% = service,
        pieces = request.count(stage),
        outcome = end.as_str(),
        took_ms = elapsed.as_millis() as u64;
        "stage.ended"
    );
}
