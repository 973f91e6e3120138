//! The timeline of a request is collected from the logs by its id.

use hazelyoke_lib::timeline::{HostLog, LineKind, RequestTimeline};

fn log(host: &str, lines: &[&str]) -> HostLog {
    HostLog {
        host: host.to_owned(),
        text: lines.join("\n"),
    }
}

fn events(request: &str, logs: &[HostLog]) -> Vec<String> {
    RequestTimeline::from_logs(request, logs)
        .lines
        .iter()
        .map(|line| format!("{} {}", line.host, line.event))
        .collect()
}

/// The steps of one request are in order of time across the logs of several hosts.
#[test]
fn steps_in_order() {
    let entry = log(
        "entry",
        &[
            r#"{"at_ms":5000,"event":"request.accepted","level":"INFO","request":"r1"}"#,
            r#"{"at_ms":5001,"event":"request.accepted","level":"INFO","request":"r2"}"#,
            r#"prefix {"at_ms":5400,"event":"request.problem","request":"r1","code":"no_time"}"#,
            "not a line of ours {",
        ],
    );
    let planner = log(
        "planner",
        &[
            r#"{"at_ms":5010,"event":"pieces.sent","call":"a-7","requests":"[\"r1\", \"r2\"]"}"#,
            r#"{"at_ms":5020,"event":"pieces.sent","call":"a-8","requests":"[\"r2\"]"}"#,
            r#"{"at_ms":5300,"event":"pieces.ended","call":"a-7","outcome":"broken"}"#,
            r#"{"at_ms":5310,"event":"pieces.ended","call":"a-8","outcome":"answered"}"#,
        ],
    );
    assert_eq!(
        events("r1", &[planner, entry]),
        [
            "entry request.accepted",
            "planner pieces.sent",
            "planner pieces.ended",
            "entry request.problem",
        ]
    );
}

#[test]
fn observations_beside_steps() {
    let entry = log(
        "entry",
        &[
            r#"{"at_ms":1000,"event":"peer.lost","peer":"10.0.0.9:1"}"#,
            r#"{"at_ms":4000,"event":"directory.lost","error":"silent"}"#,
            r#"{"at_ms":5000,"event":"request.accepted","request":"r1"}"#,
            r#"{"at_ms":6000,"event":"request.answered","request":"r1"}"#,
            r#"{"at_ms":6001,"event":"directory.regained"}"#,
        ],
    );
    let other = log("other", &[r#"{"at_ms":5500,"event":"peer.lost"}"#]);
    let lines = RequestTimeline::from_logs("r1", &[entry, other]).lines;
    let observations: Vec<&str> = lines
        .iter()
        .filter(|line| line.kind == LineKind::Observation)
        .map(|line| line.event.as_str())
        .collect();
    assert_eq!(observations, ["directory.lost"]);
    assert_eq!(
        lines[0].to_string(),
        "4000 ~ entry          directory.lost error=silent"
    );
}

#[test]
fn clock_steps_back() {
    let entry = log(
        "entry",
        &[
            r#"{"at_ms":9000,"event":"request.accepted","request":"r1"}"#,
            r#"{"at_ms":7001,"event":"attempt.sent","request":"r1"}"#,
            r#"{"at_ms":7050,"event":"request.answered","request":"r1"}"#,
        ],
    );
    assert_eq!(
        events("r1", &[entry]),
        [
            "entry request.accepted",
            "entry attempt.sent",
            "entry request.answered"
        ]
    );
}

#[test]
fn unknown_request() {
    let entry = log("entry", &[r#"{"at_ms":1,"event":"peer.lost"}"#]);
    assert!(RequestTimeline::from_logs("r1", &[entry]).lines.is_empty());
}

#[test]
fn early_end_explained() {
    let entry = log(
        "entry",
        &[
            r#"{"at_ms":5000,"event":"request.accepted","request":"r1"}"#,
            r#"{"at_ms":7000,"event":"request.broken_off","request":"r1","by":"silence","why":"silent","hindrance":"budget","left_out":"none","last_event":3,"endpoint":"i-1","endpoint_state":"open","silent_ms":1203,"stalled_ms":0,"sent":1,"version":12,"left_ms":1800,"took_ms":2000}"#,
        ],
    );
    let lines = RequestTimeline::from_logs("r1", &[entry]).lines;
    let texts: Vec<String> = lines
        .iter()
        .filter_map(|line| line.explain_early_end())
        .collect();
    assert_eq!(
        texts,
        [
            "entry ended the answer after event 3, 1800 ms before its deadline, by silence (silent); not resumed: \
             budget, left out: none. i-1 (open) had sent nothing for 1203 ms, of which this host stalled 0 ms. \
             Attempts: 1. Table: 12."
        ]
    );
}
