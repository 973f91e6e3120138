//! Runs the decision core: turns requests, timers and endpoints' replies into events for the core, and carries out
//! the actions that the core returns.
//!
//! Holds the core behind a lock, the clock, the tasks of the calls in flight and the channels to the callers. All
//! decisions are made in `decision::core`. A [`Transport`] sends the calls; Tokio runs tasks and timers.

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

/// A daemon's decision core, with what is needed to carry out its actions. Clones share the same core.
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
    /// Builds a node without a settings tree. It refuses every request until a tree is adopted.
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

    /// Returns the tracing that starts the node's spans.
    pub fn tracing(&self) -> &Tracing {
        &self.inner.tracing
    }

    /// Returns new random bits, from which a request's id is made.
    pub fn random_bits(&self) -> u128 {
        self.lock().core.random_bits()
    }

    /// Submits a request. Its deliveries are received through the returned handle.
    pub fn submit(&self, arrival: Arrival) -> RequestHandle<T> {
        let id = arrival.id;
        let (sender, deliveries) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.callers.insert(id, sender);
        self.apply_locked(&mut state, Event::Arrived(arrival));
        drop(state);
        RequestHandle {
            node: self.clone(),
            id,
            deliveries,
            finished: false,
        }
    }

    /// Removes a caller that left before its final answer, and reports this to the core. The core sends no
    /// [`Action::Finish`] for such a request, so the entry has to be removed here.
    fn caller_left(&self, id: RequestId) {
        let mut state = self.lock();
        state.callers.remove(&id);
        self.apply_locked(&mut state, Event::Left(id));
    }

    /// Returns the number of callers whose final answer hasn't been delivered.
    pub fn waiting_callers(&self) -> usize {
        self.lock().callers.len()
    }

    /// Puts a checked settings tree in force, if it is newer than the current one.
    pub fn adopt(&self, tree: Arc<Tree>) {
        self.apply(Event::Adopt(tree));
    }

    /// Returns the current settings tree.
    pub fn tree(&self) -> Arc<Tree> {
        self.lock().core.tree().clone()
    }

    /// Returns the number of requests without a final answer.
    pub fn in_flight(&self) -> usize {
        self.lock().core.in_flight()
    }

    /// Sends the core a tick whenever one of its timers is due. Runs until the task that awaits this is dropped.
    pub async fn run_timers(self) {
        loop {
            let next = self.lock().core.next_timer();
            let changed = self.inner.timer_changed.notified();
            match next {
                None => changed.await,
                Some(due) => {
                    // The core's time is zero at the node's start.
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
        self.apply_locked(&mut state, event);
    }

    /// Does the same as [`Self::apply`] for a caller that holds the lock. Actions are carried out under the lock, so
    /// that a cancellation can't overtake the send of the same call.
    fn apply_locked(&self, state: &mut NodeState, event: Event) {
        let before = state.core.next_timer();
        let actions = state.core.step(self.now(), event);
        for action in actions {
            self.run_action(state, action);
        }
        let after = state.core.next_timer();
        if after.is_some() && (before.is_none() || after < before) {
            self.inner.timer_changed.notify_one();
        }
    }

    fn run_action(&self, state: &mut NodeState, action: Action) {
        match action {
            Action::Send(call) => self.spawn_call(state, *call),
            Action::Cancel(attempt) => self.cancel_call(state, attempt),
            Action::Token {
                request,
                index,
                text,
            } => {
                if let Some(caller) = state.callers.get(&request) {
                    // Fails only if the handle was dropped; dropping it reports that the caller has left.
                    let _ = caller.send(Delivery::Token { index, text });
                }
            }
            Action::Finish { request, result } => {
                if let Some(caller) = state.callers.remove(&request) {
                    // Fails only if the handle was dropped, as above.
                    let _ = caller.send(Delivery::Finished(result));
                }
            }
        }
    }

    /// Returns the time for the core: microseconds since the node's start.
    fn now(&self) -> Time {
        Time(self.inner.start.elapsed().as_micros() as u64)
    }

    /// Returns whether the core can decide: false after a panic in it.
    pub fn is_sound(&self) -> bool {
        !self.inner.state.is_poisoned()
    }

    fn lock(&self) -> MutexGuard<'_, NodeState> {
        // A panic under the lock may have left the core in an inconsistent state. Its decisions can't be relied
        // on after that, so every later user panics as well.
        self.inner
            .state
            .lock()
            .expect("no thread panicked while it held the core's lock")
    }
}
