//! Tables in chunks: which chunks two tables share, what a batch may contain, and that joining restores the table.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    arbtest::arbtest,
    bytes::Bytes,
    hazelyoke_lib::gateway::table_chunks::{
        ChunkError, ChunkHash, ChunkList, ChunkMark, PartialTable, TableChunks,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Routes of a large table, and about how many bytes one takes.
const ROUTES: usize = 4_250;
const ROUTE_BYTES: usize = 200;

/// Most chunks that a change at one place may replace.
const MAX_CHANGED: usize = 3;

fn table(routes: impl Iterator<Item = usize>) -> Bytes {
    let route = |number: usize| {
        let name = xxh3_64(&number.to_le_bytes());
        format!(
            "{{\"name\":\"r-{name:016x}\",\"prefix\":\"/{number}/\"}}{}",
            " ".repeat(ROUTE_BYTES - 60)
        )
    };
    let routes: Vec<String> = routes.map(route).collect();
    routes.concat().into()
}

fn list(bytes: &Bytes, chunks: &TableChunks) -> ChunkList {
    ChunkList {
        era: Default::default(),
        version: 2,
        fingerprint: xxh3_64(bytes),
        revision: 9,
        marks: chunks.marks().to_vec(),
    }
}

fn hashes(marks: &[ChunkMark]) -> Vec<ChunkHash> {
    marks.iter().map(|mark| mark.hash).collect()
}

/// Fetches a table from a source until it is complete, and returns it with the number of batches.
fn fetch(mut partial: PartialTable, source: &TableChunks) -> (Bytes, usize) {
    let mut batches = 0;
    loop {
        let missing = partial.missing();
        if missing.is_empty() {
            return (partial.join().unwrap(), batches);
        }
        let batch = source.batch(&hashes(&missing)).unwrap();
        partial.add(&missing, &batch).unwrap();
        batches += 1;
    }
}

#[test]
fn whole_table() {
    let bytes = table(0..ROUTES);
    let source = TableChunks::new(&bytes);
    let partial = PartialTable::new(list(&bytes, &source), None, None).unwrap();
    let (joined, batches) = fetch(partial, &source);
    assert_eq!(joined, bytes);
    assert!(batches > 1);
}

/// One added route in the middle requires only the chunks around it.
#[test]
fn one_route() {
    let before = table(0..ROUTES);
    let middle = ROUTES / 2;
    let after = table((0..middle).chain([ROUTES]).chain(middle..ROUTES));
    let (own, source) = (TableChunks::new(&before), TableChunks::new(&after));
    let partial = PartialTable::new(list(&after, &source), Some(&own), None).unwrap();
    assert!(partial.missing().len() <= MAX_CHANGED);
    assert_eq!(fetch(partial, &source).0, after);
}

/// Chunks received from a source that failed aren't requested again, even if the table has changed.
#[test]
fn failed_source() {
    let first = table(0..ROUTES);
    let source = TableChunks::new(&first);
    let mut begun = PartialTable::new(list(&first, &source), None, None).unwrap();
    let missing = begun.missing();
    begun
        .add(&missing, &source.batch(&hashes(&missing)).unwrap())
        .unwrap();
    let second = table(0..=ROUTES);
    let source = TableChunks::new(&second);
    let received = begun.received();
    let partial = PartialTable::new(list(&second, &source), None, Some(begun)).unwrap();
    assert_eq!(partial.received(), received);
    assert!(missing.iter().all(|mark| !partial.missing().contains(mark)));
    assert_eq!(fetch(partial, &source).0, second);
}

#[test]
fn wrong_batches() {
    let bytes = table(0..ROUTES);
    let source = TableChunks::new(&bytes);
    let mut partial = PartialTable::new(list(&bytes, &source), None, None).unwrap();
    let missing = partial.missing();
    let wanted = hashes(&missing);
    let batch = source.batch(&wanted).unwrap();
    assert_eq!(partial.add(&missing, b"nonsense"), Err(ChunkError::Batch));
    assert_eq!(
        partial.add(&missing, &batch[..batch.len() / 2]),
        Err(ChunkError::Batch)
    );
    let others = source.batch(&wanted[1..]).unwrap();
    assert_eq!(partial.add(&missing, &others), Err(ChunkError::Batch));
    assert_eq!(partial.missing(), missing);
    assert_eq!(partial.join(), Err(ChunkError::Fingerprint));
    assert_eq!(source.batch(&[ChunkHash(1)]), None);
}

#[test]
fn wrong_lists() {
    let bytes = table(0..ROUTES);
    let source = TableChunks::new(&bytes);
    let mut other = list(&bytes, &source);
    other.fingerprint += 1;
    let mut partial = PartialTable::new(other, None, None).unwrap();
    while !partial.missing().is_empty() {
        let missing = partial.missing();
        partial
            .add(&missing, &source.batch(&hashes(&missing)).unwrap())
            .unwrap();
    }
    assert_eq!(partial.join(), Err(ChunkError::Fingerprint));
    let mut large = list(&bytes, &source);
    large.marks[0].length = u32::MAX;
    assert_eq!(
        PartialTable::new(large, None, None).unwrap_err(),
        ChunkError::TooLarge
    );
}

/// Fetching one table while having another restores it exactly, whatever the two have in common.
#[test]
fn any_tables() {
    arbtest(|u| {
        let before: Bytes = u.arbitrary::<Vec<u8>>()?.repeat(100).into();
        let mut after = before.to_vec();
        for _ in 0..u.int_in_range(0..=3)? {
            let place = u.int_in_range(0..=after.len())?;
            after.splice(place..place, u.arbitrary::<Vec<u8>>()?);
        }
        let after = Bytes::from(after);
        let (own, source) = (TableChunks::new(&before), TableChunks::new(&after));
        let partial = PartialTable::new(list(&after, &source), Some(&own), None).unwrap();
        assert_eq!(fetch(partial, &source).0, after);
        Ok(())
    });
}
