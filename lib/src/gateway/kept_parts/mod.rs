//! What engines keep of the prompts of earlier requests.
//!
//! [`store`] has their latest answers, for which `routing::kept_parts` asks. The rule
//! [`rules::kept_origin`](crate::gateway::rules::kept_origin) derives from them where a stream began.

pub mod store;
