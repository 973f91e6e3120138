//! Admission: checks an arriving request, in the order in which refusals are reported.
//!
//! Applies the rules: [`admission`](super::admission) compares the time needed with the time left,
//! [`fair`](super::fair) gives the customer's wait allowance, [`limit`](super::limit) checks the customer's limits, and
//! [`retry_after`](super::retry_after) gives the wait that is suggested to a refused caller.

use {
    crate::{
        pipeline::decision::{
            admission::RequiredTime,
            core::Core,
            policy::Policy,
            request::{Arrival, Request, Target},
            retry_after,
        },
        settings::{
            tree::{Customer, Pipeline, Tree},
            values::{Guard, Settings},
        },
        shared::{
            problem::{Code, Problem},
            units::{Time, WorkMillis},
        },
    },
    std::sync::Arc,
};

/// Endpoints sampled to estimate a stage that isn't sent yet: as many as the estimated policy samples in the local data
/// centre.
const ESTIMATE_SAMPLE: usize = 4;

impl Core {
    /// Checks a request, and records its work as requested and, if it is admitted, as admitted and in flight.
    ///
    /// # Errors
    ///
    /// Returns a problem with outcome `not_run`: nothing was sent for a request that is refused.
    pub(crate) fn admit(&mut self, now: Time, arrival: Arrival) -> Result<Request, Problem> {
        let tree = self.tree.clone();
        let customer = find_customer(&tree, &arrival)?;
        let (pipeline, settings) = self.find_target(&tree, customer, &arrival)?;
        check_arrival(&arrival, &pipeline, &settings)?;
        self.check_stream(&arrival, &pipeline)?;
        let request = Request::new(arrival, pipeline, &settings, now);
        let work = self.request_work(&request);
        self.shares.record_requested(now, work);
        self.check_time(now, &request)?;
        let usage = self.customers.entry(request.customer.clone()).or_default();
        if let Err(wait) = usage.start_request(now, &customer.settings) {
            let detail = format!("customer {} is over its limit", customer.id);
            return Err(Problem::not_run(Code::OverLimit, detail).retry_after(wait));
        }
        self.shares.record_admitted(now, &request.customer, work);
        Ok(request)
    }

    /// Finds the pipeline to run, and the settings that apply to the whole request.
    fn find_target(
        &self,
        tree: &Tree,
        customer: &Customer,
        arrival: &Arrival,
    ) -> Result<(Arc<Pipeline>, Arc<Settings>), Problem> {
        match &arrival.target {
            Target::Pipeline(id) => match tree.pipelines.get(id) {
                Some(pipeline) => Ok((pipeline.clone(), tree.request_settings(customer, pipeline))),
                None => Err(Problem::not_run(
                    Code::UnknownPipeline,
                    format!("no pipeline is named {id}"),
                )),
            },
            Target::Service(id) => match self.service_pipelines.get(id) {
                Some(pipeline) => Ok((pipeline.clone(), pipeline.settings.clone())),
                None => Err(Problem::not_run(
                    Code::UnknownService,
                    format!("no service is named {id}"),
                )),
            },
        }
    }

    /// Refuses a stream of tokens from a pipeline whose last stage doesn't generate.
    fn check_stream(&self, arrival: &Arrival, pipeline: &Pipeline) -> Result<(), Problem> {
        let last = pipeline.stages.last().map(|stage| &stage.service);
        let generates = last.is_some_and(|service| self.pools.generates(service));
        if arrival.stream && !generates {
            let detail = format!("{} doesn't end in a generation", pipeline.id);
            return Err(Problem::not_run(Code::BadRequest, detail));
        }
        Ok(())
    }

    /// Refuses a request that, by the estimate, can't meet its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`Code::NoTime`] with the time after which the caller may try again.
    pub(crate) fn check_time(&self, now: Time, request: &Request) -> Result<(), Problem> {
        let required = self.required_time(now, request);
        let stage = request.current();
        let policy = self.config.policy(&stage.settings);
        let remaining = request.remaining(now);
        let fits = if request.stage == 0 {
            let allowance = self.shares.wait_allowance(now, &request.customer);
            policy.admits(remaining, required, request.priority, allowance)
        } else {
            policy.continues(remaining, required)
        };
        if fits {
            return Ok(());
        }
        let wait = match self.pools.pool(&stage.service) {
            Some(pool) => pool.retry_after(now),
            None => retry_after::DEFAULT_WAIT,
        };
        let RequiredTime { work, wait: queue } = required;
        let detail = format!("about {work} of work after a wait of {queue}, {remaining} left");
        Err(Problem::not_run(Code::NoTime, detail).retry_after(wait))
    }

    /// Estimates the endpoint time of all stages of a request.
    fn request_work(&self, request: &Request) -> WorkMillis {
        let stages = request.pipeline.stages.iter();
        let pools = stages.filter_map(|stage| self.pools.pool(&stage.service));
        WorkMillis(pools.map(|pool| pool.average_work().0).sum())
    }

    /// Estimates the time that the current and all later stages need.
    fn required_time(&self, now: Time, request: &Request) -> RequiredTime {
        let mut required = RequiredTime::default();
        for stage in &request.pipeline.stages[request.stage..] {
            let floor = stage.settings.floor.value;
            match self.pools.pool(&stage.service) {
                Some(pool) => {
                    let work = pool.average_work();
                    let finish = pool.earliest_finish(now, work, ESTIMATE_SAMPLE);
                    required.add_stage(floor, work, finish);
                }
                None => required.add_unknown_stage(floor),
            }
        }
        required
    }
}

/// Finds the customer that the caller names.
fn find_customer<'t>(tree: &'t Tree, arrival: &Arrival) -> Result<&'t Customer, Problem> {
    match tree.customers.get(&arrival.customer) {
        Some(customer) => Ok(customer),
        None => Err(Problem::not_run(
            Code::UnknownCustomer,
            format!("no customer is named {}", arrival.customer),
        )),
    }
}

/// Checks the size of the body and the idempotency key against the settings.
fn check_arrival(
    arrival: &Arrival,
    pipeline: &Pipeline,
    settings: &Settings,
) -> Result<(), Problem> {
    let limit = settings.max_body.value;
    if arrival.body.len() as u64 > limit.0 {
        let detail = format!(
            "the body has {} bytes, {limit} are allowed",
            arrival.body.len()
        );
        return Err(Problem::not_run(Code::BodyTooLarge, detail));
    }
    for stage in &pipeline.stages {
        match stage.settings.guard.value {
            Guard::None => {}
            Guard::Endpoint if arrival.key.is_some() => {}
            Guard::Endpoint => {
                let detail = format!("stage {} needs an Idempotency-Key", stage.id);
                return Err(Problem::not_run(Code::KeyMissing, detail));
            }
            Guard::Fleet => {
                // The hosts share no store for idempotency keys, so the request is refused rather than run twice.
                let detail = format!("stage {} has guard \"fleet\"", stage.id);
                return Err(Problem::not_run(Code::GuardUnavailable, detail));
            }
        }
    }
    Ok(())
}
