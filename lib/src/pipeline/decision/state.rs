//! The parts of the core's state: pools, timers, costs and counts.

use {
    crate::{
        pipeline::decision::{
            endpoint::{AttemptEnd, LoadReport, NotRunCause},
            pool::Pool,
            prefix::CacheEvent,
            request::{Attempt, Request},
        },
        settings::tree::{ServiceKind, Tree},
        shared::{
            ids::{
                AttemptId, DataCentreId, EndpointId, MemberSerial, PipelineId, RequestId,
                ServiceId, StageId,
            },
            problem::{Code, Problem},
            units::{Time, WorkMillis},
        },
    },
    foldhash::HashMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

/// All pools of one daemon.
#[derive(Debug, Default)]
pub struct Pools {
    pools: HashMap<ServiceId, Pool>,
    homes: HashMap<EndpointId, ServiceId>,
    last_serial: u64,
}

impl Pools {
    /// Returns a service's pool.
    pub fn pool(&self, service: &ServiceId) -> Option<&Pool> {
        self.pools.get(service)
    }

    /// Returns a service's pool, to choose from.
    pub fn pool_mut(&mut self, service: &ServiceId) -> Option<&mut Pool> {
        self.pools.get_mut(service)
    }

    /// Returns all pools, in no order.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Returns what a service's endpoints are.
    pub fn kind(&self, service: &ServiceId) -> Option<&ServiceKind> {
        self.pools.get(service).map(|pool| &pool.service.kind)
    }

    /// Rebuilds the pools for a new tree and keeps what is known of endpoints that stay.
    pub fn adopt(&mut self, tree: &Tree, data_centre: &DataCentreId) {
        let mut old = std::mem::take(&mut self.pools);
        self.homes.clear();
        for service in tree.services.values() {
            for endpoint in &service.endpoints {
                self.homes.insert(endpoint.id.clone(), service.id.clone());
            }
            let last_serial = &mut self.last_serial;
            let mut serials = || {
                *last_serial += 1;
                MemberSerial(*last_serial)
            };
            let kept = old.remove(&service.id);
            let pool = Pool::new(service.clone(), data_centre, kept, &mut serials);
            self.pools.insert(service.id.clone(), pool);
        }
    }

    /// Takes in an endpoint's load report.
    pub fn load(&mut self, now: Time, endpoint: &EndpointId, report: LoadReport) {
        let pool = self.home(endpoint);
        if let Some(member) = pool.and_then(|pool| pool.member_named(endpoint)) {
            member.leaving = report.leaving;
            member.load.take_report(now, report);
        }
    }

    /// Takes in what an engine tells of its cache.
    pub fn cache(&mut self, now: Time, endpoint: &EndpointId, events: &[CacheEvent]) {
        if let Some(pool) = self.home(endpoint) {
            pool.learn_cache(now, endpoint, events);
        }
    }

    /// Returns the pool that an endpoint belongs to.
    fn home(&mut self, endpoint: &EndpointId) -> Option<&mut Pool> {
        let service = self.homes.get(endpoint)?;
        self.pools.get_mut(service)
    }

    /// Learns from the end of an attempt that kept its endpoint busy for `spent`.
    #[allow(clippy::too_many_arguments)]
    pub fn ended(
        &mut self,
        now: Time,
        service: &ServiceId,
        attempt: &Attempt,
        end: &AttemptEnd,
        spent: WorkMillis,
        ejects: bool,
        counters: &mut Counters,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let Some(member) = pool.member(&attempt.endpoint, attempt.serial) else {
            return;
        };
        member.load.ended(attempt.sent, attempt.expected);
        let took = WorkMillis(now.millis_since(attempt.sent));
        let worked = match end {
            AttemptEnd::Answered(_) | AttemptEnd::StreamEnded { .. } => true,
            AttemptEnd::NotRun(NotRunCause::Leaving) => {
                member.leaving = true;
                return;
            }
            AttemptEnd::NotRun(NotRunCause::Busy) => return,
            AttemptEnd::NotRun(NotRunCause::Unreachable) | AttemptEnd::Failed(_) => false,
        };
        if worked {
            member.health.succeeded();
            member.load.correct(now, attempt.expected, took);
            let (tokens, prefill) = match end {
                AttemptEnd::StreamEnded {
                    tokens, prefill, ..
                } => (*tokens, *prefill),
                _ => (0, None),
            };
            pool.learn(&attempt.size, tokens, spent, prefill);
        } else if ejects && pool.failed(now, &attempt.endpoint, attempt.serial) {
            counters.ejections += 1;
        }
    }

    /// Notes that an attempt was given up. It counts neither for nor against its endpoint.
    pub fn cancelled(&mut self, service: &ServiceId, attempt: &Attempt) {
        let member = self
            .pools
            .get_mut(service)
            .and_then(|pool| pool.member(&attempt.endpoint, attempt.serial));
        if let Some(member) = member {
            member.load.ended(attempt.sent, attempt.expected);
        }
    }
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A request's time is over.
    Deadline(RequestId),
    /// An attempt has waited long enough for a second one beside it.
    Hedge(AttemptId),
}

/// Timers by due time; one whose matter has ended stays until it is due and then does nothing.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, due: Time, timer: Timer) {
        self.heap.push(Reverse((due, timer)));
    }

    /// Returns when the next timer is due.
    pub fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes a timer that is due.
    pub fn pop(&mut self, now: Time) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}

