//! Checks from the callers' side that no answer was lost, and traces each that was from the daemons' logs.

use {
    super::{
        callers::{Outcome, PATIENCE},
        endpoints::EVENTS,
        fleet::{GRACE_S, Host},
        work::World,
    },
    hazelyoke_lib::timeline::{HostLog, RequestTimeline},
    std::{
        fs,
        time::{Duration, Instant},
    },
};

/// Time before the end of a caller's patience from which an answer may end because of it, in milliseconds.
const DEADLINE_SLACK_MS: u128 = 100;

/// Time after which a connection that closes has to be answered first, in milliseconds: the platform's bound, and a
/// period in which the host stands still.
const LOSS_SLACK_MS: u128 = 300;

/// Time after the begin of a stop within which a request is sent that may be cut at the end of the stop's grace period, if its
/// endpoint is still at work then.
const EARLY_IN_STOP: Duration = Duration::from_secs(3);

/// Time after the begin of a stop from which the grace period counts as ending: five sixths of it.
const GRACE_END: Duration = Duration::from_millis(GRACE_S * 1_000 * 5 / 6);

/// Returns a description of each loss, with its timeline, and prints what became of all requests.
pub fn check(outcomes: &[Outcome], world: &World) -> Vec<String> {
    let hosts = world.hosts.borrow();
    let whole = outcomes
        .iter()
        .filter(|one| one.status == Some(200) && one.whole);
    let left = outcomes.iter().filter(|one| one.left);
    println!(
        "{} requests, {} served, {} left by their callers",
        outcomes.len(),
        whole.count(),
        left.count()
    );
    for is_herded in [false, true] {
        let some: Vec<_> = outcomes
            .iter()
            .filter(|one| one.is_herded == is_herded)
            .collect();
        let served = some
            .iter()
            .filter(|one| one.status == Some(200) && one.whole)
            .count();
        let times = some.iter().map(|one| one.took.as_millis());
        println!(
            "herded {is_herded}: {} requests, {served} served at the first attempt, {} ms at most",
            some.len(),
            times.max().unwrap_or_default()
        );
    }
    let lost: Vec<_> = outcomes.iter().filter(|one| is_lost(one, world)).collect();
    let mut findings: Vec<String> = Vec::new();
    if !lost.is_empty() {
        let logs: Vec<HostLog> = hosts.iter().map(read_log).collect();
        findings.extend(lost.iter().map(|outcome| trace(outcome, &logs)));
    }
    findings.extend(outcomes.iter().filter_map(check_events));
    findings.extend(hosts.iter().filter_map(Host::check_memory));
    findings
}

fn is_lost(outcome: &Outcome, world: &World) -> bool {
    if outcome.whole || outcome.left {
        return false;
    }
    let took = outcome.took.as_millis();
    if took + DEADLINE_SLACK_MS >= PATIENCE.as_millis() {
        return false;
    }
    if outlasts_grace(outcome, &world.hosts.borrow()[outcome.host]) {
        return false;
    }
    outcome.status.is_some() || took > LOSS_SLACK_MS || world.endpoints.has_run(&outcome.id)
}

/// Returns whether a stream that lacks events was cut at the end of a planned stop's grace period, and its request was sent
/// early in the stop.
fn outlasts_grace(outcome: &Outcome, host: &Host) -> bool {
    let ended = outcome.sent + outcome.took;
    let grace = Duration::from_secs(GRACE_S);
    let cut = |stop: &Instant| {
        (*stop..*stop + EARLY_IN_STOP).contains(&outcome.sent)
            && (*stop + GRACE_END..*stop + grace).contains(&ended)
    };
    let lacks_events = is_stream(outcome) && (event_ids(outcome).len() as u64) < EVENTS;
    lacks_events && host.stops.iter().any(cut)
}

fn is_stream(outcome: &Outcome) -> bool {
    outcome.path != "/r/" && outcome.status == Some(200)
}

/// Returns the ids of the events that the caller received.
fn event_ids(outcome: &Outcome) -> Vec<u64> {
    let lines = outcome.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// Checks that the events of a stream are complete and in order.
fn check_events(outcome: &Outcome) -> Option<String> {
    let ids = event_ids(outcome);
    let is_ordered = ids.iter().zip(1..).all(|(id, wanted)| *id == wanted);
    let is_complete = !outcome.whole || ids.len() as u64 == EVENTS;
    (is_stream(outcome) && !(is_ordered && is_complete))
        .then(|| format!("{}: events {ids:?}", outcome.id))
}

fn trace(outcome: &Outcome, logs: &[HostLog]) -> String {
    let timeline = RequestTimeline::from_logs(&outcome.id, logs);
    let lines = timeline.lines.iter();
    let lines: Vec<String> = lines.map(|line| format!("    {line}")).collect();
    let explained = timeline
        .lines
        .iter()
        .filter_map(|line| line.explain_early_end());
    let explained: Vec<String> = explained.collect();
    format!(
        "  {} {} at host {} lost after {} ms, status {:?}: {}\n{}",
        outcome.id,
        outcome.path,
        outcome.host,
        outcome.took.as_millis(),
        outcome.status,
        explained.join(" "),
        lines.join("\n"),
    )
}

fn read_log(host: &Host) -> HostLog {
    let bytes = fs::read(&host.log).unwrap_or_default();
    HostLog {
        host: host.name.clone(),
        text: String::from_utf8_lossy(&bytes).into_owned(),
    }
}
