//! Structured logs on standard output: one JSON object a line, written by a thread of its own.
//!
//! The queue is bounded. When nobody reads, lines are dropped and counted, and no request waits. Owns
//! the writer's thread.

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

/// Lines that may wait for the writer.
const QUEUE: usize = 16_384;

/// Bytes of most lines.
const USUAL_LINE: usize = 256;

/// Factor that keeps one digit of a number after the point.
const ONE_DIGIT: f64 = 10.0;

/// Keeps the writer's thread; dropping it writes what is queued.
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

/// Starts to write logs; `RUST_LOG` chooses the level.
pub fn start() -> LogGuard {
    let (writer, worker): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE)
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

/// Writes a line without building a map of its fields first, and nothing strips colours from it: lines would take a
/// large part of the processor.
fn write_line(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut line = Vec::with_capacity(USUAL_LINE);
    let mut serializer = Serializer::new(&mut line);
    let mut fields = serializer.serialize_map(None)?;
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        // A clock that stands before 1970 gives the line the time 0; the line itself counts more.
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

/// A value that is written as text.
struct Text<T>(T);

impl<T: Display> Serialize for Text<T> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// Writes the fields of a line as they are visited.
struct Fields<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Fields<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let key = key.as_str();
        let written = if let Some(number) = value.to_u64() {
            self.0.serialize_entry(key, &number)
        } else if let Some(number) = value.to_f64() {
            let rounded = (number * ONE_DIGIT).round() / ONE_DIGIT;
            self.0.serialize_entry(key, &rounded)
        } else if let Some(flag) = value.to_bool() {
            self.0.serialize_entry(key, &flag)
        } else {
            self.0.serialize_entry(key, &Text(value))
        };
        written.map_err(|error| log::kv::Error::boxed(error.to_string()))
    }
}
