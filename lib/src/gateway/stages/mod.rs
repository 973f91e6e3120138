//! Runs the stages that come before a request, in batches over all daemons.

pub mod batch_call;
pub mod batch_queue;
pub mod chain;
pub mod job;
pub mod planner;
pub mod queues;
pub(crate) mod release;
pub(crate) mod work_claim;
pub(crate) mod worker;
pub mod workload;
