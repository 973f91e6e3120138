//! Counts of the outstanding pieces that are served before a piece, as daemons keep and exchange them.

use {
    arbtest::arbtest,
    hazelyoke_lib::{
        gateway::rules::{
            backlog::{Backlog, DeadlineBucket},
            piece_order::due_time,
        },
        shared::units::{Millis, Time},
    },
};

const NOW: Time = Time(60_000_000);

fn bucket(span: u64) -> DeadlineBucket {
    DeadlineBucket::of(NOW, NOW + Millis(span))
}

#[test]
fn bands_in_order() {
    let spans = [0, 100, 300, 700, 1_100, 2_000, 2_600, 5_000, 20_000];
    let buckets: Vec<DeadlineBucket> = spans.into_iter().map(bucket).collect();
    assert!(buckets.is_sorted(), "{buckets:?}");
    // Typical objectives fall into different buckets; spans beyond the last bucket share it.
    assert!(bucket(1_000) < bucket(2_000));
    assert!(bucket(2_000) < bucket(2_600));
    assert_eq!(bucket(20_000), bucket(90_000));
    assert_eq!(DeadlineBucket::of(NOW, NOW - Millis(500)), bucket(0));
}

#[test]
fn pieces_ahead() {
    let mut backlog = Backlog::default();
    backlog.add(bucket(300), 5);
    backlog.add(bucket(1_000), 7);
    backlog.add(bucket(2_600), 11);
    assert_eq!(backlog.ahead(bucket(0)), 0);
    // Pieces in the same bucket are served before it too.
    assert_eq!(backlog.ahead(bucket(1_000)), 12);
    assert_eq!(backlog.ahead(bucket(20_000)), 23);
    assert_eq!(backlog.total(), 23);
    assert_eq!(Backlog::unordered(4).ahead(bucket(0)), 4);
}

/// A job past its objective is ordered behind all others.
#[test]
fn late_jobs() {
    let late = due_time(NOW, NOW - Millis(1), 0);
    let patient = due_time(NOW, NOW + Millis(6_000), 2);
    assert!(DeadlineBucket::of(NOW, late) >= DeadlineBucket::of(NOW, patient));
}

/// The later a piece is due, the more pieces are served before it; sums and differences agree.
#[test]
fn ordered_sums() {
    arbtest(|u| {
        let mut parts = [Backlog::default(); 2];
        for part in &mut parts {
            for _ in 0..u.int_in_range(0..=20u8)? {
                part.add(
                    bucket(u.int_in_range(0..=9_000u64)?),
                    u.int_in_range(0..=50)?,
                );
            }
        }
        let sum = parts[0].plus(&parts[1]);
        assert_eq!(sum.minus(&parts[1]), parts[0]);
        let (one, other) = (u.int_in_range(0..=9_000u64)?, u.int_in_range(0..=9_000u64)?);
        let (first, last) = (bucket(one.min(other)), bucket(one.max(other)));
        assert!(sum.ahead(first) <= sum.ahead(last));
        assert_eq!(
            sum.ahead(first),
            parts[0].ahead(first) + parts[1].ahead(first)
        );
        Ok(())
    });
}
