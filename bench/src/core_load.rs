//! Events that the benches of the bare core feed it.

use {
    anyhow::Result,
    bytes::Bytes,
    hazelyoke_lib::{
        pipeline::decision::{
            core::{Core, Event},
            endpoint::{AttemptEnd, EndpointReply, LoadReport},
            request::{Arrival, Target},
        },
        settings::{raw_tree::RawTree, tree::Tree},
        shared::{
            ids::{CustomerId, RequestId},
            units::{Millis, Time, WorkMillis},
        },
    },
    hazelyoke_testutils::one_value::OneValue,
};

/// Reads and checks a tree from its text.
///
/// # Errors
///
/// Returns the findings of an invalid tree.
pub fn read_tree(text: String) -> Result<Tree> {
    let raw = RawTree::read(&OneValue::from(text), "root")?;
    Ok(Tree::try_from(raw)?)
}

/// Lets every endpoint of a tree report a light load.
pub fn report_all(core: &mut Core, tree: &Tree) {
    let services = tree.services.values();
    for spec in services.flat_map(|service| &service.endpoints) {
        let report = LoadReport {
            backlog: WorkMillis(20.0),
            running: 2,
            slots: 8,
            age: Millis(10),
            leaving: false,
        };
        let endpoint = spec.id.clone();
        core.step(Time(1), Event::Load { endpoint, report });
    }
}

/// Builds a request for a pipeline.
///
/// # Errors
///
/// Returns an error when the pipeline's name is none.
pub fn arrival(number: usize, customer: &CustomerId, pipeline: &str) -> Result<Arrival> {
    Ok(Arrival {
        id: RequestId::from_random(number as u128 + 1),
        customer: customer.clone(),
        target: Target::Pipeline(pipeline.parse()?),
        remaining: None,
        priority: None,
        key: None,
        stream: false,
        body: Bytes::from_static(b"{}"),
        trace_parent: None,
    })
}

/// Builds the good end of a plain call.
pub fn good_end() -> AttemptEnd {
    AttemptEnd::Answered(EndpointReply {
        status: 200,
        body: Bytes::from_static(b"{}"),
        served: Some(WorkMillis(5.0)),
    })
}
