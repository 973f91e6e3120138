//! `hazelyoke report`: summarises from logs how requests ended.

use {
    crate::output::{Exit, Format, plain_table, print_json},
    anyhow::{Context, Result},
    argh::FromArgs,
    hazelyoke_lib::report::{
        CallCounts, Histogram, LogReport, ReportReader, RequestCounts, RouteReport,
    },
    std::{
        fs::File,
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
    },
};

/// Headers of the columns of request counts.
const COUNT_COLUMNS: [&str; 7] = [
    "accepted", "admitted", "answered", "refused", "failed", "left", "retries",
];

/// sum up from logs what became of requests, and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// logs of forwarding daemons, a file each host
    #[argh(positional)]
    logs: Vec<PathBuf>,

    /// output: text or json
    #[argh(option, default = "Format::Text")]
    format: Format,
}

impl Report {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if a log can't be read, or the report can't be serialised as JSON.
    pub fn run(self) -> Result<Exit> {
        let mut reader = ReportReader::default();
        for path in &self.logs {
            read_log(path, &mut reader)
                .with_context(|| format!("can't read {}", path.display()))?;
        }
        let report = reader.finish();
        match self.format {
            Format::Text => print_text(&report),
            Format::Json => print_json(&report)?,
        }
        if report.lines.events == 0 {
            eprintln!("hazelyoke: no line of the logs is an event");
            return Ok(Exit::Findings);
        }
        Ok(Exit::Success)
    }
}

/// Reads the log of one host, line by line.
fn read_log(path: &Path, reader: &mut ReportReader) -> std::io::Result<()> {
    reader.begin_host();
    let mut file = BufReader::new(File::open(path)?);
    let mut line = Vec::new();
    while file.read_until(b'\n', &mut line)? > 0 {
        // A log may contain lines of other programs in any encoding. They aren't events.
        reader.add(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}

fn print_text(report: &LogReport) {
    let lines = &report.lines;
    println!(
        "{} events; {} damaged lines, {} of other programs, {} dropped by daemons",
        lines.events, lines.damaged, lines.others, lines.dropped
    );
    print_routes(report);
    print_problems(report);
    let centres = report.centres.iter();
    print_counts(
        "centre",
        centres.map(|(centre, counts)| (centre.clone(), counts)),
    );
    let seconds = report.seconds.iter();
    print_counts(
        "second",
        seconds.map(|(second, counts)| (second.to_string(), counts)),
    );
    print_services(report);
}

fn print_routes(report: &LogReport) {
    let routes = report.routes.iter();
    print_counts(
        "route",
        routes.map(|(route, sums)| (route.clone(), &sums.counts)),
    );
    let mut table = plain_table(&[
        "route",
        "objective",
        "expected p10/50/90",
        "staged p10/50/90",
        "answered p10/50/90",
    ]);
    for (name, route) in &report.routes {
        table.add_row(times_row(name, route));
    }
    println!("\n{table}");
}

fn times_row(name: &str, route: &RouteReport) -> Vec<String> {
    let objective = route.objective_ms.map_or_else(dash, |ms| ms.to_string());
    let histograms = [&route.expected_ms, &route.staged_ms, &route.answered_ms];
    let mut row = vec![name.to_owned(), objective];
    row.extend(histograms.into_iter().map(quantiles_text));
    row
}

fn quantiles_text(histogram: &Histogram) -> String {
    let quantile = |share| {
        let value = histogram.quantile(share);
        value.map_or_else(dash, |ms| format!("{ms:.0}"))
    };
    format!("{}/{}/{}", quantile(0.1), quantile(0.5), quantile(0.9))
}

fn dash() -> String {
    "-".into()
}

fn print_counts<'a>(title: &str, rows: impl Iterator<Item = (String, &'a RequestCounts)>) {
    let header: Vec<&str> = [title].into_iter().chain(COUNT_COLUMNS).collect();
    let mut table = plain_table(&header);
    for (name, counts) in rows {
        let RequestCounts {
            accepted,
            admitted,
            answered,
            refused,
            failed,
            left,
            retries,
        } = counts;
        let counts = [accepted, admitted, answered, refused, failed, left, retries];
        let mut row = vec![name];
        row.extend(counts.map(ToString::to_string));
        table.add_row(row);
    }
    println!("\n{table}");
}

fn print_problems(report: &LogReport) {
    let mut table = plain_table(&["route", "code", "outcome", "count", "the first"]);
    for problem in &report.problems {
        table.add_row([
            problem.route.clone(),
            problem.code.clone(),
            problem.outcome.clone(),
            problem.count.to_string(),
            problem.example.clone(),
        ]);
    }
    println!("\n{table}");
}

fn print_services(report: &LogReport) {
    let mut table = plain_table(&[
        "service",
        "calls",
        "pieces a call",
        "waiting",
        "repeated",
        "no room",
        "inputs gone",
        "took/expected",
    ]);
    for (service, calls) in &report.services {
        table.add_row(calls_row(service, calls));
    }
    println!("\n{table}");
}

fn calls_row(service: &str, calls: &CallCounts) -> Vec<String> {
    let each = |sum: u64| ratio(sum as f64, calls.calls as f64);
    vec![
        service.to_owned(),
        calls.calls.to_string(),
        each(calls.pieces),
        each(calls.waiting),
        calls.repeated.to_string(),
        calls.no_room.to_string(),
        calls.input_gone.to_string(),
        ratio(calls.took_ms, calls.expected_ms),
    ]
}

/// Returns the ratio of `part` to `whole` as text; a dash if `whole` is zero.
fn ratio(part: f64, whole: f64) -> String {
    if whole > 0.0 {
        format!("{:.2}", part / whole)
    } else {
        dash()
    }
}
