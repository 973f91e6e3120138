//! `hazelyoke status`: shows a daemon's state.

use {
    crate::output::{Exit, Format, plain_table, print_json},
    anyhow::Result,
    argh::FromArgs,
    hazelyoke_lib::{pipeline::api::status_client::fetch, shared::status::StatusBody},
    std::net::SocketAddr,
};

/// show a daemon's state
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// address of the daemon: IP:PORT
    #[argh(positional)]
    address: SocketAddr,

    /// form of the output: text or json
    #[argh(option, default = "Format::default()")]
    format: Format,
}

impl Status {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime can't start or the state can't be serialised as JSON. A daemon that doesn't
    /// answer is a finding, not an error.
    pub fn run(self) -> Result<Exit> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let status = match runtime.block_on(fetch(self.address)) {
            Ok(status) => status,
            Err(error) => {
                eprintln!("hazelyoke: {error}; is the daemon running there?");
                return Ok(Exit::Findings);
            }
        };
        match self.format {
            Format::Json => print_json(&status)?,
            Format::Text => print_status(&status),
        }
        Ok(if status.ready {
            Exit::Success
        } else {
            Exit::Findings
        })
    }
}

fn print_status(status: &StatusBody) {
    let ready = if status.ready { "ready" } else { "not ready" };
    println!(
        "{}: {ready}, settings version {}, {} in flight",
        status.host, status.version, status.in_flight
    );
    println!(
        "answered {} ({} late), attempts {} + {} extra",
        status.answered, status.late, status.attempts, status.extra
    );
    if !status.evacuated.is_empty() {
        println!("evacuated: {}", status.evacuated.join(", "));
    }
    for region in &status.regions {
        println!(
            "region {}: {} daemons, {:.0} ms there and back",
            region.region, region.daemons, region.way_ms
        );
    }
    if !status.quarantined.is_empty() {
        println!("quarantined: {}", status.quarantined.join(", "));
    }
    for problem in &status.problems {
        println!("{} {}: {}", problem.outcome, problem.code, problem.count);
    }
    let mut table = plain_table(&["SERVICE", "ENDPOINT", "OPEN", "IN FLIGHT"]);
    for endpoint in &status.endpoints {
        let open = if endpoint.open { "yes" } else { "no" };
        let in_flight = endpoint.in_flight.to_string();
        table.add_row([&endpoint.service, &endpoint.endpoint, open, &in_flight]);
    }
    println!("{}", table.trim_fmt());
}
