//! A daemon process for tests. When a test fails, the states of the process's threads and the end of its log are printed.
//!
//! The process is killed, and its settings and log files are removed, whether the test passes or panics.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    super::stand_in::{
        client,
        documents::{DEFAULT_MEMORY_MB, SettingsFile, free_ports},
        second_ip,
        store::StandInStore,
        test_ip, until,
    },
    std::{
        fs,
        io::Read,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_hazelyoked");

/// Default grace period of a daemon's stop, in seconds.
pub const GRACE_S: f64 = 3.5;

/// Most bytes that are printed from the end of a log.
const MAX_LOG_BYTES: usize = 20_000;

/// Time between two samples of a process's threads; the difference in ticks shows which threads run.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(300);

/// A running daemon; killed on drop.
pub struct Process {
    pub child: Child,
    pub settings: PathBuf,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    /// Address for messages of other daemons.
    pub peer: SocketAddr,
    pub log: Log,
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            self.show_threads();
        }
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        if thread::panicking() {
            self.show_log();
        }
    }
}

impl Process {
    /// Returns whether the log file has an event of this name; false for an unread log.
    pub fn has_logged(&self, event: &str) -> bool {
        match &self.log {
            Log::File(file) => file.has_event(event),
            Log::Unread => false,
        }
    }

    /// Prints two samples of the threads' states and CPU ticks.
    fn show_threads(&self) {
        let before = threads(self.child.id());
        thread::sleep(SAMPLE_INTERVAL);
        println!(
            "two samples of the daemon's threads, {SAMPLE_INTERVAL:?} apart (name, state, ticks in user and kernel mode):"
        );
        for sample in [before, threads(self.child.id())] {
            println!("{}", sample.join("\n"));
        }
    }

    fn show_log(&mut self) {
        let text = match &self.log {
            Log::File(file) => fs::read_to_string(&file.0).unwrap_or_default(),
            Log::Unread => self.read_unread(),
        };
        println!("the daemon's log has {} bytes and ends with:", text.len());
        println!(
            "{}",
            &text[text.floor_char_boundary(text.len().saturating_sub(MAX_LOG_BYTES))..]
        );
    }

    /// Reads what a process that has exited left in its log pipe.
    fn read_unread(&mut self) -> String {
        let mut text = String::new();
        if let Some(pipe) = &mut self.child.stdout {
            // On an error, what was read until then is returned.
            let _ = pipe.read_to_string(&mut text);
        }
        text
    }
}

/// Returns a line for each thread of a process: name, state, ticks in user and kernel mode.
fn threads(id: u32) -> Vec<String> {
    let tasks = fs::read_dir(format!("/proc/{id}/task"));
    let tasks = tasks.into_iter().flatten().flatten();
    tasks.filter_map(|task| thread_line(&task.path())).collect()
}

fn thread_line(task: &Path) -> Option<String> {
    let stat = fs::read_to_string(task.join("stat")).ok()?;
    let (name, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let name = name.split_once('(')?.1;
    Some(format!(
        "  {name} {} {} {}",
        fields[0], fields[11], fields[12]
    ))
}

/// Destination of a daemon's log.
pub enum Log {
    /// A file.
    File(LogFile),
    /// A pipe that nobody reads while the process runs.
    Unread,
}

/// A daemon's log file; removed on drop.
pub struct LogFile(PathBuf);

impl LogFile {
    pub fn new(name: &str) -> Self {
        let file = format!("hazelyoked-{}-{name}.log", std::process::id());
        Self(std::env::temp_dir().join(file))
    }

    pub fn stdout(&self) -> Stdio {
        fs::File::create(&self.0).unwrap().into()
    }

    fn has_event(&self, event: &str) -> bool {
        let text = fs::read_to_string(&self.0).unwrap();
        text.contains(&format!("\"event\":\"{event}\""))
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        // The file may not exist.
        let _ = fs::remove_file(&self.0);
    }
}

/// Limits of a daemon process.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Grace period of its stop, in seconds.
    pub grace_s: f64,
    /// Most descriptors (files and connections) that it may have open.
    pub descriptors: usize,
    /// Memory of its host, in megabytes.
    pub memory_mb: u64,
}

