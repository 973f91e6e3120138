//! The other daemons: heartbeats in datagrams, links for requests, and what is known of each.
//!
//! There is no leader and no store behind it: each daemon keeps its own view, from heartbeats that
//! it receives and from gossip in them. [`membership`] holds that view; [`heartbeats`],
//! [`receive`], [`catch_up`] and [`table_fetch`] are the tasks that keep it up to date; [`links`] and
//! [`link_server`] are the two ends of a link; [`message`] is what goes over the wire, with [`notes`] of
//! single daemons, endpoints and services. The rules are in [`rules`](crate::gateway::rules).

pub mod catch_up;
pub(crate) mod changes;
pub mod far_reports;
pub mod far_services;
pub mod heartbeats;
pub(crate) mod job_message;
pub mod link_server;
pub(crate) mod link_socket;
pub mod links;
pub mod load_sums;
pub mod membership;
pub mod message;
pub mod notes;
pub mod outgoing;
pub(crate) mod part_batches;
pub mod peer_change;
pub(crate) mod peer_loads;
pub mod quarantine_news;
pub(crate) mod queries;
pub(crate) mod rate_news;
pub mod receive;
pub(crate) mod record;
pub(crate) mod reports;
pub mod self_report;
pub mod sockets;
pub mod table_fetch;
