//! Structured logs on standard output: one JSON object per line, written by a separate thread.
//!
//! The queue to the thread is bounded. If nothing reads the output, lines are dropped and counted, so that no request
//! waits for the log.

use {
    env_logger::{Builder, Env, Target, fmt::Formatter},
    log::{
        Record,
        kv::{Key, Value, VisitSource},
    },
    serde::{Serialize, Serializer as _, ser::SerializeMap},
    serde_json::Serializer,
    std::{
        fmt::Display,
        io::{self, Write},
        time::{SystemTime, UNIX_EPOCH},
    },
    tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard},
};

/// Largest number of lines that wait for the writer thread.
const MAX_QUEUED_LINES: usize = 16_384;

/// Initial capacity of a line's buffer, in bytes; most lines fit.
const LINE_CAPACITY: usize = 256;

/// Factor by which numbers are scaled to round them to one decimal place.
const DECIMAL_FACTOR: f64 = 10.0;

/// Keeps the writer thread running. Dropping the guard writes the queued lines.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts the log. The environment variable `RUST_LOG` sets the level, `info` by default.
pub fn start() -> LogGuard {
    let (writer, worker): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    Builder::from_env(Env::default().default_filter_or("info"))
        .format(write_line)
        .target(Target::Pipe(Box::new(writer)))
        .init();
    LogGuard {
        _worker: worker,
        dropped,
    }
}

/// Writes a line directly, without building a map of its fields and without a filter that strips colours. Either would
/// use a large share of the CPU time.
fn write_line(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut line = Vec::with_capacity(LINE_CAPACITY);
    let mut serializer = Serializer::new(&mut line);
    let mut fields = serializer.serialize_map(None)?;
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        // If the clock is before 1970, the line gets the time 0 rather than being lost.
        .map_or(0, |since| since.as_millis() as u64);
    fields.serialize_entry("at_ms", &at)?;
    fields.serialize_entry("level", record.level().as_str())?;
    fields.serialize_entry("event", &Text(record.args()))?;
    record
        .key_values()
        .visit(&mut Fields(&mut fields))
        .map_err(io::Error::other)?;
    fields.end()?;
    line.push(b'\n');
    formatter.write_all(&line)
}

/// A value that is serialised as its `Display` text.
struct Text<T>(T);

impl<T: Display> Serialize for Text<T> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// Serialises the fields of a line as they are visited.
struct Fields<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let key = key.as_str();
        let result = if let Some(number) = value.to_u64() {
            self.0.serialize_entry(key, &number)
        } else if let Some(number) = value.to_f64() {
            let rounded = (number * DECIMAL_FACTOR).round() / DECIMAL_FACTOR;
            self.0.serialize_entry(key, &rounded)
        } else if let Some(flag) = value.to_bool() {
            self.0.serialize_entry(key, &flag)
        } else {
            self.0.serialize_entry(key, &Text(value))
        };
        result.map_err(|error| log::kv::Error::boxed(error.to_string()))
    }
}
