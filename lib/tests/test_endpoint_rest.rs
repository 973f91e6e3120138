//! The rest that an endpoint asks for when it turns a request away.

use {
    hazelyoke_lib::{
        gateway::{dialect::ReplyWait, rules::endpoint_rest::asked_rest},
        shared::units::Millis,
    },
    http::StatusCode,
};

/// A refusal that names a time asks for rest; a time that can't be read, or is beyond reason, for a bounded one.
#[test]
fn asked_times() {
    let named = |ms| ReplyWait::Named(Millis(ms));
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    for status in refusals {
        for (wait, rest) in [
            (ReplyWait::None, None),
            (named(0), None),
            (named(1), Some(1)),
            (named(3_000), Some(3_000)),
            (named(86_400_000), Some(600_000)),
            (ReplyWait::Unclear, Some(1_000)),
        ] {
            assert_eq!(asked_rest(status, wait), rest.map(Millis), "{wait:?}");
        }
    }
    for status in [200, 404, 421, 500, 502] {
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(asked_rest(status, named(3_000)), None, "{status}");
    }
}
