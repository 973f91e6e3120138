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
    serde_json::{Map, Value as Json, json},
    std::{
        io::{self, Write},
        time::{SystemTime, UNIX_EPOCH},
    },
    tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard},
};

/// Lines that may wait for the writer. Chosen, not measured.
const QUEUE: usize = 16_384;

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

fn write_line(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut fields = Fields(Map::new());
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        // A clock that stands before 1970 gives the line the time 0; the line itself counts more.
        .map_or(0, |since| since.as_millis() as u64);
    fields.0.insert("at_ms".into(), json!(at));
    fields
        .0
        .insert("level".into(), json!(record.level().as_str()));
    fields
        .0
        .insert("event".into(), json!(record.args().to_string()));
    // `visit_pair` below returns no error.
    let _ = record.key_values().visit(&mut fields);
    let mut line = serde_json::to_vec(&fields.0)?;
    line.push(b'\n');
    formatter.write_all(&line)
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_f64() {
            json!((number * ONE_DIGIT).round() / ONE_DIGIT)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
