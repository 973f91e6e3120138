//! Taking votes over from peers that voted for different attempts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hazelyoke_lib::{
    claim::{ClaimConfig, Rules},
    claim_message::{Body, ClaimKey, Holder, Incarnation, KnownVote, Progress, VotesPart},
    claim_witness::Witness,
    ids::HostId,
    units::{Millis, Time},
};

const KEY: ClaimKey = ClaimKey(7);
const OLD: Incarnation = Incarnation(1);

fn host(number: usize) -> HostId {
    format!("h{number}").parse().unwrap()
}

fn holder(number: usize) -> Holder {
    Holder {
        host: host(number),
        incarnation: OLD,
        number: 1,
    }
}

/// A new process of `h2` among five hosts.
fn new_process() -> Witness {
    let config = ClaimConfig {
        host: host(2),
        roster: (0..5).map(host).collect(),
        window: Millis(60),
        lease: Millis(100),
        horizon: Millis(600_000),
        first_start: false,
        rules: Rules::default(),
    };
    Witness::new(config, Incarnation::new(2, 9), Time(1))
}

/// Acknowledges the last heartbeat by two voting peers, which makes a majority with the process.
fn acknowledge(witness: &mut Witness, now: Time, sends: &[(HostId, Body)]) {
    let incarnation = witness.incarnation();
    for (to, body) in sends {
        if let Body::Heartbeat { number, .. } = body
            && [host(0), host(1)].contains(to)
        {
            let ack = Body::Ack {
                incarnation,
                number: *number,
                progress: Progress::Voting,
            };
            witness.receive(now, to, OLD, ack);
        }
    }
}

#[test]
fn differing_votes() {
    let mut witness = new_process();
    let sends = witness.tick(Time(1));
    acknowledge(&mut witness, Time(1), &sends);
    let now = Time(1) + Millis(161);
    let sends = witness.tick(now);
    let reading = sends.iter().find_map(|(_, body)| match body {
        Body::ReadVotes { number } => Some(*number),
        _ => None,
    });
    // h0 voted for the attempt that holds the key, h1 for one that was given up.
    for (peer, voted) in [(0, Some(0)), (1, Some(1)), (3, None)] {
        let votes = voted.map(|number| KnownVote {
            key: KEY,
            holder: holder(number),
            age: Millis(5),
        });
        let body = Body::Votes {
            incarnation: witness.incarnation(),
            number: reading.unwrap(),
            part: VotesPart {
                part: 0,
                parts: 1,
                votes: votes.into_iter().collect(),
            },
            processes: Vec::new(),
        };
        witness.receive(now, &host(peer), OLD, body);
    }
    acknowledge(&mut witness, now, &sends);
    assert!(witness.is_voting(now));
    // The release of one must not free the key from the other, whichever it is.
    witness.release(KEY, &holder(1));
    assert_eq!(witness.vote(now, KEY, &holder(4)), Some(holder(0)));
    witness.release(KEY, &holder(0));
    assert_eq!(witness.vote(now, KEY, &holder(4)), Some(holder(4)));
}

#[test]
fn distinct_processes() {
    let (one, other) = (Incarnation::new(3, 1), Incarnation::new(4, 2));
    let known = Incarnation::new(9, 5);
    assert!(one.above(known) > known && other.above(known) > known);
    assert_ne!(one.above(known), other.above(known));
}

/// A witness of a whole new roster, which votes at once and holds a lease from `now` on.
fn voting(number: usize, rules: Rules, now: Time) -> Witness {
    let config = ClaimConfig {
        host: host(number),
        roster: (0..5).map(host).collect(),
        window: Millis(60),
        lease: Millis(100),
        horizon: Millis(600_000),
        first_start: true,
        rules,
    };
    let mut witness = Witness::new(config, OLD, now);
    for (at, progress) in [(now, Progress::Fresh), (now + Millis(25), Progress::Voting)] {
        for (to, body) in witness.tick(at) {
            if let Body::Heartbeat { number, .. } = body {
                let ack = Body::Ack {
                    incarnation: OLD,
                    number,
                    progress,
                };
                witness.receive(at, &to, OLD, ack);
            }
        }
    }
    witness
}

/// Votes that two attempts at a key get when `h2` was replaced while its old process was paused:
/// the new one votes for the first attempt, the old one wakes and is asked by the second.
fn votes_after_pause(rules: Rules) -> (usize, usize) {
    let start = Time(1);
    let paused = voting(2, rules, start);
    let later = start + Millis(1_000);
    let mut first: Vec<_> = [0, 1, 2].map(|number| voting(number, rules, later)).into();
    let mut second: Vec<_> = [3, 4].map(|number| voting(number, rules, later)).into();
    second.push(paused);
    let now = later + Millis(30);
    let count = |witnesses: &mut Vec<Witness>, number: usize| {
        let holder = holder(number);
        let votes = witnesses.iter_mut();
        let votes = votes.filter_map(|witness| witness.vote(now, KEY, &holder));
        votes.filter(|voted| *voted == holder).count()
    };
    (count(&mut first, 0), count(&mut second, 4))
}

#[test]
fn paused_process() {
    // Three votes win: with the lease only one attempt has them, without it both would.
    assert_eq!(votes_after_pause(Rules::default()), (3, 2));
    let without_lease = Rules {
        lease: false,
        ..Rules::default()
    };
    assert_eq!(votes_after_pause(without_lease), (3, 3));
}
