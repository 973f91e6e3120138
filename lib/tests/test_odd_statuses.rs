//! Statuses with which the pipeline daemon passes no reply on.

use {
    bytes::Bytes,
    hazelyoke_lib::{
        pipeline::{
            api::problem::json_response,
            endpoints::reply_head::{is_answer_status, is_stream_status},
        },
        shared::ids::RequestId,
    },
    http::StatusCode,
};

/// Only successes and client errors are answers, and only successes begin streams.
#[test]
fn answer_statuses() {
    for number in 100..=999 {
        let status = StatusCode::from_u16(number).expect("three digits");
        let (is_success, is_refusal) = ((200..300).contains(&number), (400..500).contains(&number));
        assert_eq!(
            is_answer_status(status),
            is_success || is_refusal,
            "{number}"
        );
        assert_eq!(is_stream_status(status), is_success, "{number}");
    }
}

/// A number that is no status became a 200.
#[test]
fn no_status() {
    for number in [0, 1, 42, 99, 1_000, 65_535] {
        let response = json_response(number, RequestId::from_random(1), Bytes::new());
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY, "{number}");
    }
}
