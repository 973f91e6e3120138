//! `hazelyoke-bench decide`: time of one decision over pools of different sizes.

use {
    crate::core_load::{arrival, good_end, read_tree, report_all},
    anyhow::{Context, Result},
    argh::FromArgs,
    hazelyoke_lib::{
        pipeline::decision::core::{Action, Core, CoreConfig, Event},
        settings::tree::Tree,
        shared::units::{Millis, Time},
    },
    std::{sync::Arc, time::Instant},
};

/// Sizes of the pool that are tried.
const SIZES: [usize; 4] = [10, 60, 600, 6_000];

/// Requests in flight all the time.
const IN_FLIGHT: usize = 200;

/// Microseconds of the core's clock between two requests.
const STEP: u64 = 700;

/// time of one decision (an arrival and its reply) over pools of 10 to 6,000 replicas
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decide")]
pub struct Decide {
    /// decisions for each size
    #[argh(option, default = "50000")]
    decisions: usize,
}

fn tree(replicas: usize) -> Result<Tree> {
    let endpoints: Vec<_> = (0..replicas)
        .map(|i| {
            let (high, low) = (i / 250, i % 250 + 1);
            let centre = i % 7;
            format!(
                r#""r{i}": {{ "address": "10.0.{high}.{low}:80", "data_centre": "d{centre}" }}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{ "version": 1, "name": "top",
          "data_centres": ["d0", "d1", "d2", "d3", "d4", "d5", "d6"],
          "services": {{ "llm": {{ "kind": "plain", "endpoints": {{ {} }} }} }},
          "customers": {{ "c": {{}} }},
          "pipelines": {{ "p": {{ "stages": [{{ "name": "s", "service": "llm" }}] }} }} }}"#,
        endpoints.join(",")
    );
    read_tree(text)
}

/// Times of one size, in nanoseconds.
#[derive(Default)]
struct Times {
    arrival: Vec<u64>,
    reply: Vec<u64>,
}

fn median(times: &mut [u64]) -> f64 {
    times.sort_unstable();
    times
        .get(times.len() / 2)
        .map_or(0.0, |ns| *ns as f64 / 1000.0)
}

impl Decide {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error when a tree can't be built.
    pub async fn run(self) -> Result<bool> {
        println!(
            "{:>9}{:>14}{:>14}{:>14}",
            "REPLICAS", "ARRIVAL", "REPLY", "DECISION"
        );
        let mut medians = Vec::new();
        for size in SIZES {
            let mut times = self.measure(size)?;
            let arrival = median(&mut times.arrival);
            let reply = median(&mut times.reply);
            medians.push((size as f64, arrival + reply));
            let whole = arrival + reply;
            println!("{size:>9}{arrival:>12.2}us{reply:>12.2}us{whole:>12.2}us");
        }
        let (first, last) = (medians[0], medians[medians.len() - 1]);
        let decades = (last.0 / first.0).log10();
        let growth = (last.1 / first.1).log10() / decades;
        println!("time grows with replicas to the power of {growth:.3}");
        Ok(true)
    }

    fn measure(&self, size: usize) -> Result<Times> {
        let tree = Arc::new(tree(size)?);
        let mut core = Core::new(CoreConfig {
            data_centre: tree.data_centres[0].clone(),
            hop: Millis(1),
            seed: 1,
        });
        core.step(Time(0), Event::Adopt(tree.clone()));
        report_all(&mut core, &tree);
        let customer = tree.customers.keys().next().context("no customer")?;
        let mut times = Times::default();
        let mut pending = std::collections::VecDeque::new();
        for number in 0..self.decisions {
            let now = Time(STEP * (number as u64 + 1));
            let arrival = arrival(number, customer, "p")?;
            let started = Instant::now();
            let actions = core.step(now, Event::Arrived(arrival));
            times.arrival.push(started.elapsed().as_nanos() as u64);
            pending.extend(actions.into_iter().filter_map(|action| match action {
                Action::Send(call) => Some(call.ids.attempt),
                _ => None,
            }));
            if pending.len() > IN_FLIGHT
                && let Some(attempt) = pending.pop_front()
            {
                let end = good_end();
                let started = Instant::now();
                core.step(now, Event::Ended { attempt, end });
                times.reply.push(started.elapsed().as_nanos() as u64);
            }
        }
        Ok(times)
    }
}
