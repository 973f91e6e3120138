//! Checks of the daemons' guarantees against what callers and replicas observed.

use {
    super::{
        caller::{Kind, Outcome, event_ids},
        fleet::{EVENTS, Member},
        harm::HARMFUL_PREFIX,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Descriptions of broken guarantees, each beginning with the id of the request that shows it.
pub type Findings = Vec<String>;

/// Checks all requests of a run. With `planned`, the run had planned work only, so that no reply to a request that ran
/// may be lost.
pub fn check(outcomes: &[Outcome], members: &[Member], planned: bool) -> Findings {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for id in members.iter().flat_map(|member| member.replica.ran()) {
        *runs.entry(id).or_default() += 1;
    }
    let mut findings = Findings::new();
    for outcome in outcomes {
        let ran = runs.get(&outcome.id).copied().unwrap_or(0);
        findings.extend(check_runs(outcome, ran));
        findings.extend(check_answer(outcome));
        if planned && !outcome.left && !outcome.whole && ran > 0 {
            findings.push(format!(
                "{}: reply lost during planned work: {outcome:?}",
                outcome.id
            ));
        }
    }
    findings.extend(check_stream_versions(outcomes));
    findings.extend(check_sent(outcomes, members));
    findings
}

/// Checks that a request that isn't repeatable ran at most once, and never if its caller was told that it didn't run.
fn check_runs(outcome: &Outcome, ran: usize) -> Option<String> {
    let runs_once = matches!(outcome.kind, Kind::Guarded | Kind::Staged);
    if runs_once && ran > 1 {
        return Some(format!("{}: ran {ran} times", outcome.id));
    }
    let refused = outcome
        .status
        .is_some_and(|status| NOT_RUN.contains(&status));
    if runs_once && refused && ran > 0 {
        return Some(format!(
            "{}: refused as not run, but ran on a replica",
            outcome.id
        ));
    }
    None
}

/// Checks that a reply that looks complete is a replica's complete reply to this request.
fn check_answer(outcome: &Outcome) -> Option<String> {
    let wrong = |what: &str| Some(format!("{}: {what}: {outcome:?}", outcome.id));
    if outcome.status != Some(200) {
        return None;
    }
    if outcome.stamp.is_none() {
        return wrong("a successful reply without its replica's stamp");
    }
    if outcome.kind.is_stream() && outcome.body != "slow" {
        let ids = event_ids(&outcome.body);
        let before = outcome.taken_up.as_ref();
        let before = before.map_or(0, |stream| stream.last_event);
        if ids
            .iter()
            .zip(before + 1..)
            .any(|(id, wanted)| *id != wanted)
        {
            return wrong("events are missing, duplicated or out of order");
        }
        if outcome.whole && before + ids.len() as u64 != EVENTS {
            return wrong("a stream that ended early looks complete");
        }
        return None;
    }
    let whole = outcome.body == outcome.id || outcome.body == "slow";
    if outcome.whole && !whole {
        return wrong("the reply belongs to another request");
    }
    None
}

/// Checks that all events of a stream, over the answers in which its caller got them, are of one software version.
/// Prints how many streams that were taken up went on.
fn check_stream_versions(outcomes: &[Outcome]) -> Findings {
    let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for outcome in outcomes
        .iter()
        .filter(|outcome| outcome.kind == Kind::Stream)
    {
        let first = outcome.taken_up.as_ref().map(|stream| &*stream.first);
        let seen = versions.entry(first.unwrap_or(&outcome.id)).or_default();
        let events = outcome
            .body
            .split("\n\n")
            .filter(|event| event.starts_with("id: "));
        seen.extend(events.map(|event| {
            let mut lines = event.lines();
            lines
                .find_map(|line| line.strip_prefix("event: "))
                .unwrap_or("v1")
        }));
    }
    let taken_up = outcomes.iter().filter(|outcome| outcome.taken_up.is_some());
    let went_on = taken_up
        .clone()
        .filter(|outcome| outcome.status == Some(200));
    println!(
        "{} streams taken up, {} went on",
        taken_up.count(),
        went_on.count()
    );
    let mixed = versions.iter().filter(|(_, seen)| seen.len() > 1);
    mixed
        .map(|(first, seen)| format!("{first}: a stream has events of the versions {seen:?}"))
        .collect()
}

/// Checks that replicas received only requests that callers sent, with target and body unchanged.
fn check_sent(outcomes: &[Outcome], members: &[Member]) -> Findings {
    let sent: BTreeMap<&str, Kind> = outcomes
        .iter()
        .map(|outcome| (outcome.id.as_str(), outcome.kind))
        .collect();
    let seen = members.iter().flat_map(|member| member.replica.received());
    seen.filter_map(|seen| {
        let id = seen.id();
        let is_probe = id.starts_with("end-") || id.starts_with(HARMFUL_PREFIX);
        let known = sent
            .get(id)
            .is_some_and(|kind| seen.head.starts_with(&format!("POST {}{id} ", kind.path())));
        (!is_probe && (!known || seen.body != id))
            .then(|| format!("{id}: a replica got a request that no caller sent: {seen:?}"))
    })
    .collect()
}
