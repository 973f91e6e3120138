//! Start and stop of the forwarding daemon, and its listeners, settings, metrics and status report.

pub(crate) mod admission_metrics;
pub(crate) mod endpoint_metrics;
pub(crate) mod engine_metrics;
pub mod ingress;
pub(crate) mod labels;
pub mod metrics;
pub mod operator;
pub(crate) mod origin_metrics;
mod processor;
pub(crate) mod processor_metrics;
pub(crate) mod relay_metrics;
pub mod reload;
pub(crate) mod reservation_metrics;
pub mod server;
pub mod settings;
pub mod sockets;
pub(crate) mod status;
mod tasks;
