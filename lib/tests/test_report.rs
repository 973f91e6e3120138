//! The report on the logs of several hosts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hazelyoke_lib::report::{Histogram, LogReport, ReportReader, RequestCounts};

fn report(hosts: &[&[&str]]) -> LogReport {
    let mut reader = ReportReader::default();
    for lines in hosts {
        reader.begin_host();
        for line in *lines {
            reader.add(line);
        }
    }
    reader.finish()
}

const SERVED: [&str; 6] = [
    r#"{"at_ms":1000,"data_centre":"a","event":"daemon.started","host":"front-1"}"#,
    r#"{"at_ms":2000,"event":"request.accepted","pieces":"[1, 2]","request":"r1","route":"ask"}"#,
    r#"{"at_ms":2001,"event":"request.admitted","expected_ms":350.5,"objective_ms":1100,"request":"r1"}"#,
    r#"{"at_ms":2401,"attempt":1,"event":"attempt.sent","expected_ms":50.0,"request":"r1"}"#,
    r#"{"allowed":true,"at_ms":2500,"event":"attempt.repeat","request":"r1"}"#,
    r#"{"at_ms":3100,"event":"request.answered","request":"r1","status":200,"took_ms":1100}"#,
];

const REFUSED: [&str; 4] = [
    r#"{"at_ms":4500,"event":"request.accepted","pieces":"[]","request":"r2","route":"ask"}"#,
    r#"{"at_ms":4501,"code":"no_time","detail":"it would take 1300 ms","event":"request.problem","outcome":"not_run","request":"r2"}"#,
    r#"{"at_ms":4600,"event":"request.accepted","pieces":"[]","request":"r3","route":"pay"}"#,
    r#"{"at_ms":4700,"code":"stage_failed","detail":"broke off","event":"request.problem","outcome":"unknown","request":"r3"}"#,
];

#[test]
fn request_ends() {
    let report = report(&[&SERVED, &REFUSED]);
    let ask = &report.routes["ask"];
    let expected = RequestCounts {
        accepted: 2,
        admitted: 1,
        answered: 1,
        refused: 1,
        retries: 1,
        ..RequestCounts::default()
    };
    assert_eq!(ask.counts, expected);
    assert_eq!(ask.objective_ms, Some(1_100));
    assert_eq!(ask.staged_ms.total(), 1);
    assert_eq!(report.routes["pay"].counts.failed, 1);
    assert_eq!(report.centres["a"].accepted, 1);
    assert_eq!(report.centres["-"].accepted, 2);
    // The end of a request counts in the second in which the request arrived.
    assert_eq!(report.seconds[&0].answered, 1);
    assert_eq!(report.seconds[&2].refused, 1);
    let reasons: Vec<_> = report
        .problems
        .iter()
        .map(|p| (&*p.route, &*p.code, p.count))
        .collect();
    assert_eq!(reasons, [("ask", "no_time", 1), ("pay", "stage_failed", 1)]);
}

#[test]
fn stage_calls() {
    let report = report(&[&[
        r#"{"at_ms":1,"call":"c-1","event":"pieces.sent","pieces":8,"repeated":1,"service":"enc","waiting":35}"#,
        r#"{"at_ms":9,"call":"c-1","event":"pieces.ended","expected_ms":368.0,"input_gone":1,"made":5,"no_room":2,"outcome":"answered","service":"enc","took_ms":184.0}"#,
    ]]);
    let calls = report.services["enc"];
    assert_eq!(
        (calls.calls, calls.pieces, calls.repeated, calls.waiting),
        (1, 8, 1, 35)
    );
    assert_eq!((calls.made, calls.no_room, calls.input_gone), (5, 2, 1));
    assert!((calls.took_ms / calls.expected_ms - 0.5).abs() < 1e-9);
}

/// Damaged lines, lines of other programs and dropped lines are counted, and don't affect the counts of other lines.
#[test]
fn damaged_lines() {
    let report = report(&[&[
        "a line of another program",
        r#"  12.5 front-1 {"at_ms":5,"event":"request.accepted","request":"r1","route":"ask"}"#,
        r#"{"at_ms":6,"event":"request.accep"#,
        r#"{"event":"request.accepted"}"#,
        r#"{"at_ms":7,"event":"log.dropped","lines":12}"#,
    ]]);
    let lines = report.lines;
    assert_eq!(
        (lines.events, lines.damaged, lines.others, lines.dropped),
        (2, 2, 1, 12)
    );
    assert_eq!(report.routes["ask"].counts.accepted, 1);
}

#[test]
fn spread_quantiles() {
    let mut histogram = Histogram::default();
    assert_eq!(histogram.quantile(0.5), None);
    for ms in 1..=1_000 {
        histogram.add(f64::from(ms));
    }
    for (share, exact) in [(0.1, 100.0), (0.5, 500.0), (0.9, 900.0)] {
        let found = histogram.quantile(share).unwrap();
        assert!((found / exact - 1.0).abs() < 0.05, "{share}: {found}");
    }
}
