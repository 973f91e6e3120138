//! Communication between daemons: heartbeats in datagrams, requests on links, and this daemon's view of the others.
//!
//! There is no leader and no shared store: each daemon keeps its own view, built from the heartbeats that
//! it receives and the gossip in them. [`membership`] holds this view. The tasks [`heartbeats`], [`receive`],
//! [`catch_up`] and [`table_fetch`] keep it, the endpoint list and the table up to date. [`links`] and
//! [`link_server`] are the two ends of a link. [`message`] defines the messages, and [`notes`] their entries about
//! single daemons, endpoints and services. The rules are in [`rules`](crate::gateway::rules).

pub mod calibration_reports;
pub mod catch_up;
pub(crate) mod changes;
pub(crate) mod chunk_batches;
pub mod engine_reports;
pub mod heartbeats;
pub(crate) mod job_message;
pub mod link_server;
pub(crate) mod link_socket;
pub mod links;
pub mod load_sums;
pub mod loan_reports;
pub mod membership;
pub mod message;
pub mod notes;
pub mod origin_reports;
pub mod outgoing;
pub mod peer_change;
pub(crate) mod peer_loads;
pub mod quarantine_reports;
pub(crate) mod queries;
pub(crate) mod rate_reports;
pub mod receive;
pub(crate) mod record;
pub mod remote_reports;
pub mod remote_services;
pub(crate) mod reports;
pub(crate) mod request_reports;
pub mod reservation_reports;
pub mod self_report;
pub mod sockets;
pub mod table_fetch;
