//! Bodies hold a bounded number of bytes together, and free them with their last reference.

use {
    bytes::Bytes,
    futures_util::{FutureExt, stream},
    hazelyoke_lib::{
        gateway::{
            rules::body_memory::BodyBounds,
            wire::body_memory::{BodyMemory, HeldBodyError, read_held},
        },
        shared::units::ByteSize,
    },
    http_body_util::{Full, StreamBody},
    hyper::body::Frame,
    std::convert::Infallible,
};

/// 900 bytes for requests, 400 for replies, 200 for those of an endpoint.
fn memory() -> BodyMemory {
    BodyMemory::new(BodyBounds::new(ByteSize(2_000)))
}

fn held(memory: &BodyMemory) -> [u64; 2] {
    memory.held().map(|size| size.0)
}

/// A body of parts of ten bytes, without a stated size.
fn unsized_body(
    parts: usize,
) -> StreamBody<impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin> {
    let part = || Ok(Frame::data(Bytes::from_static(b"0123456789")));
    StreamBody::new(stream::iter((0..parts).map(move |_| part())))
}

#[test]
fn shares_of_memory() {
    let bounds = BodyBounds::new(ByteSize(2_000));
    assert_eq!(bounds.requests, ByteSize(900));
    assert_eq!(bounds.replies, ByteSize(400));
    assert_eq!(bounds.endpoint, ByteSize(200));
    assert!(bounds.accepts_requests(ByteSize(300)));
    assert!(!bounds.accepts_requests(ByteSize(301)));
}

#[test]
fn requests_fill_memory() {
    let memory = memory();
    let first = memory.for_request(600);
    assert!(first.is_some());
    assert!(memory.for_request(301).is_none());
    let second = memory.for_request(300);
    assert_eq!(held(&memory), [900, 0]);
    drop(first);
    assert_eq!(held(&memory), [300, 0]);
    drop(second);
    assert_eq!(held(&memory), [0, 0]);
}

/// A request is refused while replies hold most of their bytes, since its own might not fit.
#[test]
fn replies_refuse_requests() {
    let memory = memory();
    let mut replies = ["a", "b"].map(|endpoint| memory.for_reply(endpoint));
    assert!(replies[0].grow(200) && replies[1].grow(100));
    assert!(memory.for_request(0).is_some());
    assert!(replies[1].grow(101));
    assert!(memory.for_request(0).is_none());
}

/// One endpoint leaves memory to the others.
#[test]
fn endpoint_bound() {
    let memory = memory();
    let mut replies = [0, 1].map(|_| memory.for_reply("a"));
    assert!(replies[0].grow(150));
    assert!(!replies[1].grow(51));
    assert!(replies[1].grow(50));
    assert_eq!(held(&memory), [0, 200]);
    let mut other = memory.for_reply("b");
    assert!(other.grow(200));
    let mut third = memory.for_reply("c");
    assert!(!third.grow(1));
    drop(replies);
    assert!(third.grow(1));
}

#[test]
fn body_without_end() {
    let memory = memory();
    let mut body = unsized_body(1_000);
    let read = read_held(&mut body, ByteSize(1_000), memory.for_reply("a"));
    let error = read.now_or_never().expect("no part is awaited");
    assert!(matches!(error, Err(HeldBodyError::NoMemory)));
    assert_eq!(held(&memory), [0, 0]);
    let mut body = unsized_body(1_000);
    let read = read_held(&mut body, ByteSize(50), memory.for_reply("a"));
    let error = read.now_or_never().expect("no part is awaited");
    assert!(matches!(error, Err(HeldBodyError::TooLarge(_))));
}

/// A body holds its bytes until the last reference to it is gone.
#[test]
fn held_by_references() {
    let memory = memory();
    let mut body = Full::new(Bytes::from(vec![7; 120]));
    let read = read_held(&mut body, ByteSize(1_000), memory.for_reply("a"));
    let bytes = read.now_or_never().expect("no part is awaited");
    let bytes = bytes.expect("the body fits");
    assert_eq!(bytes, vec![7; 120]);
    let part = bytes.slice(10..20);
    assert_eq!(held(&memory), [0, 120]);
    drop(bytes);
    assert_eq!(held(&memory), [0, 120]);
    drop(part);
    assert_eq!(held(&memory), [0, 0]);
}

#[test]
fn empty_body() {
    let memory = memory();
    let mut body = unsized_body(0);
    let read = read_held(&mut body, ByteSize(0), memory.for_reply("a"));
    let bytes = read.now_or_never().expect("no part is awaited");
    assert!(bytes.expect("the body fits").is_empty());
    assert_eq!(held(&memory), [0, 0]);
}

/// Once a body of an endpoint has no end, none of those that have begun grows further; later ones do.
#[test]
fn closed_endpoint() {
    let memory = memory();
    let mut begun = memory.for_reply("a");
    assert!(begun.grow(10));
    let mut body = unsized_body(1_000);
    let read = read_held(&mut body, ByteSize(50), memory.for_reply("a"));
    assert!(read.now_or_never().expect("no part is awaited").is_err());
    assert!(!begun.grow(20));
    assert!(memory.for_reply("a").grow(20));
    assert_eq!(held(&memory), [0, 10]);
}
