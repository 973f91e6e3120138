//! Snapshots of the results of small decisions, which a change that isn't meant to alter a decision leaves as they are.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::evacuations::Evacuations,
            peers::{
                membership::{Identity, Peers},
                message::Phase,
                self_report::SelfReport,
            },
            rules::{
                admission::{
                    AdmissionDecision, AdmissionRequest, PieceCount, PlannedStage, StageService,
                    decide,
                },
                call_timing::CallCost,
                coordinator::Coordinator,
                outcome::{AttemptHistory, UnansweredEnd},
                retry::may_retry,
                retry_budget::{BudgetLimits, WindowBudget},
            },
            serving::settings::{Bounds, ColdBounds},
            table::RouteKind,
        },
        shared::{
            health::{Health, HealthState},
            ids::ServiceId,
            units::{Capacity, Millis, Share, Time, WorkMillis},
        },
    },
    hazelyoke_testutils::draws::Draws,
    std::{
        fmt::{Display, Write as _},
        net::SocketAddr,
    },
};

/// Joins the texts of several values.
fn joined<T: Display>(values: impl IntoIterator<Item = T>, between: &str) -> String {
    let texts: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    texts.join(between)
}

#[test]
fn daemon_times() {
    let mut lines = String::new();
    for apply in [100, 900, 2_000, 60_000] {
        for drain in [300, 1_000, 2_000, 30_000] {
            for heartbeat in [100, 1_200, 5_000] {
                let bounds = Bounds {
                    apply: Millis(apply),
                    drain: Millis(drain),
                    endpoint_heartbeat: Millis(heartbeat),
                    cold: ColdBounds {
                        overage: 1.0,
                        slack: 0.0,
                    },
                };
                let wait = bounds.directory_wait();
                let kept = bounds.unconfirmed_time();
                writeln!(lines, "{apply} {drain} {heartbeat}: {wait:?}, {kept}").unwrap();
            }
        }
    }
    insta::assert_snapshot!(lines);
}

fn stage(outstanding: f64, endpoints: usize, pieces: u32, after: &[usize]) -> PlannedStage {
    PlannedStage {
        service: StageService {
            endpoints,
            batch: 16,
            cost: CallCost {
                fixed: WorkMillis(120.0),
                piece: WorkMillis(7.5),
            },
            result_capacity: PieceCount(24.0),
            outstanding: PieceCount(outstanding),
        },
        ahead: PieceCount(outstanding * 0.75),
        pieces,
        after: after.to_vec(),
    }
}

/// Returns the stages of a route: one stage, two in sequence, two in parallel before a third, or one without pieces
/// before another.
fn stages(shape: &str, outstanding: f64) -> Vec<PlannedStage> {
    match shape {
        "one" => vec![stage(outstanding, 3, 4, &[])],
        "row" => vec![
            stage(outstanding, 3, 4, &[]),
            stage(outstanding / 2.0, 1, 1, &[0]),
        ],
        "fork" => vec![
            stage(outstanding, 3, 12, &[]),
            stage(outstanding * 2.0, 8, 20, &[]),
            stage(outstanding / 4.0, 0, 2, &[0, 1]),
        ],
        _ => vec![
            stage(outstanding, 3, 0, &[]),
            stage(outstanding, 2, 3, &[0]),
        ],
    }
}

fn verdict(request: &AdmissionRequest) -> String {
    match decide(request) {
        AdmissionDecision::Admit { expected } => format!("take {:.3}", expected.0),
        AdmissionDecision::Refuse {
            expected,
            retry_after,
            ..
        } => format!("refuse {:.3}, {retry_after}", expected.0),
    }
}

