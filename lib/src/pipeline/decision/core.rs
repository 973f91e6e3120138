//! The decisions of one daemon as a pure state machine: [`Core::step`] takes the time and one event, and returns the
//! actions to carry out, in order.
//!
//! The inputs are [`Event`]s: requests that arrive or whose callers leave, tokens and ends of attempts, load reports
//! and cache events of endpoints, settings trees, and timers that are due. The outputs are [`Action`]s: calls to send
//! or cancel, tokens and final answers to deliver. The shell carries them out in order, sends [`Event::Tick`] when
//! [`Core::next_timer`] is due, and reports the end of each attempt that wasn't cancelled.
//!
//! The core owns all requests, attempts and pools, and the only random number generator, which is seeded once: the same
//! events at the same times give the same actions. Each request gets exactly one final answer, or none if its caller has
//! left. This module holds the state and handles events; `admit`, `send`, [`attempt`](super::attempt) and `finish` hold the steps of a request.

use {
    crate::{
        pipeline::decision::{
            counters::Counters,
            endpoint::{AttemptEnd, EndpointCall, LoadReport},
            fair::FairShares,
            limit::CustomerUsage,
            policy_choice::AnyPolicy,
            pools::Pools,
            prefix::CacheEvent,
            request::{Answer, Arrival, Request},
            retry::AttemptKind,
            stage_costs::StageCosts,
            timers::{Timer, Timers},
        },
        settings::{
            tree::{Pipeline, Tree},
            values::Settings,
        },
        shared::{
            ids::{AttemptId, CustomerId, DataCentreId, EndpointId, RequestId, ServiceId},
            problem::Problem,
            units::{Millis, Time},
        },
    },
    foldhash::HashMap,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::sync::Arc,
};

/// Location and seed of a daemon's core.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Data centre of the daemon.
    pub data_centre: DataCentreId,
    /// Time that a call into another data centre takes in addition.
    pub hop: Millis,
    /// Seed of the core's random number generator.
    pub seed: u64,
}

impl CoreConfig {
    /// Returns the policy that the settings name.
    pub(crate) fn policy(&self, settings: &Settings) -> AnyPolicy {
        AnyPolicy::new(settings.policy.value, self.hop)
    }
}

/// Something that happened, as the shell reports it.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller's request arrived.
    Arrived(Arrival),
    /// A token of a stream was received.
    Token {
        /// Attempt it belongs to.
        attempt: AttemptId,
        /// Position of the token in the whole generation, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A caller left before its answer was complete.
    Left(RequestId),
    /// An endpoint's load report was received.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// The report.
        report: LoadReport,
    },
    /// An engine reported changes of its cache.
    Cache {
        /// The engine.
        endpoint: EndpointId,
        /// The changes.
        events: Vec<CacheEvent>,
    },
    /// A validated settings tree was received.
    Adopt(Arc<Tree>),
    /// The time that [`Core::next_timer`] gave has come.
    Tick,
}

/// An instruction to the shell.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a call to an endpoint.
    Send(Box<EndpointCall>),
    /// Cancel an attempt. Its end need not be reported.
    Cancel(AttemptId),
    /// Deliver a token to the caller.
    Token {
        /// Request it belongs to.
        request: RequestId,
        /// Position of the token in the whole generation, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Deliver the final answer to the caller.
    Finish {
        /// The request.
        request: RequestId,
        /// The answer, or the problem if the request failed or was refused.
        result: Result<Answer, Problem>,
    },
}

/// The decisions of one daemon.
#[derive(Debug)]
pub struct Core {
    pub(crate) config: CoreConfig,
    /// Settings tree in force.
    pub(crate) tree: Arc<Tree>,
    pub(crate) pools: Pools,
    /// Requests without a final answer.
    pub(crate) requests: HashMap<RequestId, Request>,
    /// Request that each attempt in flight belongs to.
    pub(crate) attempts: HashMap<AttemptId, RequestId>,
    pub(crate) shares: FairShares,
    pub(crate) customers: HashMap<CustomerId, CustomerUsage>,
    /// For each service, a pipeline of one stage that runs a direct call of it.
    pub(crate) service_pipelines: HashMap<ServiceId, Arc<Pipeline>>,
    pub(crate) timers: Timers,
    /// Id of the last attempt started; 0 before the first.
    pub(crate) last_attempt: u64,
    pub(crate) rng: SmallRng,
    pub(crate) costs: StageCosts,
    pub(crate) counters: Counters,
    /// Actions collected by the current step.
    pub(crate) actions: Vec<Action>,
}

impl Core {
    /// Creates a core without a settings tree: every request is refused until one is adopted.
    pub fn new(config: CoreConfig) -> Self {
        let rng = SmallRng::seed_from_u64(config.seed);
        Self {
            config,
            tree: Arc::default(),
            pools: Pools::default(),
            requests: HashMap::default(),
            attempts: HashMap::default(),
            shares: FairShares::default(),
            customers: HashMap::default(),
            service_pipelines: HashMap::default(),
            timers: Timers::default(),
            last_attempt: 0,
            rng,
            costs: StageCosts::default(),
            counters: Counters::default(),
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting actions, in order.
    ///
    /// `now` must not be earlier than in the previous step.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated, for example if a request arrives twice.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived(arrival) => self.arrive(now, arrival),
            Event::Token {
                attempt,
                index,
                text,
            } => self.token(now, attempt, index, text),
            Event::Ended { attempt, end } => self.ended(now, attempt, end),
            Event::Left(request) => self.left(now, request),
            Event::Load { endpoint, report } => self.pools.record_load(now, &endpoint, report),
            Event::Cache { endpoint, events } => self.pools.record_cache(now, &endpoint, &events),
            Event::Adopt(tree) => self.adopt(tree),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which the next timer is due; `None` if there is none.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns the settings tree in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the pools of endpoints.
    pub fn pools(&self) -> &Pools {
        &self.pools
    }

    /// Returns the endpoint time used, by pipeline and stage.
    pub fn costs(&self) -> &StageCosts {
        &self.costs
    }

    /// Returns the counts of requests and attempts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Puts a settings tree in force if it is newer than the current one.
    fn adopt(&mut self, tree: Arc<Tree>) {
        if tree.version <= self.tree.version {
            return;
        }
        self.pools.adopt(&tree, &self.config.data_centre);
        self.service_pipelines = tree
            .services
            .values()
            .map(|service| (service.id.clone(), Arc::new(Tree::service_call(service))))
            .collect();
        self.customers
            .retain(|id, usage| tree.customers.contains_key(id) || !usage.is_idle());
        self.tree = tree;
    }

    /// Admits a request that arrived and sends its first stage, or refuses it.
    pub(crate) fn arrive(&mut self, now: Time, arrival: Arrival) {
        let id = arrival.id;
        crate::invariant!(
            !self.requests.contains_key(&id),
            "request {id} arrived twice"
        );
        match self.admit(now, arrival) {
            Ok(request) => {
                self.timers.add(request.deadline, Timer::Deadline(id));
                self.requests.insert(id, request);
                self.send_next(now, id, AttemptKind::Regular);
            }
            Err(problem) => self.refuse(id, problem),
        }
    }

    fn tick(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Deadline(id) => self.deadline(now, id),
                Timer::Hedge(attempt) => self.hedge(now, attempt),
            }
        }
    }

    /// Returns new random bits, from which the shell makes ids.
    pub fn random_bits(&mut self) -> u128 {
        self.rng.random()
    }
}
