//! Limits on what a fleet sends to an endpoint that advertises a rate limit, whatever daemons know about each other.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod rates;

use {
    hazelyoke_lib::{
        gateway::{
            dialect::AdvertisedRate,
            hashes::IncarnationHash,
            rates::{
                note::RateNote,
                store::{EndpointRates, ObservedRate, RateChange},
            },
            rules::endpoint_rate::{
                Claim, MIN_RATE, Permit, PermitPool, RateShare, Tokens, effective_rate,
            },
        },
        shared::{
            ids::ServiceId,
            units::{Millis, Rate, Time},
        },
    },
    hazelyoke_testutils::draws::Draws,
    rates::{Counted, Demand, Fault, FaultKind, Method, Model, Plan, allowed},
    std::net::SocketAddr,
};

fn plan(daemons: usize, rate: f64, demand: Demand) -> Plan {
    Plan {
        method: Method::Permits,
        daemons,
        rate,
        load: 60.0,
        wait_ms: 0,
        demand,
        seconds: 30,
        faults: Vec::new(),
        seed: 1,
    }
}

fn run(plan: &Plan) -> Counted {
    let counted = Model::new(plan.clone()).run();
    println!("{plan:?}: {counted:?}");
    counted
}

const DEMANDS: [Demand; 3] = [Demand::Even, Demand::AtOne, Demand::Moving];

/// Fleets of any size stay within the rate. If no other endpoint can serve, they also use most of it, whichever daemons
/// get the requests.
#[test]
fn only_endpoint() {
    for daemons in [2, 6, 30, 300] {
        for rate in [1.0, 6.0, 20.0] {
            for demand in DEMANDS {
                let plan = Plan {
                    wait_ms: 50,
                    ..plan(daemons, rate, demand)
                };
                let counted = run(&plan);
                assert!(counted.most <= allowed(rate), "{plan:?} {counted:?}");
                // A daemon whose callers have just left still gets permits for a short time.
                let least = if daemons <= 6 && demand != Demand::Moving {
                    0.9
                } else {
                    0.7
                };
                assert!(counted.used >= least, "{plan:?} {counted:?}");
            }
        }
    }
}

/// The bound also holds if other endpoints serve instead, so that no request waits for a permit.
#[test]
fn others_serve() {
    for daemons in [2, 6, 30, 300] {
        for rate in [1.0, 6.0, 20.0] {
            for demand in DEMANDS {
                let plan = plan(daemons, rate, demand);
                let counted = run(&plan);
                assert!(counted.most <= allowed(rate), "{plan:?} {counted:?}");
            }
        }
    }
}

/// Even shares, as used for cold endpoints, stay within the rate as well, but a daemon that gets all requests can only
/// use its own share.
#[test]
fn even_shares_compared() {
    for daemons in [6, 30, 300] {
        for rate in [1.0, 6.0, 20.0] {
            for demand in DEMANDS {
                let plan = Plan {
                    method: Method::EvenShares,
                    wait_ms: 50,
                    ..plan(daemons, rate, demand)
                };
                let counted = run(&plan);
                assert!(counted.most <= allowed(rate), "{plan:?} {counted:?}");
                if demand == Demand::AtOne {
                    assert!(counted.used < 0.25, "{plan:?} {counted:?}");
                }
            }
        }
    }
}

const FAULT_KINDS: [FaultKind; 5] = [
    FaultKind::Mute,
    FaultKind::Deaf,
    FaultKind::Stalled,
    FaultKind::ActsAsCoordinator,
    FaultKind::Restart,
];

