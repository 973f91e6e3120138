//! Daemon processes on small hosts, each limited to a share of a core.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    super::{
        quota::{self, QuotaKeeper},
        stand_in::documents::{SettingsFile, free_ports},
    },
    std::{
        fs::{self, File},
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// Grace period of a stop, in seconds, after which the process is killed.
pub const GRACE_S: u64 = 8;

/// Share of a core of the smallest hosts.
pub const SMALLEST_SHARE: f64 = 0.09;

/// Number of hosts that the others contact first.
pub const SEED_COUNT: usize = 3;

/// Shares of a core of the hosts, in turn: most are small.
const SHARES: [f64; 8] = {
    const S: f64 = SMALLEST_SHARE;
    [S, 0.3, S, S, 0.5, S, 0.3, S]
};

/// Limits of a host beside its share of a core.
#[derive(Debug, Clone, Copy)]
struct HostLimits {
    memory_mb: u64,
    descriptors: u32,
    link_mbps: u32,
}

impl HostLimits {
    const fn new(memory_mb: u64, descriptors: u32, link_mbps: u32) -> Self {
        Self {
            memory_mb,
            descriptors,
            link_mbps,
        }
    }

    /// Returns the limits of a host with this share of a core.
    fn of(share: f64) -> Self {
        let mut classes = LIMITS.iter();
        let (_, limits) = classes.find(|(class, _)| *class == share).unwrap();
        *limits
    }
}

/// Limits of hosts, by their share of a core.
const LIMITS: [(f64, HostLimits); 3] = [
    (SMALLEST_SHARE, HostLimits::new(120, 3_075, 10)),
    (0.3, HostLimits::new(400, 10_250, 25)),
    (0.5, HostLimits::new(512, 8_192, 200)),
];

/// A host with its daemon.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub share: f64,
    pub log: PathBuf,
    /// Whether a stop is under way.
    pub stopping: bool,
    /// Times at which planned stops began.
    pub stops: Vec<Instant>,
    limits: HostLimits,
    settings: SettingsText,
    child: Child,
}

/// Settings file of a daemon, which reloads write again.
#[derive(Debug)]
struct SettingsText {
    path: PathBuf,
    text: String,
}

impl Drop for Host {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings.path);
    }
}

impl Host {
    /// Returns the exit status of the process, or `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        // The process may be ending.
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the daemon again.
    pub fn restart(&mut self, quotas: &QuotaKeeper, factor: f64) {
        self.child = spawn(&self.settings.path, &self.log, self.limits);
        self.stopping = false;
        quotas.limit(self.child.id(), self.share * factor);
    }

    /// Writes the settings again, with another line in their bounds, and signals the daemon to read them.
    pub fn reload(&self, line: &str) {
        let text = self
            .settings
            .text
            .replace("[bounds]\n", &format!("[bounds]\n{line}\n"));
        fs::write(&self.settings.path, text).unwrap();
        self.signal("HUP");
    }

    /// Returns the processor time that the process has used.
    pub fn processor_time(&self) -> Duration {
        quota::processor_time(self.child.id() as i32).unwrap_or_default()
    }

    /// Returns the most memory that the process has used, in megabytes, and the memory of its host.
    pub fn memory(&self) -> (u64, u64) {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().split(' ').next()?.parse::<u64>().ok());
        (kilobytes.unwrap_or(0) / 1_000, self.limits.memory_mb)
    }

    /// Returns a description of the memory that the process has used, if it is more than its host has.
    pub fn check_memory(&self) -> Option<String> {
        let (used, memory) = self.memory();
        (used > memory).then(|| format!("{} used {used} MB of {memory}", self.name))
    }

    pub fn remove_log(&self) {
        let _ = fs::remove_file(&self.log);
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf, limits: HostLimits) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    // The shell limits its own descriptors, then replaces itself by the program.
    let descriptors = limits.descriptors;
    let command = format!("ulimit -n {descriptors} && exec \"$0\" --platform \"$1\"");
    Command::new("sh")
        .args(["-c", &command, env!("CARGO_BIN_EXE_hazelyoked")])
        .arg(settings)
        .stdout(Stdio::from(log))
        .spawn()
        .unwrap()
}

/// Starts `count` hosts that read `store`. Their shares of a core are multiplied by `factor`.
pub fn start_hosts(
    count: usize,
    seed: u64,
    store: SocketAddr,
    quotas: &QuotaKeeper,
    factor: f64,
) -> Vec<Host> {
    let process = std::process::id();
    let ip = |number: usize| {
        let [_, _, _, low] = process.to_be_bytes();
        IpAddr::from([127, 8 + (seed % 10) as u8, low, 1 + number as u8])
    };
    let [front, ready, control, peer] = free_ports(ip(0));
    let seeds: Vec<SocketAddr> = (0..count.min(SEED_COUNT))
        .map(|number| SocketAddr::new(ip(number), control))
        .collect();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let host = |number: usize| {
        let name = format!("front-{number}");
        let file = format!("hosts-{seed}-{process}-{name}");
        let share = SHARES[number % SHARES.len()];
        let limits = HostLimits::of(share);
        let settings = SettingsFile {
            name: &name,
            ip: ip(number),
            front,
            ready,
            control: Some(control),
            peer,
            seeds: &seeds,
            grace_s: GRACE_S as f64,
            store,
            memory_mb: limits.memory_mb,
        };
        let lines = format!(
            "[limits]\ncpuShare = {share}\nmaxFds = {}\nlinkMbps = {}\n",
            limits.descriptors, limits.link_mbps
        );
        let settings = SettingsText {
            path: folder.join(format!("{file}.toml")),
            text: settings.text().replace("[limits]\n", &lines),
        };
        fs::write(&settings.path, &settings.text).unwrap();
        let log = folder.join(format!("{file}.log"));
        let child = spawn(&settings.path, &log, limits);
        quotas.limit(child.id(), share * factor);
        Host {
            name,
            listen: SocketAddr::new(ip(number), front),
            ready: SocketAddr::new(ip(number), ready),
            share,
            log,
            stopping: false,
            stops: Vec::new(),
            limits,
            settings,
            child,
        }
    };
    (0..count).map(host).collect()
}
