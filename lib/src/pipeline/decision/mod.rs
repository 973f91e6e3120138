//! The decisions of the pipeline daemon: a pure state machine without clock, sockets, logging or tasks.
//!
//! [`core`] takes events and returns actions. The shell (`pipeline::node`) turns socket input and timers into
//! events, and carries out the actions as calls. Each rule has a module of its own, which begins with the question
//! that it answers:
//!
//! | question | module |
//! | --- | --- |
//! | can a request still be finished in time? | [`admission`] |
//! | is a customer within its limits? | [`limit`] |
//! | which customers are refused first? | [`fair`] |
//! | when may a refused caller try again? | [`retry_after`] |
//! | which endpoint gets a call? | [`policy_estimated`], [`policy_naive`] |
//! | when would an endpoint finish a call? | [`estimate`] |
//! | how much endpoint time does a call cost? | [`call_costs`] |
//! | which engines have the start of a prompt in their cache? | [`prefix`] |
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
