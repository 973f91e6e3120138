//! Reservations for callers that admission refused.
//!
//! A daemon has three roles. As the maker, it refused a request and counts its pieces as outstanding until the caller
//! returns ([`made`]). As a holder, it knows when a reservation is due and grants one claim ([`held`]). As the claimer,
//! it asks the holders about a request that it would refuse ([`PendingQueries`]). [`store`] combines them and collects the
//! messages to other daemons, whose entries [`note`] defines; `peers::reservation_reports` sends and receives them. The
//! rule is [`rules::reservation`](crate::gateway::rules::reservation).
//!
//! [`PendingQueries`]: crate::gateway::request_memory::queries::PendingQueries

pub mod held;
pub mod made;
pub mod note;
pub mod store;
