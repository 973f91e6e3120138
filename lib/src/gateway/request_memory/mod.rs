//! What a fleet remembers of requests, without shared storage.
//!
//! A record is kept by the daemon that made it and by a few holders, which every daemon finds by the digest of the
//! request ([`rules::holders`](crate::gateway::rules::holders)). [`outbox`] collects the entries for other daemons,
//! [`queries`] has the questions that wait for the holders' answers, and `peers::request_reports` sends both. Built on
//! it: [`quarantine`](crate::gateway::quarantine), [`reservations`](crate::gateway::reservations) and
//! [`stream_origins`](crate::gateway::stream_origins).

pub mod outbox;
pub mod queries;
