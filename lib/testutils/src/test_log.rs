//! Log lines of the code under test: the test harness shows them when the test fails.
//!
//! Owns the process's logger, and the names that tell the daemons of one process apart. Lines go where the
//! harness captures a test's output, which it does for the thread of the test and for those that it starts.

use {
    env_logger::{Builder, Env, Target, fmt::Formatter},
    log::{
        Record,
        kv::{Error, Key, Value, VisitSource},
    },
    std::{
        future::Future,
        io::{self, Write},
        sync::Once,
        time::Instant,
    },
    tokio::task::{LocalSet, spawn_local},
};

tokio::task_local! {
    /// Name of the daemon that is running.
    static DAEMON: String;
}

/// Writes the log lines of this process from now on; `RUST_LOG` chooses the level.
pub fn start() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        let began = Instant::now();
        Builder::from_env(Env::default().default_filter_or("info"))
            .format(move |formatter, record| write_line(formatter, record, began))
            .target(Target::Stdout)
            .is_test(true)
            .init();
    });
}

/// Runs a future, and whatever it spawns on this thread, under a name that its log lines carry.
///
/// # Panics
///
/// Panics outside of a [`LocalSet`].
pub async fn run_named<T>(name: String, future: impl Future<Output = T>) -> T {
    let tasks = LocalSet::new();
    let output = DAEMON.scope(name.clone(), tasks.run_until(future)).await;
    spawn_local(DAEMON.scope(name, tasks));
    output
}

fn write_line(formatter: &mut Formatter, record: &Record<'_>, began: Instant) -> io::Result<()> {
    let at = began.elapsed().as_millis();
    let daemon = DAEMON.try_with(Clone::clone).unwrap_or_default();
    let (level, event) = (record.level(), record.args());
    write!(formatter, "{at:>6} ms {daemon:<6} {level:<5} {event}")?;
    // A field that can't be written makes the line shorter.
    let _ = record.key_values().visit(&mut Fields(formatter));
    writeln!(formatter)
}

struct Fields<'a>(&'a mut Formatter);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}
