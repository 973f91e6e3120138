//! The stages that run before a request, as pieces in batches over all daemons.
//!
//! `chain` runs the stages of one request; `handover` gives the job of each stage to the coordinator
//! of its service. There, `queues` holds one `batch_queue` a service, `batch_plan` composes calls of
//! pieces from it, `call_runner` sends them, and `batch_results` applies how they end.

mod batch_plan;
mod batch_results;
mod endpoint_post;
mod handover;
mod job_state;
mod local_job;
mod plan_round;
mod worker;
mod workers;

pub mod batch_call;
pub mod batch_queue;
pub mod call_runner;
pub mod chain;
pub mod chain_request;
pub mod job;
pub mod queues;
pub(crate) mod release;
pub mod stage_results;
pub(crate) mod work_claim;
pub mod workload;
