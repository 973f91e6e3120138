//! The decisions of one daemon, as a pure state machine: [`Core::step`] gets the time and one
//! event, and returns the actions to carry out, in order.
//!
//! In go [`Event`]s: requests that arrive or are abandoned, tokens and ends of attempts, load
//! reports and cache events of endpoints, settings trees, and due timers. Out come [`Action`]s:
//! calls to send or cancel, tokens and final answers to deliver. The shell carries them out in
//! their order, sends a tick when [`Core::next_timer`] is due, and reports the end of each attempt
//! that wasn't cancelled.
//!
//! The core owns all requests, attempts and pools, and the only source of random numbers, seeded
//! once: the same events at the same times give the same actions. Each request gets one final
//! answer. This module holds the life of a request; `admit`, `send`, [`attempt`](super::attempt)
//! and `finish` extend it.

use {
    crate::{
        pipeline::decision::{
            counters::Counters,
            endpoint::{AttemptEnd, EndpointCall, LoadReport},
            fair::FairShares,
            limit::CustomerUse,
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

/// Place and seed of a daemon.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Cost of a call into another data centre.
    pub hop: Millis,
    /// Seed of its random choices.
    pub seed: u64,
}

impl CoreConfig {
    /// Returns the policy that settings name.
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
        /// Its position in the whole generation.
        index: u32,
        /// Its text.
        text: String,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Its end.
        end: AttemptEnd,
    },
    /// A caller left before its answer.
    Left(RequestId),
    /// An endpoint's load report was received.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its report.
        report: LoadReport,
    },
    /// An engine reported changes of its cache.
    Cache {
        /// The engine.
        endpoint: EndpointId,
        /// The changes.
        events: Vec<CacheEvent>,
    },
    /// A checked tree was received.
    Adopt(Arc<Tree>),
    /// A timer is due.
    Tick,
}

/// Something that the shell has to carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a call.
    Send(Box<EndpointCall>),
    /// Stop an attempt; its end is no longer of interest.
    Cancel(AttemptId),
    /// Pass a token on to the caller.
    Token {
        /// Request it belongs to.
        request: RequestId,
        /// Its position.
        index: u32,
        /// Its text.
        text: String,
    },
    /// Give the caller its final answer.
    Finish {
        /// The request.
        request: RequestId,
        /// The answer, or the problem that there is instead.
        result: Result<Answer, Problem>,
    },
}

/// The decisions of one daemon.
#[derive(Debug)]
pub struct Core {
    pub(crate) config: CoreConfig,
    /// Tree in force.
    pub(crate) tree: Arc<Tree>,
    pub(crate) pools: Pools,
    /// Requests without a final answer.
    pub(crate) requests: HashMap<RequestId, Request>,
    /// Request of each attempt in flight.
    pub(crate) attempts: HashMap<AttemptId, RequestId>,
    pub(crate) shares: FairShares,
    pub(crate) customers: HashMap<CustomerId, CustomerUse>,
    /// Pipelines of one stage that plain calls of services amount to.
    pub(crate) services: HashMap<ServiceId, Arc<Pipeline>>,
    pub(crate) timers: Timers,
    /// Number of the last attempt.
    pub(crate) last_attempt: u64,
    pub(crate) rng: SmallRng,
    pub(crate) costs: StageCosts,
    pub(crate) counters: Counters,
    /// Actions of the step that is running.
    pub(crate) actions: Vec<Action>,
}

impl Core {
    /// Starts without a tree: every request is refused until one is adopted.
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
            services: HashMap::default(),
            timers: Timers::default(),
            last_attempt: 0,
            rng,
            costs: StageCosts::default(),
            counters: Counters::default(),
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions that follow from it, in order.
    ///
    /// `now` never goes back from one step to the next.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken, for instance when a request arrives twice.
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
            Event::Load { endpoint, report } => self.pools.load(now, &endpoint, report),
            Event::Cache { endpoint, events } => self.pools.cache(now, &endpoint, &events),
            Event::Adopt(tree) => self.adopt(tree),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when the next timer is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns the tree in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the endpoints as this daemon sees them.
    pub fn pools(&self) -> &Pools {
        &self.pools
    }

    /// Returns the endpoint time spent by pipeline and stage.
    pub fn costs(&self) -> &StageCosts {
        &self.costs
    }

    /// Returns counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Puts a tree in force, unless it isn't newer than the one that is.
    fn adopt(&mut self, tree: Arc<Tree>) {
        if tree.version <= self.tree.version {
            return;
        }
        self.pools.adopt(&tree, &self.config.data_centre);
        self.services = tree
            .services
            .values()
            .map(|service| (service.id.clone(), Arc::new(Tree::service_call(service))))
            .collect();
        self.customers
            .retain(|id, used| tree.customers.contains_key(id) || !used.is_idle());
        self.tree = tree;
    }

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
                self.send_next(now, id, AttemptKind::Next);
            }
            Err(problem) => self.finish_unstarted(id, problem),
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

    /// Returns fresh random bits, for ids.
    pub fn random_bits(&mut self) -> u128 {
        self.rng.random()
    }
}
