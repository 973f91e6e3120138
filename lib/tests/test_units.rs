//! The text form of quantities in settings: parsing, formatting, and rejection of malformed texts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::shared::units::{
        BitRate, ByteSize, Capacity, Count, Millis, Optional, Rate, Share, Time, UnitError,
        WorkMillis,
    },
    std::{
        fmt::{Debug, Display},
        str::FromStr,
        time::Duration,
    },
};

/// Asserts that `text` is parsed as `value`, and that `value` is formatted as `written`.
#[track_caller]
fn assert_text<T>(text: &str, value: T, written: &str)
where
    T: FromStr<Err = UnitError> + Display + Debug + PartialEq,
{
    assert_eq!(text.parse::<T>().unwrap(), value);
    assert_eq!(value.to_string(), written);
}

#[track_caller]
fn assert_refused<T: FromStr<Err = UnitError> + Debug>(texts: &[&str]) {
    for text in texts {
        assert_eq!(text.parse::<T>().unwrap_err().text, *text);
    }
}

#[test]
fn durations() {
    assert_text("0ms", Millis(0), "0ms");
    assert_text("250ms", Millis(250), "250ms");
    assert_text("1.5s", Millis(1_500), "1500ms");
    assert_text("4s", Millis(4_000), "4s");
    assert_text("2 m", Millis(120_000), "120s");
    assert_text("24h", Millis(86_400_000), "86400s");
    assert_text("0.4ms", Millis(0), "0ms");
    assert_refused::<Millis>(&["", "5", "-1s", "s", "1e3ms", "24.1h", "1..2s", "3 parsecs"]);
}

#[test]
fn points_in_time() {
    let start = Time(1_500);
    assert_eq!(start + Millis(2), Time(3_500));
    assert_eq!(Time(u64::MAX) + Millis(1), Time(u64::MAX));
    assert_eq!((start + Millis(2)).since(start), Duration::from_millis(2));
    assert_eq!(start.since(Time(2_000)), Duration::ZERO);
    assert_eq!(Time(4_250).millis_since(start), 2.75);
    assert_eq!(start.millis_since(Time(2_000)), 0.0);
    assert_eq!(WorkMillis(1.23456).to_string(), "1.235ms");
}

#[test]
fn byte_sizes() {
    assert_text("0B", ByteSize(0), "0B");
    assert_text("1500B", ByteSize(1_500), "1500B");
    assert_text("64KB", ByteSize(64 << 10), "64KB");
    assert_text("0.5MB", ByteSize(512 << 10), "512KB");
    assert_text("3MB", ByteSize(3 << 20), "3MB");
    assert_text("1GB", ByteSize(1 << 30), "1GB");
    assert_refused::<ByteSize>(&["", "64", "64kB", "-1B", "1.1GB"]);
}

#[test]
fn rates_and_shares() {
    assert_text("50/s", Rate(50.0), "50/s");
    assert_text("0.5 /s", Rate(0.5), "0.5/s");
    assert_refused::<Rate>(&["", "50", "0/s", "50/m"]);
    assert_text("10Mbit/s", BitRate(10e6), "10Mbit/s");
    assert_text("0.5 Mbit/s", BitRate(5e5), "0.5Mbit/s");
    assert_refused::<BitRate>(&["", "10", "0Mbit/s", "10MB/s"]);
    assert_eq!(
        BitRate(10e6).time(ByteSize(125_000)),
        Duration::from_millis(100)
    );
    assert_text("10%", Share(0.1), "10%");
    assert_text("0.125%", Share(0.00125), "0.125%");
    assert_text("100%", Share(1.0), "100%");
    assert_eq!(Share(1.0 / 3.0).to_string(), "33.3333%");
    assert_refused::<Share>(&["", "10", "101%", "-1%"]);
}

#[test]
fn counts_and_cores() {
    assert_text("1", Count(1), "1");
    assert_text("1000000", Count(1_000_000), "1000000");
    assert_refused::<Count>(&["", "0", "1000001", "-1", "1.5"]);
    assert_text("0.25", Capacity(250), "0.25");
    assert_text("2", Capacity(2_000), "2");
    assert_eq!(Capacity::from_cores(-1.0), Capacity(0));
    assert_eq!(Capacity::from_cores(f64::NAN), Capacity(0));
    assert_refused::<Capacity>(&["", "-1", "inf", "two"]);
}

#[test]
fn left_out() {
    assert_text("none", Optional(None::<Millis>), "none");
    assert_text("4s", Optional(Some(Millis(4_000))), "4s");
    assert_refused::<Optional<Millis>>(&["", "None"]);
}