#[test]
fn admission_verdicts() {
    let mut lines = String::new();
    for shape in ["one", "row", "fork", "left out"] {
        for outstanding in [0.0, 10.0, 75.0, 400.0] {
            for (objective, rank, tokens) in [
                (300, 0, 0),
                (500, 2, 3_000),
                (1_500, 1, 40_000),
                (900, 9, 64),
            ] {
                let request = AdmissionRequest {
                    calibration: None,
                    round_trip: WorkMillis(0.0),
                    own_time: None,
                    stages: stages(shape, outstanding),
                    objective: Millis(objective),
                    rank,
                    tokens,
                };
                let verdict = verdict(&request);
                let asked = format!("{shape} {outstanding} within {objective} rank {rank}");
                writeln!(lines, "{asked}, {tokens} tokens: {verdict}").unwrap();
            }
        }
    }
    insta::assert_snapshot!(lines);
}

/// Each line has the steps of one budget: `.` counts a request, `+` and `-` are retries granted and refused.
#[test]
fn budget_grants() {
    let limits = BudgetLimits {
        ratio: Share(0.2),
        slack: 54.0,
        window: Millis(10_000),
    };
    let mut lines = String::new();
    for daemons in [0, 1, 3, 12] {
        let mut draws = Draws::new(11);
        let mut budget = WindowBudget::new(limits, Time(0));
        let mut now = Time(0);
        for line in 0..6 {
            let mut steps = String::new();
            for _ in 0..72 {
                now = now + Millis(draws.below(150));
                if draws.percent(60) {
                    budget.deposit(now);
                    steps.push('.');
                } else {
                    steps.push(if budget.withdraw(now, daemons) {
                        '+'
                    } else {
                        '-'
                    });
                }
            }
            writeln!(lines, "{daemons} daemons {line}: {steps}").unwrap();
        }
    }
    insta::assert_snapshot!(lines);
}

/// Each line has the steps of one endpoint: `s` for a success, `f` for a failure that may eject it, `k` for one that
/// may not, then its state; `!` marks an ejection.
#[test]
fn health_states() {
    let mut lines = String::new();
    for (seed, failing) in [(1, 10), (2, 25), (3, 40), (4, 60), (5, 90)] {
        let mut draws = Draws::new(seed);
        let mut health = Health::default();
        let mut now = Time(0);
        for _ in 0..4 {
            write!(lines, "{failing}%:").unwrap();
            for _ in 0..24 {
                now = now + Millis(draws.below(300));
                let ejected = if draws.percent(failing) {
                    let may_eject = draws.percent(80);
                    lines.push_str(if may_eject { " f" } else { " k" });
                    health.failed(now, may_eject)
                } else {
                    lines.push_str(" s");
                    health.succeeded();
                    false
                };
                lines.push_str(state_letter(&health, now));
                lines.push_str(if ejected { "!" } else { "" });
            }
            lines.push('\n');
        }
    }
    insta::assert_snapshot!(lines);
}

fn state_letter(health: &Health, now: Time) -> &'static str {
    match health.state(now) {
        HealthState::Healthy => "h",
        HealthState::Ejected => "e",
        HealthState::Probing => "p",
    }
}

/// The length of each ejection of an endpoint whose probes all fail.
#[test]
fn ejection_times() {
    let mut health = Health::default();
    let mut now = Time(0);
    let mut times = Vec::new();
    while times.len() < 14 {
        if !health.failed(now, true) {
            continue;
        }
        let ejected = now;
        while health.state(now) == HealthState::Ejected {
            now = now + Millis(1);
        }
        times.push(now.since(ejected).as_millis());
    }
    insta::assert_snapshot!(joined(times, " "));
}

fn daemon(address: &str, cores: f64) -> Peers {
    let me = Identity {
        host: "h".parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        region: None,
        address: address.parse().unwrap(),
        run: 1,
        capacity: Capacity::from_cores(cores),
    };
    Peers::new(me, &[])
}

fn report(phase: Phase) -> SelfReport {
    SelfReport {
        phase,
        table: 1,
        fingerprint: 0,
        table_until: 0.into(),
        evacuations: Evacuations::default(),
        exhausted: false,
        catalogue: 0.into(),
        steady: true,
        read_ms: None,
        read_by: None,
        loads: Vec::new(),
        queues: Vec::new(),
        work: Vec::new(),
        backlogs: Vec::new(),
        services: Vec::new(),
    }
}

