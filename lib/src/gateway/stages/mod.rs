//! Runs the stages that come before a request, in batches over all daemons.

mod batch_plan;
mod batch_results;
mod endpoint_post;
mod job_state;
mod local_job;
mod worker;
mod workers;

pub mod batch_call;
pub mod batch_queue;
pub mod call_runner;
pub mod chain;
pub mod job;
pub mod queues;
pub(crate) mod release;
pub(crate) mod work_claim;
pub mod workload;
