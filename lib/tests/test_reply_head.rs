//! Which end of an attempt the head of an endpoint's reply proves, if any.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        pipeline::{
            decision::endpoint::{AttemptEnd, FailCause, NotRunCause},
            endpoints::{
                reply_head::{check_head, is_answer_status, is_stream_status},
                wire,
            },
        },
        shared::ids::{AttemptId, CallIds, RequestId},
    },
    http::{Response, StatusCode},
};

/// Names of the headers that carry a call's ids.
const ID_HEADERS: [&str; 3] = [
    wire::REQUEST_ID_HEADER,
    wire::STAGE_ID_HEADER,
    wire::ATTEMPT_ID_HEADER,
];

fn ids() -> CallIds {
    CallIds {
        request: RequestId::from_random(7),
        stage: "generate".parse().unwrap(),
        attempt: AttemptId(3),
    }
}

/// Returns the values of the id headers, in the order of their names.
fn id_values() -> [String; 3] {
    let ids = ids();
    [
        ids.request.to_string(),
        ids.stage.to_string(),
        ids.attempt.to_string(),
    ]
}

/// Builds the head of a reply, without the id headers whose value is `None`.
fn head(status: u16, values: &[Option<String>], not_run: Option<&str>) -> Response<()> {
    let mut builder = Response::builder().status(status);
    for (name, value) in ID_HEADERS.iter().zip(values) {
        if let Some(value) = value {
            builder = builder.header(*name, value);
        }
    }
    if let Some(cause) = not_run {
        builder = builder.header(wire::NOT_RUN_HEADER, cause);
    }
    builder.body(()).unwrap()
}

#[test]
fn statuses() {
    let values = id_values().map(Some);
    for status in 100..600 {
        let ends = [
            (None, AttemptEnd::Failed(FailCause::ServerError)),
            (Some("leaving"), AttemptEnd::NotRun(NotRunCause::Leaving)),
            (Some("busy"), AttemptEnd::NotRun(NotRunCause::Busy)),
            (Some("else"), AttemptEnd::NotRun(NotRunCause::Busy)),
            (Some(""), AttemptEnd::NotRun(NotRunCause::Busy)),
        ];
        for (not_run, end) in ends {
            let expected = if status < 500 { Ok(()) } else { Err(end) };
            let checked = check_head(&ids(), &head(status, &values, not_run));
            assert_eq!(checked, expected, "{status} {not_run:?}");
        }
    }
}

#[test]
fn wrong_ids() {
    let wrong = Err(AttemptEnd::Failed(FailCause::WrongIds));
    for status in [200, 404, 500, 503] {
        for not_run in [None, Some("leaving"), Some("busy")] {
            for position in 0..ID_HEADERS.len() {
                for value in [None, Some("other".to_owned()), Some(String::new())] {
                    let mut values = id_values().map(Some);
                    values[position] = value;
                    let checked = check_head(&ids(), &head(status, &values, not_run));
                    assert_eq!(checked, wrong, "{status} {not_run:?} {values:?}");
                }
            }
        }
    }
}

#[test]
fn usable_statuses() {
    for code in 100..600 {
        let status = StatusCode::from_u16(code).unwrap();
        let answer = (200..300).contains(&code) || (400..500).contains(&code);
        assert_eq!(is_answer_status(status), answer, "{code}");
        assert_eq!(
            is_stream_status(status),
            (200..300).contains(&code),
            "{code}"
        );
    }
}
