//! The shell around the core: turns sockets and timers into events, and actions into calls.

use {
    crate::{
        pipeline::{
            decision::{
                core::{Action, Core, CoreConfig, Event},
                counters::Counters,
                endpoint::{AttemptEnd, EndpointCall, TokenSink, Transport},
                member::PoolMember,
                pool::Pool,
                request::{Answer, Arrival},
                stage_costs::StageCost,
            },
            trace::Tracing,
        },
        settings::tree::{EndpointSpec, ServiceKind, Tree},
        shared::{
            ids::{AttemptId, EndpointId, PipelineId, RequestId, StageId},
            problem::Problem,
            units::{Millis, Time},
        },
    },
    foldhash::HashMap,
    opentelemetry::trace::SpanKind,
    std::{
        future::Future,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::{
        sync::{Notify, mpsc},
        task::AbortHandle,
        time::Instant,
    },
};

/// What a caller's handler receives.
#[derive(Debug, Clone, PartialEq)]
pub enum Delivery {
    /// One token of a streamed answer.
    Token {
        /// Its position.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The final answer; nothing follows.
    Finished(Result<Answer, Problem>),
}

/// One daemon's decisions with what carries them out. Clones share the same daemon.
#[derive(Debug)]
pub struct Node<T> {
    shared: Arc<Shared<T>>,
}

impl<T> Clone for Node<T> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

#[derive(Debug)]
struct Shared<T> {
    state: Mutex<NodeState>,
    transport: T,
    start: Instant,
    timer_changed: Notify,
    tracing: Tracing,
}

#[derive(Debug)]
struct NodeState {
    core: Core,
    callers: HashMap<RequestId, mpsc::UnboundedSender<Delivery>>,
    tasks: HashMap<AttemptId, Task>,
}

#[derive(Debug)]
struct Task {
    abort: AbortHandle,
    call: EndpointCall,
}

/// A caller's hold on its request; dropping it tells the daemon that the caller has left.
#[derive(Debug)]
pub struct RequestHandle<T: Transport> {
    node: Node<T>,
    id: RequestId,
    deliveries: mpsc::UnboundedReceiver<Delivery>,
    finished: bool,
}

impl<T: Transport> RequestHandle<T> {
    /// Waits for the next delivery; none after the final one.
    pub async fn next(&mut self) -> Option<Delivery> {
        if self.finished {
            return None;
        }
        let delivery = self.deliveries.recv().await?;
        self.finished = matches!(delivery, Delivery::Finished(_));
        Some(delivery)
    }

    /// Waits for the final answer and passes over tokens.
    pub async fn finish(mut self) -> Option<Result<Answer, Problem>> {
        while let Some(delivery) = self.next().await {
            if let Delivery::Finished(result) = delivery {
                return Some(result);
            }
        }
        None
    }
}

impl<T: Transport> Drop for RequestHandle<T> {
    fn drop(&mut self) {
        if !self.finished {
            self.node.apply(Event::Left(self.id));
        }
    }
}

/// Passes tokens from a call's task to the core.
struct Tokens<T: Transport> {
    node: Node<T>,
    attempt: AttemptId,
}

impl<T: Transport> TokenSink for Tokens<T> {
    fn token(&mut self, index: u32, text: String) {
        self.node.apply(Event::Token {
            attempt: self.attempt,
            index,
            text,
        });
    }
}

/// A daemon's state for reports, taken at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The tree in force.
    pub tree: Arc<Tree>,
    /// Requests without a final answer.
    pub in_flight: usize,
    /// Counts since the start.
    pub counters: Counters,
    /// Cost of each stage since the start.
    pub costs: Vec<(PipelineId, StageId, StageCost)>,
    /// Endpoints as this daemon sees them.
    pub endpoints: Vec<EndpointView>,
}

/// One endpoint for reports.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Its service.
    pub service: String,
    /// Its name.
    pub endpoint: String,
    /// Whether it may get new work.
    pub open: bool,
    /// Own calls in flight.
    pub in_flight: u32,
}

