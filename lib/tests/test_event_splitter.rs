//! Tests that events are passed on complete and in order, however their bytes are split.

use {
    hazelyoke_lib::gateway::wire::event_stream::EventSplitter,
    hazelyoke_testutils::seeds::for_seeds,
};

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: word {id}\n\n").into_bytes()
}

#[test]
fn unfinished_event() {
    let mut splitter = EventSplitter::default();
    let first = event(1);
    assert!(splitter.feed(&first[..first.len() - 1]).is_empty());
    assert!(splitter.is_partial());
    assert_eq!(splitter.last(), None);
    assert_eq!(splitter.feed(b"\n"), first);
    assert!(!splitter.is_partial());
    assert_eq!(splitter.last(), Some(1));
}

/// An event with an id that was already delivered makes the stream unusable.
#[test]
fn delivered_event_again() {
    let mut splitter = EventSplitter::after(Some(4));
    assert_eq!(splitter.feed(&event(5)), event(5));
    assert!(splitter.feed(&event(5)).is_empty());
    assert!(splitter.is_broken());
}

#[test]
fn carriage_returns() {
    let mut splitter = EventSplitter::default();
    let bytes = b"id: 3\r\ndata: x\r\n\r\n";
    assert_eq!(splitter.feed(bytes), &bytes[..]);
    assert_eq!(splitter.last(), Some(3));
}

#[test]
fn events_without_ids() {
    let mut splitter = EventSplitter::after(Some(9));
    let bytes = b": comment\n\ndata: x\n\n";
    assert_eq!(splitter.feed(bytes), &bytes[..]);
    assert_eq!(splitter.last(), Some(9));
}

#[test]
fn endless_event() {
    let mut splitter = EventSplitter::default();
    splitter.feed(&vec![b'x'; 300 * 1024]);
    assert!(splitter.is_broken());
}

/// The events don't depend on how their bytes are split.
#[test]
fn any_split() {
    for_seeds(200, 1024, |u| {
        let count = u.int_in_range(0..=12u64)?;
        let whole: Vec<u8> = (1..=count).flat_map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut rest = &whole[..];
        while !rest.is_empty() {
            let length = u.int_in_range(1..=rest.len())?;
            let (chunk, later) = rest.split_at(length);
            let events = splitter.feed(chunk);
            assert!(events.is_empty() || events.ends_with(b"\n\n"));
            passed.extend_from_slice(&events);
            rest = later;
        }
        assert_eq!(passed, whole);
        assert_eq!(splitter.last(), (count > 0).then_some(count));
        Ok(())
    });
}

/// Comments and blank lines without end are no stream, however small each of them is. An event ends the count.
#[test]
fn blanks_without_end() {
    for block in ["\n", "\r\n", ": x\n\n"] {
        let mut splitter = EventSplitter::default();
        for _ in 0..10 {
            let blanks = block.repeat(200_000 / block.len());
            splitter.feed(blanks.as_bytes());
            splitter.feed(b"data: x\n\n");
            assert!(!splitter.is_broken(), "{block:?}");
        }
        let blanks = block.repeat(300_000 / block.len());
        splitter.feed(blanks.as_bytes());
        assert!(splitter.is_broken(), "{block:?}");
    }
}
