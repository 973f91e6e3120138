//! Log output of the code under test, which the test harness shows if the test fails.
//!
//! Sets the process's logger, and adds a name to each line that distinguishes the daemons of one process. The lines go
//! to the output that the harness captures, which is that of the test's thread and of the threads that it starts.

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
    /// Name of the daemon to which the current task belongs.
    static DAEMON: String;
}

/// Starts the log of this process. The environment variable `RUST_LOG` sets the level, `info` by default.
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

/// Runs a future and the tasks that it spawns on this thread, and adds `name` to their log lines.
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
    // Fields after one that can't be written are omitted.
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
