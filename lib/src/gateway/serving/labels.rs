//! Metric labels that several modules use.

use prometheus_client::encoding::EncodeLabelSet;

/// Label set of a metric that is counted by `kind`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct KindLabels {
    pub(crate) kind: &'static str,
}
