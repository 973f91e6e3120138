//! Runs the stages that a request needs before it is sent to an endpoint.
//!
//! A stage consists of independent pieces of work for one service; all pieces of one stage of one request are a
//! job. One daemon, the coordinator of the service, batches the pieces of all daemons' jobs into calls of endpoints.
//!
//! `chain` runs the stages of one request; `handover` sends the job of each stage to the coordinator of its
//! service. On the coordinator, `queues` holds one `batch_queue` per service, `call_scheduling` builds calls from the
//! waiting pieces, `call_runner` sends them, and `batch_results` applies their outcomes. `overload` and
//! `tight_request` hold what only the stages of tight routes need.

mod batch_results;
mod call_choice;
mod call_scheduling;
mod endpoint_post;
mod handover;
mod job_state;
mod local_job;
mod overload;
mod scheduling_round;
mod waiting_jobs;
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
pub(crate) mod tight_request;
pub(crate) mod work_claim;
pub mod workload;
