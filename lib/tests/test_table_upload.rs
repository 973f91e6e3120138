//! When a daemon sends another batch of a table's chunks, checked on both sides of each bound.

use hazelyoke_lib::{
    gateway::rules::table_upload::Uploads,
    shared::units::{BitRate, ByteSize, Millis, Time},
};

/// A batch that takes 100 ms over half of a link of 10 Mbit/s.
const BATCH: ByteSize = ByteSize(62_500);
const THIN: Option<BitRate> = Some(BitRate(10e6));

#[test]
fn full_link() {
    let now = Time(5_000_000);
    let one = Uploads::default().with(now, BATCH, THIN);
    assert!(one.may_send(now));
    let two = one.with(now, BATCH, THIN);
    assert!(!two.may_send(now));
    assert!(!two.may_send(now + Millis(49)));
    assert!(two.may_send(now + Millis(50)));
}

/// Idle time of the link isn't credited to later batches.
#[test]
fn idle_link() {
    let one = Uploads::default().with(Time(0), BATCH, THIN);
    let later = Time(60_000_000);
    let two = one.with(later, BATCH, THIN).with(later, BATCH, THIN);
    assert!(!two.may_send(later));
}

#[test]
fn unknown_link() {
    let now = Time(1);
    let many = (0..1_000).fold(Uploads::default(), |uploads, _| {
        uploads.with(now, BATCH, None)
    });
    assert!(many.may_send(now));
}