pub const DEFAULT_LIMITS: Limits = Limits {
    grace_s: GRACE_S,
    descriptors: 1_024,
    memory_mb: DEFAULT_MEMORY_MB,
};

/// Returns the settings of a daemon at this test's address that knows no other daemon.
pub fn settings_file(
    name: &str,
    [front, ready, peer]: [u16; 3],
    store: SocketAddr,
    limits: Limits,
) -> SettingsFile<'_> {
    SettingsFile {
        name,
        ip: test_ip(),
        front,
        ready,
        control: None,
        peer,
        seeds: &[],
        grace_s: limits.grace_s,
        store,
        memory_mb: limits.memory_mb,
    }
}

/// Starts a daemon with a log file, and waits until it is ready.
pub async fn start(name: &str, store: &StandInStore, limits: Limits) -> Process {
    let log = Log::File(LogFile::new(name));
    start_with(name, store, log, limits).await
}

/// Starts a daemon that logs to `log`, and waits until it is ready.
pub async fn start_with(name: &str, store: &StandInStore, log: Log, limits: Limits) -> Process {
    let ports = free_ports(test_ip());
    let file = settings_file(name, ports, store.address, limits);
    start_program(PROGRAM, &file, log, limits).await
}

/// Starts a daemon of a program, which may be of another release, that joins the daemon `seed`. Waits until it is ready.
pub async fn start_joined(
    program: &str,
    name: &str,
    store: &StandInStore,
    seed: &Process,
) -> Process {
    // All daemons of a fleet have the same port for messages between them.
    let ip = second_ip();
    let [front, ready] = free_ports(ip);
    let file = SettingsFile {
        name,
        ip,
        front,
        ready,
        control: None,
        peer: seed.peer.port(),
        seeds: &[seed.peer],
        grace_s: DEFAULT_LIMITS.grace_s,
        store: store.address,
        memory_mb: DEFAULT_LIMITS.memory_mb,
    };
    let log = Log::File(LogFile::new(name));
    start_program(program, &file, log, DEFAULT_LIMITS).await
}

/// Starts a daemon of a program with the given settings, and waits until it is ready.
pub async fn start_program(
    program: &str,
    file: &SettingsFile<'_>,
    log: Log,
    limits: Limits,
) -> Process {
    let name = format!("hazelyoked-{}-{}.toml", std::process::id(), file.name);
    let settings = std::env::temp_dir().join(name);
    fs::write(&settings, file.text()).unwrap();
    // The shell limits its own descriptors, then replaces itself by the program.
    let limit = limits.descriptors;
    let command = format!("ulimit -n {limit} && exec \"$0\" --platform \"$1\"");
    let stdout = match &log {
        Log::File(file) => file.stdout(),
        Log::Unread => Stdio::piped(),
    };
    let child = Command::new("sh")
        .args(["-c", &command, program])
        .arg(&settings)
        .stdout(stdout)
        .spawn()
        .unwrap();
    let process = Process {
        child,
        settings,
        listen: SocketAddr::new(file.ip, file.front),
        ready: SocketAddr::new(file.ip, file.ready),
        peer: SocketAddr::new(file.ip, file.peer),
        log,
    };
    until(|| is_ready(process.ready), true).await;
    process
}

pub async fn is_ready(address: SocketAddr) -> bool {
    match TcpStream::connect(address).await {
        Ok(_) => client::status(address, "/api/ready").await == 200,
        Err(_) => false,
    }
}

/// Returns the largest resident memory of a process so far, in kB.
pub fn most_memory_kb(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.child.id())).unwrap();
    let mut lines = status.lines();
    let line = lines.find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

pub fn signal(process: &Process, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(process.child.id().to_string())
        .status();
    assert!(sent.unwrap().success());
}
