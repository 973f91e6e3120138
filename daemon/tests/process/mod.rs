//! A daemon as a process of its own, and what is shown of it when its test fails: its threads, whether it still
//! answers, and its log.
//!
//! Owns the process, its settings file and its log; all are gone when the test ends, whichever way.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    super::stand_in::{
        client,
        documents::{SettingsFile, free_ports},
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

/// Grace period of a daemon that a test doesn't choose, in seconds.
pub const GRACE_S: f64 = 3.5;

/// Bytes of a log's end that are shown.
const SHOWN: usize = 20_000;

/// Time between two looks at the threads of a process, which tells whether they run.
const LOOKS: Duration = Duration::from_millis(300);

/// A running daemon; killed when the test ends, whichever way.
pub struct Process {
    pub child: Child,
    pub settings: PathBuf,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub log: Log,
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            self.show_threads();
        }
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        if thread::panicking() {
            self.show_log();
        }
    }
}

impl Process {
    /// Returns whether an event stands in the log file.
    pub fn logged(&self, event: &str) -> bool {
        match &self.log {
            Log::File(file) => file.names(event),
            Log::Unread => false,
        }
    }

    /// Shows what the threads do: those that wait, and those that ran between two looks.
    fn show_threads(&self) {
        let before = threads(self.child.id());
        thread::sleep(LOOKS);
        println!(
            "threads of the daemon {LOOKS:?} apart (name, state, ticks in user and kernel mode):"
        );
        for look in [before, threads(self.child.id())] {
            println!("{}", look.join("\n"));
        }
    }

    fn show_log(&mut self) {
        let text = match &self.log {
            Log::File(file) => fs::read_to_string(&file.0).unwrap_or_default(),
            Log::Unread => self.unread(),
        };
        println!(
            "{} bytes of the daemon's log, the last of them:",
            text.len()
        );
        println!(
            "{}",
            &text[text.floor_char_boundary(text.len().saturating_sub(SHOWN))..]
        );
    }

    /// Reads what a process that has ended left in its pipe.
    fn unread(&mut self) -> String {
        let mut text = String::new();
        if let Some(pipe) = &mut self.child.stdout {
            // What was read until an error is shown.
            let _ = pipe.read_to_string(&mut text);
        }
        text
    }
}

/// Returns a line for each thread of a process.
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

/// Where a daemon's log goes.
pub enum Log {
    /// Into a file.
    File(LogFile),
    /// Into a pipe that nobody reads.
    Unread,
}

/// A daemon's log in a file; removed when the test ends, whichever way.
pub struct LogFile(PathBuf);

impl LogFile {
    pub fn new(name: &str) -> Self {
        let file = format!("hazelyoked-{}-{name}.log", std::process::id());
        Self(std::env::temp_dir().join(file))
    }

    pub fn stdout(&self) -> Stdio {
        fs::File::create(&self.0).unwrap().into()
    }

    fn names(&self, event: &str) -> bool {
        let text = fs::read_to_string(&self.0).unwrap();
        text.contains(&format!("\"event\":\"{event}\""))
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        // Whoever removed it before did the same.
        let _ = fs::remove_file(&self.0);
    }
}

/// Limits of a daemon's process.
pub struct Limits {
    /// Grace period, in seconds.
    pub grace_s: f64,
    /// Open files and connections.
    pub descriptors: usize,
}

pub const USUAL: Limits = Limits {
    grace_s: GRACE_S,
    descriptors: 1_024,
};

pub fn settings_text(
    name: &str,
    [front, ready, peer]: [u16; 3],
    store: SocketAddr,
    grace_s: f64,
) -> String {
    let file = SettingsFile {
        name,
        ip: test_ip(),
        front,
        ready,
        control: None,
        peer,
        seeds: &[],
        grace_s,
        store,
    };
    file.text()
}

/// Starts a daemon with a log file, and waits until it serves.
pub async fn start(name: &str, store: &StandInStore, limits: Limits) -> Process {
    let log = Log::File(LogFile::new(name));
    start_with(name, store, log, limits).await
}

/// Starts a daemon, and waits until it serves.
pub async fn start_with(name: &str, store: &StandInStore, log: Log, limits: Limits) -> Process {
    let grace_s = limits.grace_s;
    let [front, ready, peer] = free_ports(test_ip());
    let file = format!("hazelyoked-{}-{name}.toml", std::process::id());
    let settings = std::env::temp_dir().join(file);
    let text = settings_text(name, [front, ready, peer], store.address, grace_s);
    fs::write(&settings, text).unwrap();
    // A shell sets the limit for itself and becomes the program.
    let program = env!("CARGO_BIN_EXE_hazelyoked");
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
        listen: SocketAddr::new(test_ip(), front),
        ready: SocketAddr::new(test_ip(), ready),
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

pub fn signal(process: &Process, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(process.child.id().to_string())
        .status();
    assert!(sent.unwrap().success());
}
