//! The story of a request is told from its id alone.

use hazelyoke_lib::story::{HostLog, story};

fn log(host: &str, lines: &[&str]) -> HostLog {
    HostLog {
        host: host.to_owned(),
        text: lines.join("\n"),
    }
}

fn told(request: &str, logs: &[HostLog]) -> Vec<String> {
    story(request, logs)
        .iter()
        .map(|line| format!("{} {}", line.host, line.event))
        .collect()
}

#[test]
fn steps_of_several_hosts_come_in_order() {
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
        told("r1", &[planner, entry]),
        [
            "entry request.accepted",
            "planner pieces.sent",
            "planner pieces.ended",
            "entry request.problem",
        ]
    );
}

#[test]
fn beliefs_of_the_hosts_concerned_are_told_beside() {
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
    let lines = story("r1", &[entry, other]);
    let beliefs: Vec<&str> = lines
        .iter()
        .filter(|line| line.belief)
        .map(|line| line.event.as_str())
        .collect();
    assert_eq!(beliefs, ["directory.lost"]);
    assert_eq!(
        lines[0].to_string(),
        "4000 ~ entry          directory.lost error=silent"
    );
}

#[test]
fn a_clock_that_steps_back_changes_no_order() {
    let entry = log(
        "entry",
        &[
            r#"{"at_ms":9000,"event":"request.accepted","request":"r1"}"#,
            r#"{"at_ms":7001,"event":"attempt.sent","request":"r1"}"#,
            r#"{"at_ms":7050,"event":"request.answered","request":"r1"}"#,
        ],
    );
    assert_eq!(
        told("r1", &[entry]),
        [
            "entry request.accepted",
            "entry attempt.sent",
            "entry request.answered"
        ]
    );
}

#[test]
fn an_unknown_request_has_no_story() {
    let entry = log("entry", &[r#"{"at_ms":1,"event":"peer.lost"}"#]);
    assert!(story("r1", &[entry]).is_empty());
}
