//! Pins the figures that the rules of the pipeline daemon compute, as snapshots. They change only if a rule is meant to
//! change.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        pipeline::decision::{
            admission::RequiredTime,
            average::Average,
            endpoint::{Generation, LoadReport, Prefill},
            estimate::LoadEstimate,
            fair::FairShares,
            limit::CustomerUsage,
            member::PoolMember,
            policy::Policy,
            policy_choice::AnyPolicy,
            pool::Pool,
            retry::RetryBudget,
        },
        settings::{
            tree::{EndpointSpec, Service, ServiceKind},
            values::{PolicyKind, Priority, Settings},
        },
        shared::{
            ids::{CustomerId, MemberSerial},
            units::{Millis, Share, Time, WorkMillis},
        },
    },
    hazelyoke_testutils::draws::Draws,
    rand::{SeedableRng, rngs::SmallRng},
    std::{fmt::Write as _, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of lines of a run that a snapshot shows; the others count only in its hash.
const SHOWN: usize = 60;

/// Returns the first lines of a run and the hash of all.
fn excerpt(lines: &str) -> String {
    let shown: Vec<&str> = lines.lines().take(SHOWN).collect();
    let hash = xxh3_64(lines.as_bytes());
    let count = lines.lines().count();
    format!("{}\n{count} lines: {hash:016x}", shown.join("\n"))
}

fn report(draws: &mut Draws) -> LoadReport {
    LoadReport {
        backlog: WorkMillis(draws.below(900) as f64),
        running: draws.below(6) as u32,
        // A report with no slots is absurd, and the estimate ignores it.
        slots: draws.below(5) as u32,
        age: Millis(draws.below(2_300)),
        leaving: false,
    }
}

/// Pins a load estimate over calls of drawn lengths, occasional reports, and pauses that make the reports stale.
#[test]
fn load_estimates() {
    let mut draws = Draws::new(1);
    let mut load = LoadEstimate::new(2);
    let mut now = Time(5_000_000);
    let mut calls: Vec<(Time, WorkMillis)> = Vec::new();
    let mut lines = String::new();
    for _ in 0..600 {
        let longest = if draws.percent(3) { 4_000 } else { 60 };
        now = now + Millis(draws.below(longest));
        match draws.below(10) {
            0..=3 => {
                let work = WorkMillis(20.0 + draws.below(100) as f64);
                calls.push((now, load.sent(now, work)));
            }
            4..=7 if !calls.is_empty() => {
                let at = draws.below(calls.len() as u64) as usize;
                let (sent, expected) = calls.swap_remove(at);
                load.ended(sent, expected);
                load.correct(now, expected, WorkMillis(now.millis_since(sent)));
            }
            8 => load.report(now, report(&mut draws)),
            _ => {}
        }
        let finish = load.time_to_finish(now, WorkMillis(50.0));
        let at = now.0 / 1_000;
        writeln!(lines, "{at}: {} in flight, {finish}", load.in_flight()).unwrap();
    }
    insta::assert_snapshot!(excerpt(&lines));
}

#[test]
fn moving_averages() {
    const GUESS: WorkMillis = WorkMillis(40.0);
    let mut draws = Draws::new(2);
    let (mut free, mut bounded) = (Average::new(GUESS), Average::new(GUESS));
    let mut lines = String::new();
    for _ in 0..40 {
        let factor = if draws.percent(15) { 20.0 } else { 1.0 };
        let value = (10 + draws.below(90)) as f64 * factor;
        free.observe(WorkMillis(value));
        bounded.observe_bounded(WorkMillis(value));
        let (free, bounded) = (free.get().0, bounded.get().0);
        writeln!(lines, "{value}: {free:.4} {bounded:.4}").unwrap();
    }
    insta::assert_snapshot!(lines);
}

/// Pins the wait allowances of three customers, of which one requests most of the work, under a changing load.
#[test]
fn fair_rooms() {
    let names = ["large", "small", "rare"];
    let customers: Vec<CustomerId> = names.iter().map(|name| name.parse().unwrap()).collect();
    let mut draws = Draws::new(3);
    let mut shares = FairShares::default();
    let mut now = Time(0);
    let mut lines = String::new();
    for step in 0..2_000u64 {
        now = now + Millis(draws.below(40));
        let which = [0, 0, 0, 0, 0, 0, 1, 1, 1, 2][draws.below(10) as usize];
        let work = WorkMillis(5.0 + draws.below(60) as f64);
        shares.record_requested(now, work);
        shares.record_admitted(now, &customers[which], work);
        let wave = if step / 250 % 2 == 0 { 1.1 } else { 0.8 };
        shares.record_completed(now, WorkMillis(35.0 * wave));
        if step % 10 == 0 {
            let at = now.0 / 1_000;
            write!(lines, "{at}:").unwrap();
            for customer in &customers {
                write!(lines, " {:.4}", shares.wait_allowance(now, customer).0).unwrap();
            }
            lines.push('\n');
        }
    }
    insta::assert_snapshot!(excerpt(&lines));
}

/// Pins the limits of customers. A line has the steps of one: `+` is a request admitted, a number the wait in
/// milliseconds of one refused, `-` the end of a request.
#[test]
fn customer_limits() {
    let mut lines = String::new();
    for (rate, concurrency) in [
        ("none", "3"),
        ("20/s", "none"),
        ("0.5/s", "2"),
        ("7/s", "4"),
    ] {
        let mut settings = Settings::built_in();
        settings.rate.value = rate.parse().unwrap();
        settings.concurrency.value = concurrency.parse().unwrap();
        let mut draws = Draws::new(4);
        let mut customer = CustomerUsage::default();
        let (mut now, mut inside) = (Time(1), 0);
        write!(lines, "{rate} {concurrency}:").unwrap();
        for _ in 0..60 {
            now = now + Millis(draws.below(120));
            if inside > 0 && draws.percent(40) {
                customer.end_request();
                inside -= 1;
                lines.push_str(" -");
                continue;
            }
            match customer.start_request(now, &settings) {
                Ok(()) => {
                    inside += 1;
                    lines.push_str(" +");
                }
                Err(wait) => write!(lines, " {}", wait.0).unwrap(),
            }
        }
        lines.push('\n');
    }
    insta::assert_snapshot!(lines);
}

/// Pins the retry budget: `.` is a first attempt, which pays in, `+` a retry granted, `-` a retry refused.
#[test]
fn retry_grants() {
    let mut lines = String::new();
    for (share, retries) in [(0.0, 30), (0.1, 20), (0.2, 30), (1.0, 60)] {
        let mut draws = Draws::new(5);
        let mut budget = RetryBudget::default();
        let mut steps = String::new();
        for _ in 0..90 {
            if draws.percent(retries) {
                steps.push(if budget.withdraw() { '+' } else { '-' });
            } else {
                budget.deposit(Share(share));
                steps.push('.');
            }
        }
        writeln!(lines, "{share}: {steps}").unwrap();
    }
    insta::assert_snapshot!(lines);
}

fn policies() -> [(&'static str, AnyPolicy); 2] {
    [
        (
            "estimated",
            AnyPolicy::new(PolicyKind::Estimated, Millis(2)),
        ),
        ("naive", AnyPolicy::new(PolicyKind::Naive, Millis(2))),
    ]
}

/// Pins the admission: for each need and wait allowance, the least time left, in milliseconds, with which a request of
/// each priority is admitted, and with which it continues.
#[test]
fn admission_bounds() {
    let least = |admits: &dyn Fn(Millis) -> bool| (0..5_000).find(|ms| admits(Millis(*ms)));
    let mut lines = String::new();
    for (name, policy) in policies() {
        for (work, wait) in [(0.0, 0.0), (100.0, 0.0), (100.0, 50.0), (30.5, 400.0)] {
            let required = RequiredTime {
                work: WorkMillis(work),
                wait: WorkMillis(wait),
            };
            let goes_on = least(&|left| policy.continues(left, required));
            write!(lines, "{name} {work}+{wait}: goes on {goes_on:?}").unwrap();
            for allowance in [1.0, 0.4] {
                for priority in [Priority::Low, Priority::Normal, Priority::High] {
                    let admitted =
                        least(&|left| policy.admits(left, required, priority, Share(allowance)));
                    write!(lines, ", {priority} {allowance}: {admitted:?}").unwrap();
                }
            }
            lines.push('\n');
        }
    }
    insta::assert_snapshot!(lines);
}

fn pool(kind: ServiceKind) -> Pool {
    let endpoint = |number: u16| EndpointSpec {
        id: format!("e{number}").parse().unwrap(),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        data_centre: if number % 3 == 2 { "b" } else { "a" }.parse().unwrap(),
        leaving: number == 7,
    };
    let mut settings = Settings::built_in();
    settings.slots.value.0 = 2;
    let service = Service {
        id: "s".parse().unwrap(),
        kind,
        settings: settings.into(),
        endpoints: (0..10).map(|number| endpoint(number).into()).collect(),
    };
    let mut serial = 0;
    let mut next = || {
        serial += 1;
        MemberSerial(serial)
    };
    Pool::new(service.into(), &"a".parse().unwrap(), None, &mut next)
}

fn names(pool: &Pool, at: Option<usize>) -> String {
    at.map_or("none".into(), |at| pool.members[at].spec.id.to_string())
}

/// A call in flight.
struct Sent {
    at: Time,
    member: usize,
    work: WorkMillis,
    expected: WorkMillis,
}

/// Ends a call with a drawn result; returns a line if it failed.
fn end_call(pool: &mut Pool, call: &Sent, now: Time, draws: &mut Draws) -> Option<String> {
    let member = &mut pool.members[call.member];
    member.load.ended(call.at, call.expected);
    if draws.percent(15) {
        let (id, serial) = (member.spec.id.clone(), member.serial);
        let ejected = pool.failed(now, &id, serial);
        return Some(format!("{id} failed, ejected {ejected}"));
    }
    member.health.succeeded();
    let took = WorkMillis(now.millis_since(call.at));
    member.load.correct(now, call.expected, took);
    if draws.percent(20) {
        member.load.report(now, report(draws));
    }
    let served = WorkMillis(call.work.0 * draws.pick(&[0.5, 1.0, 1.0, 1.3, 9.0]));
    let prefill = Prefill {
        spent: WorkMillis(served.0 * 0.3),
        cached_bytes: 512 * draws.below(5),
    };
    let is_engine = pool.service.kind != ServiceKind::Plain;
    let size = pool.estimate_call(now, &[1; 2_048], 20).size;
    let generation = Generation {
        tokens: 20,
        prefill: is_engine.then_some(prefill),
    };
    pool.learn(&size, generation, served);
    None
}

/// Runs drawn calls at a pool, with failures, load reports and learnt costs; returns a line for each choice and
/// failure.
fn pool_course(policy: AnyPolicy, kind: ServiceKind, steps: u32) -> String {
    let mut pool = pool(kind);
    let mut draws = Draws::new(6);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut now = Time(3_000_000);
    let mut sent: Vec<Sent> = Vec::new();
    let mut lines = String::new();
    for _ in 0..steps {
        now = now + Millis(draws.below(25));
        let at = now.0 / 1_000;
        if sent.is_empty() || draws.percent(50) {
            let input = vec![draws.below(4) as u8; 512 * (1 + draws.below(8) as usize)];
            let estimate = pool.estimate_call(now, &input, 20);
            let tried: Vec<MemberSerial> = (0..draws.below(3))
                .map(|_| MemberSerial(1 + draws.below(10)))
                .collect();
            let choice = policy.choose(now, &mut pool, &estimate, &tried, &mut rng);
            let (work, name) = (estimate.work, names(&pool, choice));
            let back = pool.retry_after(now);
            let holders = estimate.holders.len();
            writeln!(lines, "{at}: {work}, {holders} holders: {name}; {back}").unwrap();
            if let Some(member) = choice {
                let PoolMember { serial, load, .. } = &mut pool.members[member];
                let (serial, expected) = (*serial, load.sent(now, work));
                pool.record_prompt(now, serial, &estimate.size.prefix);
                sent.push(Sent {
                    at: now,
                    member,
                    work,
                    expected,
                });
            }
            continue;
        }
        let call = sent.swap_remove(draws.below(sent.len() as u64) as usize);
        if let Some(failed) = end_call(&mut pool, &call, now, &mut draws) {
            writeln!(lines, "{at}: {failed}").unwrap();
        }
    }
    lines
}

#[test]
fn pool_choices() {
    let mut lines = String::new();
    for (name, policy) in policies() {
        let engine = ServiceKind::Engine {
            model: Arc::from("m"),
        };
        for (kind_name, kind) in [("plain", ServiceKind::Plain), ("engine", engine)] {
            let course = pool_course(policy, kind, 1_500);
            let shown: Vec<&str> = course.lines().take(SHOWN / 3).collect();
            let hash = xxh3_64(course.as_bytes());
            let shown = shown.join("\n");
            writeln!(lines, "{name} {kind_name}: {hash:016x}\n{shown}").unwrap();
        }
    }
    insta::assert_snapshot!(lines);
}