/// The bound holds in any window under random faults of any daemon, the coordinator included: messages lost in one
/// direction, stalls, restarts, and daemons that wrongly act as coordinator. All requests count, also those of faulty
/// daemons, except what a daemon that has just started sends before it receives the first report.
#[test]
fn drawn_troubles() {
    for seed in 0..200 {
        let mut draws = Draws::new(seed);
        let daemons = *draws.pick(&[2, 6, 30]);
        let rate = *draws.pick(&[0.0, 0.4, 1.0, 1.1, 6.0, 20.0]);
        let demand = *draws.pick(&[Demand::Even, Demand::AtOne, Demand::Moving]);
        let faults = (0..draws.below(8)).map(|_| {
            let start = draws.below(20_000);
            let length = *draws.pick(&[300, 1_000, 3_000, 8_000]);
            Fault {
                daemon: draws.below(daemons as u64) as usize,
                time: start..start + length,
                kind: *draws.pick(&FAULT_KINDS),
            }
        });
        let plan = Plan {
            faults: faults.collect(),
            load: *draws.pick(&[5.0, 60.0, 300.0]),
            seed,
            ..plan(daemons, rate, demand)
        };
        let counted = run(&plan);
        assert!(counted.most <= allowed(rate), "{plan:?} {counted:?}");
    }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

const NOW: Time = Time(5_000_000);
const RATE: Rate = Rate(2.0);

/// The most urgent claim goes first; among equal ones, the daemon whose last permit is the oldest.
#[test]
fn order_of_claims() {
    let mut pool = PermitPool::default();
    pool.deposit(NOW, Rate(20.0), Tokens(4.0));
    pool.claim(NOW, address(1), Claim(5));
    pool.claim(NOW, address(2), Claim(1));
    pool.claim(NOW, address(3), Claim(5));
    let order: Vec<SocketAddr> = (0..4).filter_map(|_| pool.grant(NOW)).collect();
    assert_eq!(order, [2, 1, 3].map(address));
    pool.claim(NOW, address(3), Claim(5));
    pool.claim(NOW, address(4), Claim(5));
    assert_eq!(pool.grant(NOW), Some(address(4)));
    assert_eq!(pool.grant(NOW), None);
}

/// Unused shares, tokens and permits are lost, so that nothing accumulates.
#[test]
fn nothing_saved_up() {
    let mut pool = PermitPool::default();
    pool.deposit(NOW, RATE, Tokens(50.0));
    pool.claim(NOW, address(1), Claim(0));
    assert_eq!(pool.grant(NOW), Some(address(1)));
    pool.claim(NOW, address(1), Claim(0));
    assert_eq!(pool.grant(NOW), None);
    let mut share = RateShare::new(NOW);
    share.accrue(NOW + Millis(60_000), RATE, 4);
    assert_eq!(share.take(), Tokens(0.5));
    assert_eq!(share.take(), Tokens(0.0));
    let permit = Permit::new(NOW, RATE, Claim(0));
    assert!(permit.is_valid(NOW + Millis(1_999)));
    assert!(!permit.is_valid(NOW + Millis(2_000)));
}

/// A permit is reserved for urgent requests for half of its lifetime; after that, any request may use it.
#[test]
fn kept_for_urgent() {
    let permit = Permit::new(NOW, RATE, Claim(3));
    assert!(permit.serves(NOW, 3) && permit.serves(NOW, 0));
    assert!(!permit.serves(NOW, 4));
    assert!(!permit.serves(NOW + Millis(999), 4));
    assert!(permit.serves(NOW + Millis(1_000), 4));
}

/// An endpoint that advertises a rate of 0 still gets a request now and then.
#[test]
fn least_rate() {
    assert_eq!(effective_rate(Rate(0.0)), MIN_RATE);
    assert_eq!(effective_rate(RATE), RATE);
}

/// The wait grows with the claims that go first, but not with less urgent ones.
#[test]
fn wait_for_permit() {
    let mut pool = PermitPool::default();
    pool.claim(NOW, address(1), Claim(5));
    pool.claim(NOW, address(2), Claim(1));
    assert_eq!(pool.wait(NOW, RATE, address(1)), Millis(1_000));
    assert_eq!(pool.wait(NOW, RATE, address(2)), Millis(500));
}

fn seen(rate: Option<f64>, sent: Time) -> ObservedRate {
    let advertised = rate.map(|rate| AdvertisedRate {
        rate: Rate(rate),
        valid: true,
    });
    ObservedRate { advertised, sent }
}

/// A reported rate equals the observed one, whatever its digits, so that observing it again is no change.
#[test]
fn same_rate_told() {
    let service: ServiceId = "s".parse().unwrap();
    let incarnation = IncarnationHash(7);
    let mut rates = EndpointRates::default();
    let began = rates.observe(NOW, incarnation, &service, seen(Some(0.333_333), NOW));
    assert!(matches!(began, Some(RateChange::Began(_))));
    let messages = rates.messages(NOW, Some(6));
    let report = messages[0].announcement.unwrap();
    let later = NOW + Millis(50);
    let newer = RateNote {
        age_ms: 0,
        ..report
    };
    assert_eq!(rates.merge(later, &service, &newer), None);
    let again = rates.observe(later, incarnation, &service, seen(Some(0.333_333), later));
    assert_eq!(again, None);
}

/// A reply without a rate ends the limit only if its request was sent after the rate was known. Older reports don't
/// restore the limit, neither here nor at daemons that received the report of its end.
#[test]
fn end_of_rate() {
    let service: ServiceId = "s".parse().unwrap();
    let incarnation = IncarnationHash(7);
    let mut rates = EndpointRates::default();
    rates.observe(NOW, incarnation, &service, seen(Some(2.0), NOW));
    let named = rates.messages(NOW, Some(6))[0].announcement.unwrap();
    let later = NOW + Millis(500);
    assert_eq!(
        rates.observe(later, incarnation, &service, seen(None, NOW)),
        None
    );
    assert!(!rates.may_send(later, incarnation, 0));
    let sent = NOW + Millis(100);
    let ended = rates.observe(later, incarnation, &service, seen(None, sent));
    assert_eq!(ended, Some(RateChange::Ended));
    assert!(rates.may_send(later, incarnation, 0));
    let older = RateNote {
        age_ms: 700,
        ..named
    };
    assert_eq!(rates.merge(later, &service, &older), None);
    assert_eq!(rates.limited(), 0);
    rates.forget(incarnation);
    assert!(!rates.knows(incarnation));
}
