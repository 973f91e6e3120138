//! Daemon processes on small hosts, each limited to a share of a core.

use {
    super::{
        quota::QuotaKeeper,
        stand_in::documents::{DEFAULT_MEMORY_MB, SettingsFile, free_ports},
    },
    std::{
        fs::{self, File},
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
    },
};

/// Grace period of a stop, in seconds, after which the process is killed.
pub const GRACE_S: u64 = 8;

/// Share of a core of the smallest hosts.
pub const SMALLEST_SHARE: f64 = 0.09;

/// Shares of a core of the hosts, in turn: most are small.
const SHARES: [f64; 8] = {
    const S: f64 = SMALLEST_SHARE;
    [S, 0.3, S, S, 0.5, S, 0.3, S]
};

/// Memory of a host, in megabytes, by its share of a core.
const MEMORY_MB: [(f64, u64); 3] = [(SMALLEST_SHARE, 120), (0.3, 400), (0.5, 512)];

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
        self.child = spawn(&self.settings.path, &self.log);
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

    /// Returns the most memory that the process has used, in megabytes, and the memory of its host.
    pub fn memory(&self) -> (u64, u64) {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.trim().split(' ').next()?.parse::<u64>().ok());
        let memory = MEMORY_MB.iter().find(|(share, _)| *share == self.share);
        (kilobytes.unwrap_or(0) / 1_000, memory.unwrap().1)
    }

    pub fn remove_log(&self) {
        let _ = fs::remove_file(&self.log);
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_hazelyoked"))
        .arg("--platform")
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
    let seeds: Vec<SocketAddr> = (0..count.min(3))
        .map(|number| SocketAddr::new(ip(number), control))
        .collect();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let host = |number: usize| {
        let name = format!("front-{number}");
        let file = format!("hosts-{seed}-{process}-{name}");
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
            memory_mb: DEFAULT_MEMORY_MB,
        };
        let settings = SettingsText {
            path: folder.join(format!("{file}.toml")),
            text: settings.text(),
        };
        fs::write(&settings.path, &settings.text).unwrap();
        let log = folder.join(format!("{file}.log"));
        let child = spawn(&settings.path, &log);
        let share = SHARES[number % SHARES.len()];
        quotas.limit(child.id(), share * factor);
        Host {
            name,
            listen: SocketAddr::new(ip(number), front),
            ready: SocketAddr::new(ip(number), ready),
            share,
            log,
            stopping: false,
            settings,
            child,
        }
    };
    (0..count).map(host).collect()
}
