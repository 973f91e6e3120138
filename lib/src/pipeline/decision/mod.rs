//! The pipeline daemon's decisions: a pure state machine without clock, socket, log or task.
//!
//! [`core`] takes events and returns actions; the shell (`pipeline::node`) turns sockets and timers
//! into events, and actions into calls. The rules stand in modules of their own, each of which
//! begins with the question that it answers:
//!
//! | question | module |
//! | --- | --- |
//! | can a request still be finished in time? | [`admission`] |
//! | is a customer within its limits? | [`limit`] |
//! | which customers are refused first? | [`fair`] |
//! | when may a refused caller come back? | [`retry_after`] |
//! | which endpoint gets a call? | [`policy_estimated`], [`policy_naive`] |
//! | when would an endpoint finish a call? | [`estimate`] |
//! | how much endpoint time does a call cost? | [`call_costs`] |
//! | which engines hold a prompt's beginning? | [`prefix`] |
//! | may a stage be sent again, or hedged? | [`retry`] |
//! | may an endpoint get work after failures? | [`health`](crate::shared::health) |

pub mod admission;
pub(crate) mod admit;
pub mod attempt;
pub mod average;
pub mod call_costs;
pub mod core;
pub mod counters;
pub mod endpoint;
pub mod estimate;
pub mod fair;
mod finish;
pub mod limit;
pub mod member;
pub mod policy;
pub mod policy_choice;
pub mod policy_estimated;
pub mod policy_naive;
pub mod pool;
pub mod pools;
pub mod prefix;
pub mod request;
pub mod retry;
pub mod retry_after;
mod send;
pub mod stage_costs;
pub mod timers;