/// Endpoint time of one stage.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageCost {
    /// Time spent for requests that were answered in time.
    pub useful: WorkMillis,
    /// Time spent for nothing: late, failed, cancelled or lost.
    pub wasted: WorkMillis,
}

/// Endpoint time by pipeline and stage.
#[derive(Debug, Default)]
pub struct Costs {
    stages: BTreeMap<(PipelineId, StageId), StageCost>,
}

impl Costs {
    /// Adds what one request spent.
    pub fn add(&mut self, request: &Request, useful: bool) {
        for (i, stage) in request.pipeline.stages.iter().enumerate() {
            let key = (request.pipeline.id.clone(), stage.id.clone());
            let cost = self.stages.entry(key).or_default();
            cost.wasted.0 += request.wasted[i].0;
            let won = if useful {
                &mut cost.useful
            } else {
                &mut cost.wasted
            };
            won.0 += request.spent[i].0;
        }
    }

    /// Returns the cost of each stage.
    pub fn stages(&self) -> impl Iterator<Item = (&PipelineId, &StageId, StageCost)> {
        self.stages
            .iter()
            .map(|((pipeline, stage), cost)| (pipeline, stage, *cost))
    }
}

/// Counts of what happened, since the start.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Requests answered within their deadline.
    pub answered: u64,
    /// Requests answered late or to a caller that had left.
    pub late: u64,
    /// Problems by code and outcome.
    pub problems: BTreeMap<(Code, crate::shared::problem::Outcome), u64>,
    /// First attempts at a stage.
    pub attempts: u64,
    /// Attempts beyond the first: retries, hedges and resumes.
    pub extra: u64,
    /// Endpoints ejected.
    pub ejections: u64,
}

impl Counters {
    /// Counts a refusal before anything was sent.
    pub fn refused(&mut self, code: Code) {
        let key = (code, crate::shared::problem::Outcome::NotRun);
        *self.problems.entry(key).or_default() += 1;
    }

    /// Counts a request that ended without an answer.
    pub fn failed(&mut self, problem: &Problem) {
        *self
            .problems
            .entry((problem.code, problem.outcome))
            .or_default() += 1;
    }

    /// Counts an answer.
    pub fn answered(&mut self, in_time: bool) {
        if in_time {
            self.answered += 1;
        } else {
            self.late += 1;
        }
    }

    /// Counts an attempt.
    pub fn sent(&mut self, extra: bool) {
        if extra {
            self.extra += 1;
        } else {
            self.attempts += 1;
        }
    }
}
