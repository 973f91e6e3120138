//! A reply proves that a request did not run, or counts as its answer, only by what its own head states.

use {
    hazelyoke_lib::{
        gateway::{
            dialect::ReplyFacts,
            rules::reply_proof::{
                EndpointOutcome, HeadVerdict, NotRunReason, ReplyOriginError, ResumeRejection,
                classify_head, classify_resumed_head, is_endpoint_failure,
            },
            table::RouteKind,
        },
        shared::units::Millis,
    },
    http::StatusCode,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: true,
    gap: Millis(400),
};
const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::NonIdempotent, STREAM];

fn facts(request: Option<&str>, signed: bool, not_run: bool) -> ReplyFacts {
    ReplyFacts {
        request: request.map(String::from),
        signed,
        not_run,
        ..ReplyFacts::default()
    }
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).expect("the code is valid")
}

/// Returns all combinations of facts that the head of a reply may state.
fn all_facts() -> impl Iterator<Item = ReplyFacts> {
    [None, Some("r1"), Some("r2")]
        .into_iter()
        .flat_map(|request| {
            [(false, false), (false, true), (true, false), (true, true)]
                .map(|(signed, not_run)| facts(request, signed, not_run))
        })
}

#[test]
fn replaced_endpoint() {
    for facts in all_facts() {
        for kind in KINDS {
            let verdict = classify_head("r1", kind, status(421), &facts);
            assert_eq!(verdict, Ok(HeadVerdict::NotRun(NotRunReason::Replaced)));
        }
    }
}

#[test]
fn stated_not_run() {
    for facts in all_facts().filter(|facts| facts.not_run) {
        for (code, reason) in [
            (409, NotRunReason::InputsGone),
            (503, NotRunReason::Refused),
            (200, NotRunReason::Refused),
            (500, NotRunReason::Refused),
        ] {
            for kind in KINDS {
                let verdict = classify_head("r1", kind, status(code), &facts);
                assert_eq!(verdict, Ok(HeadVerdict::NotRun(reason)));
            }
        }
    }
}

#[test]
fn foreign_reply() {
    for request in [None, Some("r2")] {
        for signed in [false, true] {
            let facts = facts(request, signed, false);
            for code in [200, 409, 500, 503] {
                let verdict = classify_head("r1", RouteKind::Idempotent, status(code), &facts);
                let error = ReplyOriginError::OtherRequest(facts.request.clone());
                assert_eq!(verdict, Err(error));
            }
        }
    }
    let error = ReplyOriginError::OtherRequest(Some("r2".into()));
    assert_eq!(error.to_string(), "a reply to request Some(\"r2\")");
}

#[test]
fn unsigned_reply() {
    let facts = facts(Some("r1"), false, false);
    for code in [200, 409, 500] {
        let verdict = classify_head("r1", STREAM, status(code), &facts);
        let error = ReplyOriginError::Unsigned(status(code));
        assert_eq!(
            error.to_string(),
            format!("an unsigned reply with status {code}")
        );
        assert_eq!(verdict, Err(error));
    }
}

#[test]
fn stream_or_whole() {
    let facts = facts(Some("r1"), true, false);
    for kind in KINDS {
        for (code, success) in [
            (200, true),
            (204, true),
            (302, false),
            (409, false),
            (500, false),
        ] {
            let verdict = classify_head("r1", kind, status(code), &facts);
            let streams = kind == STREAM && success;
            let expected = if streams {
                HeadVerdict::Stream
            } else {
                HeadVerdict::Whole
            };
            assert_eq!(verdict, Ok(expected), "{kind:?} {code}");
        }
    }
}

#[test]
fn resumed_stream() {
    for facts in all_facts() {
        for code in [200, 204, 421, 409, 500, 503] {
            let found = classify_resumed_head("r1", STREAM, status(code), &facts);
            let is_own = facts.signed && facts.request.as_deref() == Some("r1");
            let (expected, proof) = match (code, facts.not_run) {
                (421, _) => (Err(EndpointOutcome::Replaced), true),
                (409, true) => (Err(EndpointOutcome::Neutral), true),
                (_, true) => (Err(EndpointOutcome::Full), true),
                (200, false) if is_own => (Ok(()), false),
                (_, false) => (Err(EndpointOutcome::Failed), false),
            };
            let not_run = matches!(found, Err(ResumeRejection::NotRun(_)));
            assert_eq!(not_run, proof, "{code} {facts:?}");
            let found = found.map_err(ResumeRejection::endpoint_outcome);
            assert_eq!(found, expected, "{code} {facts:?}");
        }
    }
}

#[test]
fn endpoint_outcomes() {
    for (reason, text, outcome) in [
        (
            NotRunReason::Unreachable,
            "Unreachable",
            EndpointOutcome::Unreachable,
        ),
        (NotRunReason::Ended, "Ended", EndpointOutcome::Ended),
        (NotRunReason::Refused, "Refused", EndpointOutcome::Full),
        (
            NotRunReason::Replaced,
            "Replaced",
            EndpointOutcome::Replaced,
        ),
        (
            NotRunReason::InputsGone,
            "InputsGone",
            EndpointOutcome::Neutral,
        ),
    ] {
        assert_eq!(reason.as_str(), text);
        assert_eq!(reason.endpoint_outcome(), outcome);
    }
    for (code, failure) in [
        (200, false),
        (404, false),
        (499, false),
        (500, true),
        (503, true),
    ] {
        assert_eq!(is_endpoint_failure(status(code)), failure);
    }
}
