//! Converts a snapshot of the pipeline daemon's state into its status report, which `shared::status` defines.

use crate::{
    pipeline::node::{EndpointView, Snapshot},
    shared::status::{EndpointStatus, ProblemCount, StatusBody},
};

/// Returns the status report of the daemon on `host`; `ready` tells whether it is ready for requests.
pub fn status_body(host: &str, ready: bool, snapshot: &Snapshot) -> StatusBody {
    let counters = &snapshot.counters;
    StatusBody {
        host: host.to_owned(),
        ready,
        version: snapshot.tree.version.0,
        evacuated: Vec::new(),
        regions: Vec::new(),
        quarantined: Vec::new(),
        in_flight: snapshot.in_flight as u64,
        answered: counters.answered,
        late: counters.late,
        problems: problem_counts(snapshot),
        attempts: counters.attempts,
        extra: counters.extra,
        endpoints: snapshot.endpoints.iter().map(Into::into).collect(),
    }
}

fn problem_counts(snapshot: &Snapshot) -> Vec<ProblemCount> {
    let problems = snapshot.counters.problems.iter();
    problems
        .map(|((code, outcome), count)| ProblemCount {
            code: code.to_string(),
            outcome: outcome.to_string(),
            count: *count,
        })
        .collect()
}

impl From<&EndpointView> for EndpointStatus {
    fn from(view: &EndpointView) -> Self {
        Self {
            service: view.service.clone(),
            endpoint: view.endpoint.clone(),
            open: view.open,
            in_flight: view.in_flight,
        }
    }
}
