//! Forwards requests: accepts each, chooses endpoints, makes attempts and passes the reply on.

pub(crate) mod accept;
pub(crate) mod advertised_rates;
pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod call;
pub(crate) mod cold_state;
pub(crate) mod endpoint_check;
pub(crate) mod endpoint_signals;
pub mod endpoint_state;
pub mod endpoint_states;
pub mod forward;
pub(crate) mod guards;
pub(crate) mod outbound;
pub(crate) mod permits;
pub(crate) mod progress;
pub(crate) mod quarantine;
pub(crate) mod region_choice;
pub(crate) mod reply_signals;
pub(crate) mod reply_stream;
pub(crate) mod reservations;
pub(crate) mod sent_parts;
pub(crate) mod service_limits;
pub(crate) mod stage_load;
pub(crate) mod stages;
pub(crate) mod stream_resume;
