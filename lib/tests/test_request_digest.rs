//! Tests which requests are recognized as the same request sent again.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            peers::message::{decode, encode},
            request_digest::{RequestContent, RequestDigest},
        },
        shared::ids::CustomerId,
    },
    http::{Request, request::Parts},
    std::collections::BTreeSet,
};

fn head(method: &str, path: &str, id: &str) -> Parts {
    let request = Request::builder().method(method).uri(path);
    let request = request.header("x-request-id", id).body(()).unwrap();
    request.into_parts().0
}

fn digest(customer: Option<&str>, method: &str, host: &str, path: &str, body: &str) -> String {
    let customer: Option<CustomerId> = customer.map(|name| name.parse().unwrap());
    let content = RequestContent {
        customer: customer.as_ref(),
        head: &head(method, path, "1"),
        host,
        body: body.as_bytes(),
    };
    RequestDigest::new(&content).to_string()
}

/// Each value of a request affects the digest, and moving bytes from one value to the next does too.
#[test]
fn parts_count() {
    let same = digest(Some("c"), "POST", "h", "/a/b?q=1", "body");
    assert_eq!(same, digest(Some("c"), "POST", "h", "/a/b?q=1", "body"));
    let others = [
        digest(Some("d"), "POST", "h", "/a/b?q=1", "body"),
        digest(None, "POST", "h", "/a/b?q=1", "body"),
        digest(Some("c"), "PUT", "h", "/a/b?q=1", "body"),
        digest(Some("c"), "POST", "i", "/a/b?q=1", "body"),
        digest(Some("c"), "POST", "h", "/a/b?q=2", "body"),
        digest(Some("c"), "POST", "h", "/a/b?q=1b", "ody"),
        digest(Some("c"), "POST", "h", "/a/b?q=1", ""),
        same,
    ];
    let distinct: BTreeSet<&String> = others.iter().collect();
    assert_eq!(distinct.len(), others.len());
}

/// Headers that differ when a request is sent again, such as its id, don't affect the digest.
#[test]
fn headers_left_out() {
    let of = |id: &str| {
        let content = RequestContent {
            customer: None,
            head: &head("GET", "/a", id),
            host: "h",
            body: b"",
        };
        RequestDigest::new(&content)
    };
    assert_eq!(of("1"), of("2"));
}

/// A digest stays the same when written as text or sent to another daemon.
#[test]
fn written_and_read() {
    let text = digest(None, "GET", "h", "/a", "x");
    let read: RequestDigest = text.parse().unwrap();
    assert_eq!(read.to_string(), text);
    assert_eq!(decode::<RequestDigest>(&encode(&read)).unwrap(), read);
    for wrong in ["", "12", &text[1..], &format!("+{}", &text[1..])] {
        assert!(wrong.parse::<RequestDigest>().is_err(), "{wrong}");
    }
}
