//! `hazelyoke-bench scale`: memory and time of one daemon's view as the installation grows.

use {
    crate::{
        core_load::{arrival, good_end, read_tree, report_all},
        process::resident,
    },
    anyhow::Result,
    argh::FromArgs,
    hazelyoke_lib::{
        pipeline::decision::core::{Action, Core, CoreConfig, Event},
        settings::tree::Tree,
        shared::{
            ids::CustomerId,
            units::{Millis, Time},
        },
    },
    std::{fmt::Write, sync::Arc, time::Instant},
};

/// Sizes of the installation ahead.
const CUSTOMERS: usize = 21_000;
const REPLICAS: usize = 600;
const MODELS: usize = 23;
const PIPELINES: usize = 16;
const CENTRES: usize = 7;

/// Microseconds of the core's clock between two requests: 1,400 a second over 360 daemons.
const STEP: u64 = 257_000;

/// memory and time of one daemon's tree and state at 21,000 customers and 600 replicas, and how
/// both grow
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Scale {}

/// Writes a tree: each model a service of its own, each pipeline over four of them.
fn tree_text(customers: usize, replicas: usize) -> String {
    let mut text = String::from(r#"{ "version": 1, "name": "top", "data_centres": ["#);
    let centres: Vec<_> = (0..CENTRES).map(|i| format!("\"d{i}\"")).collect();
    text += &centres.join(",");
    text += "], \"services\": {\n";
    let services: Vec<_> = (0..MODELS)
        .map(|model| service_text(model, replicas))
        .collect();
    text += &services.join(",\n");
    text += "}, \"pipelines\": {\n";
    let pipelines: Vec<_> = (0..PIPELINES).map(pipeline_text).collect();
    text += &pipelines.join(",\n");
    text += "}, \"customers\": {\n";
    for i in 0..customers {
        let comma = if i == 0 { "" } else { ",\n" };
        // One in a hundred has a limit of its own.
        let own = if i % 100 == 0 {
            r#""settings": { "rate": "50/s" }"#
        } else {
            ""
        };
        let _ = write!(text, "{comma}\"customer-{i}\": {{ {own} }}");
    }
    text + "} }"
}

fn service_text(model: usize, replicas: usize) -> String {
    let endpoints: Vec<_> = (model..replicas)
        .step_by(MODELS)
        .map(|i| {
            let (high, low) = (i / 250, i % 250 + 1);
            let centre = i % CENTRES;
            format!(
                r#""r{i}": {{ "address": "10.0.{high}.{low}:80", "data_centre": "d{centre}" }}"#
            )
        })
        .collect();
    let endpoints = endpoints.join(", ");
    format!(r#""s{model}": {{ "kind": "plain", "endpoints": {{ {endpoints} }} }}"#)
}

fn pipeline_text(number: usize) -> String {
    let stages: Vec<_> = (0..4)
        .map(|i| {
            let service = (number + i * 5) % MODELS;
            format!(r#"{{ "name": "stage-{i}", "service": "s{service}" }}"#)
        })
        .collect();
    format!(r#""p{number}": {{ "stages": [{}] }}"#, stages.join(", "))
}

/// What one size came to.
struct Row {
    text: usize,
    read_ms: f64,
    tree_kb: f64,
    adopt_ms: f64,
    state_kb: f64,
    request_us: f64,
}

impl Scale {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error when a tree can't be built.
    pub async fn run(self) -> Result<bool> {
        println!(
            "{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}{:>12}",
            "CUSTOMERS", "REPLICAS", "TEXT", "READ", "TREE", "ADOPT", "STATE", "REQUEST"
        );
        let sizes = [
            (210, REPLICAS),
            (2_100, REPLICAS),
            (CUSTOMERS, REPLICAS),
            (210_000, REPLICAS),
            (CUSTOMERS, 60),
            (CUSTOMERS, 6_000),
        ];
        for (customers, replicas) in sizes {
            let row = measure(customers, replicas)?;
            println!(
                "{customers:>10}{replicas:>10}{:>8}KB{:>8.1}ms{:>8.0}KB{:>8.1}ms{:>8.0}KB{:>10.2}us",
                row.text / 1024,
                row.read_ms,
                row.tree_kb,
                row.adopt_ms,
                row.state_kb,
                row.request_us
            );
        }
        Ok(true)
    }
}

fn measure(customers: usize, replicas: usize) -> Result<Row> {
    let text = tree_text(customers, replicas);
    let size = text.len();
    let before = resident()?;
    let started = Instant::now();
    let tree = Arc::new(read_tree(text)?);
    let read_ms = started.elapsed().as_secs_f64() * 1000.0;
    let tree_kb = grown(before)?;
    let mut core = Core::new(CoreConfig {
        data_centre: tree.data_centres[0].clone(),
        hop: Millis(1),
        seed: 1,
    });
    let before = resident()?;
    let started = Instant::now();
    core.step(Time(0), Event::Adopt(tree.clone()));
    let adopt_ms = started.elapsed().as_secs_f64() * 1000.0;
    let request_us = use_all(&mut core, &tree)?;
    Ok(Row {
        text: size,
        read_ms,
        tree_kb,
        adopt_ms,
        state_kb: grown(before)?,
        request_us,
    })
}

fn grown(before: u64) -> Result<f64> {
    Ok(resident()?.saturating_sub(before) as f64 / 1024.0)
}

/// Lets every endpoint report and every customer run one pipeline; returns the time of a request.
fn use_all(core: &mut Core, tree: &Tree) -> Result<f64> {
    report_all(core, tree);
    let started = Instant::now();
    for (number, customer) in tree.customers.keys().enumerate() {
        let now = Time(STEP * (number as u64 + 1));
        let pipeline = format!("p{}", number % PIPELINES);
        request(core, now, number, customer, &pipeline)?;
    }
    let whole = started.elapsed().as_secs_f64() * 1e6;
    Ok(whole / tree.customers.len() as f64)
}

fn request(
    core: &mut Core,
    now: Time,
    number: usize,
    customer: &CustomerId,
    pipeline: &str,
) -> Result<()> {
    let arrival = arrival(number, customer, pipeline)?;
    let mut actions = core.step(now, Event::Arrived(arrival));
    while let Some(Action::Send(call)) = actions.pop() {
        let end = good_end();
        let attempt = call.ids.attempt;
        actions = core.step(now, Event::Ended { attempt, end });
    }
    Ok(())
}
