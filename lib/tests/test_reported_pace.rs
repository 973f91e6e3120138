//! Endpoints that report their own slowdown.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            dialect::{Prompt, ReplyLoad, ReportedSlowdown, SlowdownReport},
            directory::endpoint_entry::EndpointEntry,
            routing::endpoint_states::EndpointStates,
            rules::{
                cold_share::ColdShare,
                eligibility::AllowedDataCentres,
                endpoint_choice::{EndpointChoice, EndpointRequest},
                reply_proof::EndpointOutcome,
                reported_slowdown::factor,
            },
        },
        shared::{
            ids::DataCentreId,
            units::{Millis, Time, WorkMillis},
        },
    },
    hazelyoke_testutils::draws::Draws,
    std::sync::Arc,
};

const NOW: Time = Time(60_000_000);

/// Usual time of a call, in milliseconds.
const CALL_MS: f64 = 60.0;

fn pace(hundredths: u32) -> SlowdownReport {
    SlowdownReport::Valid(ReportedSlowdown::try_from(hundredths).unwrap())
}

fn load(slowdown: SlowdownReport) -> ReplyLoad {
    ReplyLoad {
        running: 1,
        waiting: 0,
        slots: 6,
        slowdown,
    }
}

fn entry(number: usize) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        slots: 6,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: 1.into(),
    })
}

fn endpoints(count: usize) -> EndpointStates {
    let mut states = EndpointStates::default();
    for number in 0..count {
        states.upsert(NOW, entry(number));
    }
    states
}

fn choice(states: &EndpointStates, now: Time) -> EndpointChoice {
    let here: DataCentreId = "here".parse().unwrap();
    let prompt = Prompt::default();
    let request = EndpointRequest {
        prompt: &prompt,
        affinity: false,
        tried: &[],
        inputs: &[],
        connection_limit: u32::MAX,
        allowed: &AllowedDataCentres::Anywhere,
        origin: None,
        cold_share: ColdShare::Unlimited,
        cold_start: Millis(0),
        urgency: 0,
    };
    let service = "s".parse().unwrap();
    states.choose(now, &here, &service, &request).unwrap()
}

fn chosen(states: &EndpointStates, now: Time) -> Arc<EndpointEntry> {
    choice(states, now).entry
}

/// A report expires after a short time; a missing or invalid one counts as the usual time.
#[test]
fn reports_age() {
    let last = |pace| Some((NOW, load(pace)));
    assert_eq!(factor(NOW, last(pace(250))), 2.5);
    assert_eq!(factor(NOW + Millis(400), last(pace(250))), 2.5);
    assert_eq!(factor(NOW + Millis(401), last(pace(250))), 1.0);
    assert_eq!(factor(NOW, last(SlowdownReport::None)), 1.0);
    assert_eq!(factor(NOW, last(SlowdownReport::Invalid)), 1.0);
    assert_eq!(factor(NOW, None), 1.0);
}

#[test]
fn bounds_of_paces() {
    for hundredths in [1, 100, 10_000] {
        assert!(ReportedSlowdown::try_from(hundredths).is_ok());
    }
    for hundredths in [0, 10_001, u32::MAX] {
        assert!(ReportedSlowdown::try_from(hundredths).is_err());
    }
}

/// An endpoint that reports that it is slow is avoided while the report is valid.
#[test]
fn slow_passed_over() {
    let mut states = endpoints(2);
    let slow = entry(0);
    assert!(!states.record_load(NOW, &slow, load(pace(300))));
    assert_eq!(chosen(&states, NOW).id, entry(1).id);
    states.record_load(NOW, &entry(1), load(pace(400)));
    assert_eq!(chosen(&states, NOW).id, slow.id);
}

/// An invalid slowdown is reported once.
#[test]
fn unclear_once() {
    let mut states = endpoints(1);
    let told = |states: &mut EndpointStates| {
        states.record_load(NOW, &entry(0), load(SlowdownReport::Invalid))
    };
    assert!(told(&mut states));
    assert!(!told(&mut states));
}

/// Slow calls don't change the learned usual time of a call if their replies report the slowdown.
#[test]
fn usual_time_learnt() {
    let mut states = endpoints(1);
    let one = entry(0);
    for _ in 0..60 {
        states.record_sent(NOW, &one, &Prompt::default(), 0);
        states.record_load(NOW, &one, load(pace(250)));
        states.record_ended(
            NOW,
            &one,
            EndpointOutcome::Served(Some(WorkMillis(CALL_MS * 2.5))),
        );
    }
    let later = NOW + Millis(2_000);
    let expected = choice(&states, later).expected;
    assert!((expected.0 - CALL_MS).abs() < 1.0, "{expected}");
}

/// Returns how many of 3,000 calls at six endpoints take over twice the usual time. Each endpoint is 2.5 times as slow
/// for about a seventh of the time, in periods of 100 ms or more; its replies report that if `reports` is set.
fn slow_calls(reports: bool, seed: u64) -> usize {
    const SPELL: u64 = 100;
    let mut draws = Draws::new(seed);
    let mut states = endpoints(6);
    let mut slow = [false; 6];
    let mut late = 0;
    for call in 0..3_000_u64 {
        let now = NOW + Millis(call * 10);
        if (call * 10).is_multiple_of(SPELL) {
            slow = std::array::from_fn(|_| draws.percent(15));
        }
        let entry = chosen(&states, now);
        let number: usize = entry.id.as_str()[1..].parse().unwrap();
        let hundredths = if slow[number] { 250 } else { 100 };
        states.record_sent(now, &entry, &Prompt::default(), 0);
        if reports {
            states.record_load(now, &entry, load(pace(hundredths)));
        }
        let took = WorkMillis(CALL_MS * f64::from(hundredths) / 100.0);
        states.record_ended(now, &entry, EndpointOutcome::Served(Some(took)));
        late += usize::from(slow[number]);
    }
    late
}

/// Reports in the replies to the daemon's own calls avoid slow calls even if hosts change ten times a second.
#[test]
fn fewer_slow_calls() {
    let with: usize = (1..=5).map(|seed| slow_calls(true, seed)).sum();
    let without: usize = (1..=5).map(|seed| slow_calls(false, seed)).sum();
    assert!(
        with * 10 < without * 9,
        "{with} with reports, {without} without"
    );
}
