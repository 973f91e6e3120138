//! Reports as text for a terminal.

use {
    crate::report::{Report, StageTime},
    comfy_table::{Table, presets},
};

/// Headings of the table of reports.
const REPORT_HEADINGS: [&str; 14] = [
    "EXPERIMENT",
    "POLICY",
    "LOAD",
    "REQUESTS",
    "ATTAINED",
    "GOODPUT/S",
    "USED",
    "P50",
    "P95",
    "P99",
    "WASTED",
    "EXTRA",
    "CACHED",
    "BROKEN",
];

/// Headings of the table of a report's stages.
const STAGE_HEADINGS: [&str; 4] = ["STAGE", "USEFUL", "WASTED", "WASTED SHARE"];

/// Prints a table with one row for each report.
pub fn print_table(reports: &[Report]) {
    let rows = reports.iter().map(report_row);
    println!("{}", table(REPORT_HEADINGS, rows));
}

/// Prints the stages, services, endings and broken guarantees of one report.
pub fn print_details(report: &Report) {
    let rows = report
        .stages
        .iter()
        .map(|(name, time)| stage_row(name, time));
    println!("{}\n", table(STAGE_HEADINGS, rows));
    for (service, busy) in &report.busy {
        println!("{service}: {:.1}% busy", busy * 100.0);
    }
    for (ending, count) in &report.endings {
        println!("{ending}: {count}");
    }
    println!("{}", report.breaches);
}

fn table<const N: usize>(headings: [&str; N], rows: impl Iterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(headings);
    table.add_rows(rows);
    table.trim_fmt()
}

fn report_row(report: &Report) -> [String; REPORT_HEADINGS.len()] {
    [
        report.experiment.clone(),
        report.policy.clone(),
        format!("{:.2}", report.load),
        report.requests.to_string(),
        format!("{:.3}%", report.attainment * 100.0),
        format!("{:.1}", report.goodput),
        format!("{:.1}%", report.used * 100.0),
        format!("{:.1}ms", report.p50_ms),
        format!("{:.1}ms", report.p95_ms),
        format!("{:.1}ms", report.p99_ms),
        format!("{:.2}%", report.wasted * 100.0),
        format!("{:.2}%", report.extra * 100.0),
        format!("{:.1}%", report.cached * 100.0),
        report.breaches.total().to_string(),
    ]
}

fn stage_row(name: &str, time: &StageTime) -> [String; STAGE_HEADINGS.len()] {
    let StageTime { useful, wasted } = time;
    let share = wasted.0 / (useful.0 + wasted.0).max(f64::EPSILON);
    [
        name.to_owned(),
        format!("{:.2}s", useful.0 / 1000.0),
        format!("{:.2}s", wasted.0 / 1000.0),
        format!("{:.2}%", share * 100.0),
    ]
}