impl<T: Transport> Node<T> {
    /// Builds a daemon without a tree.
    pub fn new(config: CoreConfig, transport: T, tracing: Tracing) -> Self {
        let state = NodeState {
            core: Core::new(config),
            callers: HashMap::default(),
            tasks: HashMap::default(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                transport,
                start: Instant::now(),
                timer_changed: Notify::new(),
                tracing,
            }),
        }
    }

    /// Returns the starter of spans.
    pub fn tracing(&self) -> &Tracing {
        &self.shared.tracing
    }

    /// Returns fresh random bits, for a request's id.
    pub fn random_bits(&self) -> u128 {
        self.lock().core.random_bits()
    }

    /// Hands in a request.
    pub fn submit(&self, arrival: Arrival) -> RequestHandle<T> {
        let id = arrival.id;
        let (sender, deliveries) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.callers.insert(id, sender);
        self.step(&mut state, Event::Arrived(arrival));
        drop(state);
        RequestHandle {
            node: self.clone(),
            id,
            deliveries,
            finished: false,
        }
    }

    /// Puts a checked tree in force.
    pub fn adopt(&self, tree: Arc<Tree>) {
        self.apply(Event::Adopt(tree));
    }

    /// Returns the tree in force.
    pub fn tree(&self) -> Arc<Tree> {
        self.lock().core.tree().clone()
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.lock().core.in_flight()
    }

    /// Takes a view of the state for reports.
    pub fn snapshot(&self) -> Snapshot {
        let now = self.now();
        let state = self.lock();
        let core = &state.core;
        let costs = core
            .costs()
            .stages()
            .map(|(pipeline, stage, cost)| (pipeline.clone(), stage.clone(), cost))
            .collect();
        let view = |pool: &Pool, member: &PoolMember| EndpointView {
            service: pool.service.id.to_string(),
            endpoint: member.spec.id.to_string(),
            open: member.is_open(now),
            in_flight: member.load.in_flight(),
        };
        let mut endpoints: Vec<_> = core
            .pools()
            .iter()
            .flat_map(|pool| pool.members.iter().map(move |member| view(pool, member)))
            .collect();
        endpoints.sort_by(|a, b| (&a.service, &a.endpoint).cmp(&(&b.service, &b.endpoint)));
        Snapshot {
            tree: core.tree().clone(),
            in_flight: core.in_flight(),
            counters: core.counters().clone(),
            costs,
            endpoints,
        }
    }

    /// Runs the timers until the task that awaits this is dropped.
    pub async fn run_timers(self) {
        loop {
            let next = self.lock().core.next_timer();
            let changed = self.shared.timer_changed.notified();
            match next {
                None => changed.await,
                Some(due) => {
                    let due = self.shared.start + Time::since(due, Time::default());
                    tokio::select! {
                        () = tokio::time::sleep_until(due) => self.apply(Event::Tick),
                        () = changed => {}
                    }
                }
            }
        }
    }

    /// Reads all endpoints' load reports, and engines' cache events, again and again.
    pub async fn run_reports(self, interval: Millis) {
        let mut ticks = tokio::time::interval(interval.to_duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut seen: HashMap<EndpointId, u64> = HashMap::default();
        loop {
            ticks.tick().await;
            let tree = self.tree();
            let specs = tree.services.values().flat_map(|service| {
                let kind = &service.kind;
                service.endpoints.iter().map(move |spec| (spec, kind))
            });
            let reads = specs.map(|(spec, kind)| {
                let after = seen.get(&spec.id).copied().unwrap_or(0);
                self.read_reports(spec, kind, after)
            });
            let read = futures_util::future::join_all(reads).await;
            seen = read.into_iter().flatten().collect();
        }
    }

    /// Reads one endpoint's reports; returns from which number on its cache events come next.
    async fn read_reports(
        &self,
        spec: &EndpointSpec,
        kind: &ServiceKind,
        after: u64,
    ) -> Option<(EndpointId, u64)> {
        let transport = &self.shared.transport;
        if let Some(report) = transport.load(spec.address, kind).await {
            let endpoint = spec.id.clone();
            self.apply(Event::Load { endpoint, report });
        }
        if *kind == ServiceKind::Plain {
            return None;
        }
        let Some(changes) = transport.cache_events(spec.address, after).await else {
            return Some((spec.id.clone(), after));
        };
        let endpoint = spec.id.clone();
        let events = changes.events;
        self.apply(Event::Cache { endpoint, events });
        Some((spec.id.clone(), changes.next))
    }

    /// Takes in one event and carries out what follows from it.
    fn apply(&self, event: Event) {
        let mut state = self.lock();
        self.step(&mut state, event);
    }

    /// Actions are carried out under the lock, so that a cancel can't overtake its send.
    fn step(&self, state: &mut NodeState, event: Event) {
        let before = state.core.next_timer();
        let actions = state.core.step(self.now(), event);
        for action in actions {
            self.perform(state, action);
        }
        let after = state.core.next_timer();
        if after.is_some() && (before.is_none() || after < before) {
            self.shared.timer_changed.notify_one();
        }
    }

    fn perform(&self, state: &mut NodeState, action: Action) {
        match action {
            Action::Send(call) => self.spawn_call(state, *call),
            Action::Cancel(attempt) => self.cancel_call(state, attempt),
            Action::Token {
                request,
                index,
                text,
            } => {
                if let Some(caller) = state.callers.get(&request) {
                    // A caller that has left is reported by its ticket.
                    let _ = caller.send(Delivery::Token { index, text });
                }
            }
            Action::Finish { request, result } => {
                if let Some(caller) = state.callers.remove(&request) {
                    let _ = caller.send(Delivery::Finished(result));
                }
            }
        }
    }

    fn spawn_call(&self, state: &mut NodeState, mut call: EndpointCall) {
        let attempt = call.ids.attempt;
        let parent = call.trace_parent.as_deref();
        let mut hop = self.tracing().hop("attempt", SpanKind::Client, parent);
        hop.set("request", call.ids.request);
        hop.set("stage", &call.ids.stage);
        hop.set("endpoint", &call.endpoint);
        call.trace_parent = hop.trace_parent();
        let remembered = call.clone();
        let node = self.clone();
        let task = async move {
            let sink = Tokens {
                node: node.clone(),
                attempt,
            };
            let end = node.shared.transport.call(call, sink).await;
            hop.set("end", describe(&end));
            drop(hop);
            let mut state = node.lock();
            state.tasks.remove(&attempt);
            node.step(&mut state, Event::Ended { attempt, end });
        };
        let abort = tokio::spawn(task).abort_handle();
        let task = Task {
            abort,
            call: remembered,
        };
        state.tasks.insert(attempt, task);
    }

    fn cancel_call(&self, state: &mut NodeState, attempt: AttemptId) {
        let Some(task) = state.tasks.remove(&attempt) else {
            return;
        };
        task.abort.abort();
        if matches!(task.call.kind, ServiceKind::Engine { .. }) {
            let transport = self.shared.transport.clone();
            tokio::spawn(async move { transport.cancel(task.call).await });
        }
    }

    fn now(&self) -> Time {
        Time(self.shared.start.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, NodeState> {
        // A broken invariant leaves nothing to rely on, so the panic goes on to all users.
        self.shared.state.lock().expect("core is intact")
    }
}

fn describe(end: &AttemptEnd) -> String {
    match end {
        AttemptEnd::Answered(reply) => format!("answered {}", reply.status),
        AttemptEnd::StreamEnded { tokens, .. } => format!("streamed {tokens}"),
        AttemptEnd::NotRun(cause) => format!("not run: {cause}"),
        AttemptEnd::Failed(cause) => format!("failed: {cause}"),
    }
}

/// Starts a task that ends together with the returned guard.
pub fn spawn_guarded(task: impl Future<Output = ()> + Send + 'static) -> TaskGuard {
    TaskGuard(tokio::spawn(task).abort_handle())
}

/// Ends its task when it is dropped.
#[derive(Debug)]
pub struct TaskGuard(AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