/// A daemon of one core that receives heartbeats: of two daemons as strong, two weaker, and a strong one that stops.
fn receiver() -> Peers {
    let mut me = daemon("10.0.0.1:7000", 1.0);
    for (address, cores, phase) in [
        ("10.0.0.2:7000", 1.0, Phase::Ready),
        ("[fd00::3]:7000", 1.0, Phase::Ready),
        ("10.0.0.1:7001", 0.5, Phase::Ready),
        ("10.0.0.5:7000", 0.25, Phase::Ready),
        ("10.0.0.6:7000", 4.0, Phase::Stopping),
    ] {
        let mut other = daemon(address, cores);
        let heartbeat = other.heartbeat(Time(0), report(phase)).heartbeat;
        me.receive_heartbeat(Time(0), heartbeat);
    }
    me
}

fn coordinator(peers: &Peers, service: &str, ready: bool, except: &[SocketAddr]) -> String {
    let service: ServiceId = service.parse().unwrap();
    match peers.coordinator(Time(0), &service, ready, except) {
        Coordinator::Local => "me".into(),
        Coordinator::Peer(address) => address.to_string(),
    }
}

/// For each service, the sequence of its coordinators when the ones before are excluded, both if the daemon itself is
/// ready and if it isn't.
#[test]
fn service_coordinators() {
    let peers = receiver();
    let mut lines = String::new();
    let services = [
        "encode",
        "retrieve",
        "rerank",
        "chat",
        "chat-large",
        "embed",
        "a",
        "b",
        "c",
        "d",
    ];
    for service in services {
        for ready in [true, false] {
            let mut except: Vec<SocketAddr> = Vec::new();
            let mut chain = Vec::new();
            loop {
                let next = coordinator(&peers, service, ready, &except);
                chain.push(next.clone());
                match next.parse() {
                    Ok(address) => except.push(address),
                    Err(_) => break,
                }
            }
            let chain = joined(chain, ", ");
            writeln!(lines, "{service} {ready}: {chain}").unwrap();
        }
    }
    let mut passing = receiver();
    passing.exclude_coordinator(Time(0), &"10.0.0.2:7000".parse().unwrap());
    for service in services {
        let next = coordinator(&passing, service, false, &[]);
        writeln!(lines, "{service} passed over: {next}").unwrap();
    }
    insta::assert_snapshot!(lines);
}

/// Attempts of a request: `s` is sent, `n` proven not to have run, `u` unreachable.
fn history(steps: &str) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    for step in steps.chars() {
        match step {
            's' => history.record_sent(),
            'n' => history.record_not_run(),
            _ => history.record_unreachable(),
        }
    }
    history
}

#[test]
fn attempt_rules() {
    let stream = |resumable| RouteKind::Stream {
        resumable,
        gap: Millis(500),
    };
    let kinds = [
        ("repeatable", RouteKind::Idempotent),
        ("guarded", RouteKind::NonIdempotent),
        ("resumable", stream(true)),
        ("stream", stream(false)),
    ];
    let mut lines = String::new();
    for steps in [
        "", "u", "s", "sn", "us", "ss", "snsn", "ssn", "snsnsn", "sss",
    ] {
        let history = history(steps);
        for (name, kind) in kinds {
            let allowed = (0..=4).filter(|attempts| may_retry(kind, *attempts, &history));
            let allowed = joined(allowed, " ");
            writeln!(lines, "{steps:?} {name}: may send of {allowed:?}").unwrap();
        }
        for late in [false, true] {
            let problem = history.problem(&UnansweredEnd {
                why: "why",
                last_result: &format!("after {steps:?}"),
                is_late: late,
                retry_after: Millis(250),
            });
            let back = problem.retry_after.map(|wait| wait.0);
            writeln!(lines, "{steps:?} late {late}: {problem}, {back:?}").unwrap();
        }
    }
    insta::assert_snapshot!(lines);
}
