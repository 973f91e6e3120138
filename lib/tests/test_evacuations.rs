//! Daemons agree on the evacuated data centres, in whatever order they receive reports.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    arbtest::{
        arbitrary::{Result, Unstructured},
        arbtest,
    },
    hazelyoke_lib::gateway::{
        directory::evacuations::{EvacuationOrder, Evacuations},
        hashes::data_centre_hash,
        revision::{Era, Revision},
    },
    std::collections::BTreeSet,
};

fn order(name: &str, revision: u64, evacuated: bool) -> EvacuationOrder {
    EvacuationOrder {
        data_centre: name.parse().unwrap(),
        revision: revision.into(),
        evacuated,
    }
}

fn listed(until: u64, orders: &[EvacuationOrder]) -> Evacuations {
    Evacuations::listed(until.into(), orders.iter())
}

fn names(evacuations: &Evacuations, among: &[&str]) -> Vec<String> {
    let is_named = |name: &&&str| evacuations.contains(data_centre_hash(&name.parse().unwrap()));
    among
        .iter()
        .filter(is_named)
        .map(|name| (*name).into())
        .collect()
}

/// A withdrawn order isn't restored by a daemon that hasn't received the withdrawal.
#[test]
fn withdrawn_stays() {
    let stale = listed(10, &[order("north", 9, true)]);
    let fresh = stale.after(20.into(), [order("north", 15, false)].iter());
    assert!(fresh.is_empty());
    for together in [stale.merged(&fresh), fresh.merged(&stale)] {
        assert!(together.is_empty());
        assert_eq!(together.until(), 20.into());
    }
}

/// A daemon that starts after an order was withdrawn doesn't take an older report for a new order.
#[test]
fn old_report_at_start() {
    let started = listed(20, &[]);
    let stale = listed(10, &[order("north", 9, true)]);
    assert!(started.merged(&stale).is_empty());
}

/// An order that is given again is in force, whichever daemon receives the withdrawal last.
#[test]
fn given_again() {
    let first = listed(10, &[order("north", 9, true)]);
    let again = first.after(
        30.into(),
        [order("north", 15, false), order("north", 25, true)].iter(),
    );
    let withdrawn = first.after(20.into(), [order("north", 15, false)].iter());
    for together in [again.merged(&withdrawn), withdrawn.merged(&again)] {
        assert_eq!(names(&together, &["north"]), ["north"]);
    }
}

/// Changes that arrive twice or late have no effect.
#[test]
fn late_changes() {
    let known = listed(20, &[]);
    let late = known.after(18.into(), [order("north", 12, true)].iter());
    assert_eq!(late, known);
}

const NAMES: [&str; 3] = ["north", "south", "west"];

/// Daemons that read parts of a history of orders and merge each other's states in any order end with the orders of the
/// directory. None returns to a state older than one that it had.
#[test]
fn any_order() {
    arbtest(|u| {
        let mut history = Vec::new();
        for revision in 1..=u.int_in_range(1..=12u64)? {
            let name = *u.choose(&NAMES)?;
            history.push(order(name, revision * 10, u.arbitrary()?));
        }
        let last = history.len() as u64 * 10;
        let mut daemons = vec![Evacuations::default(); 4];
        for _ in 0..u.int_in_range(0..=30u32)? {
            step(u, &history, last, &mut daemons)?;
        }
        let whole = at(&history, last);
        daemons[0] = daemons[0].merged(&whole);
        for index in 1..4 {
            daemons[index] = daemons[index].merged(&daemons[index - 1]);
        }
        for daemon in &daemons {
            assert_eq!(names(daemon, &NAMES), names(&whole, &NAMES));
        }
        Ok(())
    })
    .budget_ms(2_000);
}

/// One daemon reads the whole directory, or its changes, or receives the state of another daemon.
fn step(
    u: &mut Unstructured<'_>,
    history: &[EvacuationOrder],
    last: u64,
    daemons: &mut [Evacuations],
) -> Result<()> {
    let index = u.choose_index(daemons.len())?;
    let before = daemons[index].clone();
    let until = u.int_in_range(0..=last)?;
    daemons[index] = match u.int_in_range(0..=2u8)? {
        0 => before.merged(&at(history, until)),
        1 => {
            let since = before.until();
            let later = history.iter();
            let later =
                later.filter(|order| order.revision > since && order.revision <= until.into());
            before.after(until.into(), later)
        }
        _ => before.merged(&daemons[u.choose_index(daemons.len())?]),
    };
    let after = &daemons[index];
    assert!(after.until() >= before.until());
    assert_eq!(
        names(after, &NAMES),
        names(&at(history, after.until().number), &NAMES)
    );
    Ok(())
}

/// Returns the state of the directory at a revision.
fn at(history: &[EvacuationOrder], until: u64) -> Evacuations {
    let mut seen = BTreeSet::new();
    let known = history
        .iter()
        .rev()
        .filter(|order| order.revision <= until.into());
    let last: Vec<&EvacuationOrder> = known
        .filter(|order| seen.insert(order.data_centre.clone()))
        .collect();
    Evacuations::listed(until.into(), last.into_iter())
}

/// An order stays in force although a directory restored from an older copy lacks it, until it is withdrawn there or
/// isn't written again in time. It isn't sent to other daemons as an order of the later era.
#[test]
fn order_before_return() {
    let era = |number| Revision::new(Era(2), number);
    let known = listed(100, &[order("north", 90, true), order("south", 40, true)]).in_era(Era(1));
    let mut south = order("south", 40, true);
    south.revision = era(40);
    let copy = Evacuations::listed(era(50), [south].iter());
    for together in [known.merged(&copy), copy.merged(&known)] {
        assert_eq!(together.until(), era(50));
        assert!(names(&together, &["south"]) == ["south"]);
    }
    let together = known.merged(&copy);
    assert_eq!(names(&together, &["north", "south"]), ["north", "south"]);
    assert!(together.has_earlier_eras());
    let message: (u64, Vec<_>) = together.clone().into();
    assert_eq!((message.0, message.1.len()), (50, 1));
    let mut withdrawn = order("north", 51, false);
    withdrawn.revision = era(51);
    assert_eq!(
        names(&together.after(era(51), [withdrawn].iter()), &["north"]),
        [""; 0]
    );
    let remaining = together.without_earlier_eras();
    assert_eq!(names(&remaining, &["north", "south"]), ["south"]);
    assert!(!remaining.has_earlier_eras());
}
