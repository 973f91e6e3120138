//! Forwarding of callers' own HTTP requests to endpoints, with the work that must come before.
//!
//! A [`Table`](table::Table) says which route a request takes, a
//! [`Directory`](directory::Directory) which endpoints there are, and a
//! [`Dialect`](dialect::Dialect) how requests and replies are spelled. Everything that decides is
//! here; an installation brings only those three translations.

mod accept;
pub mod admission;
mod attempt;
pub mod budget;
mod call;
pub mod catalogue;
pub mod contact;
mod coordination;
pub mod dialect;
pub mod directory;
pub mod egress;
pub mod event_stream;
pub mod fleet;
mod fleet_score;
pub mod follow;
pub mod forward;
mod headers;
pub mod ingress;
pub mod links;
mod listen;
pub mod load_sums;
pub mod metrics;
pub mod operator;
pub mod pause;
pub mod peer_message;
mod peer_record;
mod peer_sums;
pub mod peers;
pub mod planning;
pub mod progress;
pub mod relay;
mod release;
pub mod reply;
mod reply_stream;
pub mod server;
pub mod settings;
mod stage_admit;
pub mod stage_batch;
pub mod stage_calls;
pub mod stage_chain;
pub mod stage_job;
mod stage_order;
pub mod stage_owner;
mod stage_worker;
pub mod state;
pub mod table;
mod work_claim;
pub mod workload;
