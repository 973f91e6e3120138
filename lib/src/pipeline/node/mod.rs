//! The shell around the core: turns sockets and timers into events, and actions into calls.

mod calls;
mod reports;
mod request_handle;
mod snapshot;
mod task_guard;

pub use {
    request_handle::{Delivery, RequestHandle},
    snapshot::{EndpointView, Snapshot},
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
            node::calls::Task,
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

    fn now(&self) -> Time {
        Time(self.shared.start.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, NodeState> {
        // A broken invariant leaves nothing to rely on, so the panic goes on to all users.
        self.shared.state.lock().expect("core is intact")
    }
}
