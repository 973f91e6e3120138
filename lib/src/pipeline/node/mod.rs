//! The shell around the decision core: turns requests, timers and endpoints' replies into events, and
//! the core's actions into calls and deliveries.
//!
//! Owns the core with its lock, the clock, the tasks of the calls in flight and the channels to the
//! callers; decides nothing itself. Relies on `decision::core` for the decisions, on a
//! [`Transport`] for the calls and on Tokio for tasks and timers.

mod calls;
mod reports;
mod request_handle;
mod snapshot;
mod task_guard;

pub use {
    request_handle::{Delivery, RequestHandle},
    snapshot::{EndpointView, Snapshot, StageCostView},
    task_guard::{TaskGuard, spawn_guarded},
};

use {
    crate::{
        pipeline::{
            decision::{
                core::{Action, Core, CoreConfig, Event},
                endpoint::Transport,
                request::Arrival,
            },
            node::calls::CallTask,
            trace::Tracing,
        },
        settings::tree::Tree,
        shared::{
            ids::{AttemptId, RequestId},
            units::Time,
        },
    },
    foldhash::HashMap,
    std::sync::{Arc, Mutex, MutexGuard},
    tokio::{
        sync::{Notify, mpsc},
        time::Instant,
    },
};

/// One daemon's decision core together with the code that carries out its actions. Clones share the
/// same core.
#[derive(Debug)]
pub struct Node<T> {
    inner: Arc<NodeInner<T>>,
}

impl<T> Clone for Node<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

#[derive(Debug)]
struct NodeInner<T> {
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
    calls: HashMap<AttemptId, CallTask>,
}

impl<T: Transport> Node<T> {
    /// Builds a node without a tree, so that it refuses every request until one is adopted.
    pub fn new(config: CoreConfig, transport: T, tracing: Tracing) -> Self {
        let state = NodeState {
            core: Core::new(config),
            callers: HashMap::default(),
            calls: HashMap::default(),
        };
        Self {
            inner: Arc::new(NodeInner {
                state: Mutex::new(state),
                transport,
                start: Instant::now(),
                timer_changed: Notify::new(),
                tracing,
            }),
        }
    }

    /// Returns the tracing that the node's spans go to.
    pub fn tracing(&self) -> &Tracing {
        &self.inner.tracing
    }

    /// Returns fresh random bits, for a request's id.
    pub fn random_bits(&self) -> u128 {
        self.lock().core.random_bits()
    }

    /// Submits a request; its deliveries come by the returned handle.
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

    /// Removes a caller that left before its final answer, for which the core finishes nothing, and
    /// reports it to the core.
    fn caller_left(&self, id: RequestId) {
        let mut state = self.lock();
        state.callers.remove(&id);
        self.step(&mut state, Event::Left(id));
    }

    /// Returns the number of callers that wait for deliveries, for reports and tests.
    pub fn waiting_callers(&self) -> usize {
        self.lock().callers.len()
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

    /// Fires the core's timers until the task that awaits this is dropped.
    pub async fn run_timers(self) {
        loop {
            let next = self.lock().core.next_timer();
            let changed = self.inner.timer_changed.notified();
            match next {
                None => changed.await,
                Some(due) => {
                    // The core's clock starts at zero together with the node.
                    let due = self.inner.start + Time::since(due, Time::default());
                    tokio::select! {
                        () = tokio::time::sleep_until(due) => self.apply(Event::Tick),
                        () = changed => {}
                    }
                }
            }
        }
    }

    /// Applies one event to the core and carries out the actions that follow.
    fn apply(&self, event: Event) {
        let mut state = self.lock();
        self.step(&mut state, event);
    }

    /// Like [`Self::apply`], with the lock held: actions are carried out under it, so that a cancel
    /// can't overtake its send.
    fn step(&self, state: &mut NodeState, event: Event) {
        let before = state.core.next_timer();
        let actions = state.core.step(self.now(), event);
        for action in actions {
            self.perform(state, action);
        }
        let after = state.core.next_timer();
        if after.is_some() && (before.is_none() || after < before) {
            self.inner.timer_changed.notify_one();
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
                    // Fails only if the handle was dropped, which reports that itself.
                    let _ = caller.send(Delivery::Token { index, text });
                }
            }
            Action::Finish { request, result } => {
                if let Some(caller) = state.callers.remove(&request) {
                    // As above: nobody waits any more.
                    let _ = caller.send(Delivery::Finished(result));
                }
            }
        }
    }

    /// Returns the core's time: microseconds since the node's start.
    fn now(&self) -> Time {
        Time(self.inner.start.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, NodeState> {
        // A panic under the lock means a broken invariant: no later decision could be trusted, so
        // every user panics too.
        self.inner.state.lock().expect("core is intact")
    }
}
