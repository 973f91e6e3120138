//! The queues of all services that this daemon plans for, and who waits for their jobs.

use {
    crate::{
        gateway::{
            peers::message::QueueNote,
            routing::{endpoint_state::service_hash, endpoint_states::EndpointStates},
            rules::retry_budget::{BudgetLimits, WindowBudget},
            stages::{
                batch_call::{BatchCall, CallEnd},
                batch_queue::BatchQueue,
                job::{JobEnd, JobId, ResultHandle, StageJob},
            },
            table::{BatchLimits, Table},
        },
        shared::{ids::ServiceId, units::Time},
    },
    foldhash::{HashMap, HashSet},
    std::{collections::BTreeMap, net::SocketAddr},
    tokio::sync::oneshot,
};

/// The queues of the services whose endpoints run pieces.
#[derive(Debug, Default)]
pub struct Planning {
    queues: BTreeMap<ServiceId, BatchQueue>,
    pub(crate) limits: BTreeMap<ServiceId, BatchLimits>,
    waiters: HashMap<JobId, oneshot::Sender<JobEnd>>,
    services: HashMap<JobId, ServiceId>,
    releases: HashMap<ServiceId, Vec<ResultHandle>>,
    last_job: u64,
}

impl Planning {
    /// Takes in which services run pieces.
    pub fn set_services(&mut self, table: &Table) {
        self.limits = table
            .services()
            .filter_map(|service| Some((service.id.clone(), service.batch?)))
            .collect();
        let limits = &self.limits;
        self.queues
            .retain(|id, queue| limits.contains_key(id) || queue.jobs() > 0);
    }

    /// Takes in which endpoints may be called.
    pub fn sync(&mut self, endpoints: &EndpointStates, budget: BudgetLimits, daemons: usize) {
        for (service, limits) in &self.limits {
            let queue = self.queues.entry(service.clone()).or_insert_with(|| {
                BatchQueue::new(*limits, WindowBudget::new(budget, Time::default()))
            });
            queue.set_limits(*limits, daemons);
            let open: Vec<_> = endpoints
                .service(service)
                .filter(|member| member.is_open())
                .map(|member| member.entry.clone())
                .collect();
            queue.set_endpoints(&open);
        }
    }

    /// Returns what others should know of the services that are `mine` to plan for, or that have
    /// jobs in hand; `total` tells the pieces that all daemons have taken on.
    pub fn notes(
        &self,
        now: Time,
        mine: impl Fn(&ServiceId) -> bool,
        total: impl Fn(&ServiceId) -> u32,
    ) -> Vec<QueueNote> {
        self.queues
            .iter()
            .filter(|(id, queue)| queue.jobs() > 0 || mine(id))
            .map(|(id, queue)| {
                let endpoints = queue.available_workers(now) as u32;
                let short = queue.is_short_of_room(now);
                QueueNote(service_hash(id), endpoints, short, total(id))
            })
            .collect()
    }

    pub(crate) fn is_short_of_room(&self, now: Time, service: &ServiceId) -> bool {
        let queue = self.queues.get(service);
        queue.is_some_and(|queue| queue.is_short_of_room(now))
    }

    /// Returns the endpoints of a service that take calls, if this daemon has jobs for it in hand.
    pub fn available_endpoints(&self, now: Time, service: &ServiceId) -> Option<usize> {
        let queue = self.queues.get(service)?;
        (queue.jobs() > 0).then(|| queue.available_workers(now))
    }

    /// Returns the number of jobs in hand.
    pub fn jobs(&self) -> usize {
        self.services.len()
    }

    pub(crate) fn add(
        &mut self,
        now: Time,
        service: &ServiceId,
        job: StageJob,
    ) -> Option<JobTicket> {
        let queue = self.queues.get_mut(service)?;
        self.last_job += 1;
        let id = JobId(self.last_job);
        queue.add(now, id, job);
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(id, sender);
        self.services.insert(id, service.clone());
        Some(JobTicket { id, receiver })
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        self.waiters.remove(&id);
        if let Some(service) = self.services.remove(&id)
            && let Some(queue) = self.queues.get_mut(&service)
        {
            queue.cancel(id);
        }
    }

    /// Notes results that are no longer needed.
    pub fn release(&mut self, service: &ServiceId, handles: Vec<ResultHandle>) {
        let gathered = self.releases.entry(service.clone()).or_default();
        gathered.extend(handles);
    }

    /// Notes that an endpoint dropped results, so that it has room again.
    pub(crate) fn released(&mut self, service: &ServiceId, handles: &[ResultHandle]) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.released(handles);
        }
    }

    pub(crate) fn plan(&mut self, now: Time) -> Vec<(ServiceId, BatchCall)> {
        let mut calls = Vec::new();
        for (service, queue) in &mut self.queues {
            let planned = queue.plan(now);
            calls.extend(planned.into_iter().map(|call| (service.clone(), call)));
        }
        self.settle();
        calls
    }

    /// Tells the ends of jobs to those who wait for them.
    fn settle(&mut self) {
        for (service, queue) in &mut self.queues {
            for (id, end) in queue.take_ended() {
                self.services.remove(&id);
                let unheard = match self.waiters.remove(&id) {
                    Some(waiter) => waiter.send(end).err(),
                    None => Some(end),
                };
                if let Some(JobEnd::Completed(handles)) = unheard {
                    self.releases
                        .entry(service.clone())
                        .or_default()
                        .extend(handles);
                }
            }
            let surplus = queue.take_surplus();
            if !surplus.is_empty() {
                self.releases
                    .entry(service.clone())
                    .or_default()
                    .extend(surplus);
            }
        }
    }

    /// Returns inputs that endpoints have fetched and whose makers are short of room.
    pub(crate) fn take_fetched(
        &mut self,
        now: Time,
        short: &HashSet<SocketAddr>,
    ) -> Vec<ResultHandle> {
        let is_short =
            |handle: &ResultHandle| handle.address().is_some_and(|at| short.contains(&at));
        self.queues
            .values_mut()
            .flat_map(|queue| queue.take_fetched(now, is_short))
            .collect()
    }

    pub(crate) fn call_ended(&mut self, now: Time, service: &ServiceId, id: u64, end: CallEnd) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.call_ended(now, id, end);
        }
        self.settle();
    }

    pub(crate) fn take_releases(&mut self) -> HashMap<ServiceId, Vec<ResultHandle>> {
        std::mem::take(&mut self.releases)
    }
}

/// A job in the hands of this daemon's planner.
#[derive(Debug)]
pub struct JobTicket {
    /// Its id.
    pub id: JobId,
    /// Its end.
    pub receiver: oneshot::Receiver<JobEnd>,
}
