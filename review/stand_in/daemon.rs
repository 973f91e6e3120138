//! The project's daemon as a process, started with the command of the deploy file.

use {
    crate::{
        network::{self, Network},
        record::Record,
    },
    std::{
        fs::{self, File},
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Program and arguments of the role `gateway` in `deploy/system.toml`.
const PROGRAM: &str = "target/release/hazelyoked";
const ARGUMENTS: [&str; 3] = ["--platform", "--metrics-port", "9464"];

/// Port for metrics in [`ARGUMENTS`].
const METRICS_PORT: u16 = 9464;

/// Longest time until a daemon has to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Longest time until metrics are read.
const METRICS_LIMIT: Duration = Duration::from_millis(500);

/// Limit on the memory of a daemon, in megabytes, as in the settings.
pub const MEMORY_MB: u64 = 260;

/// A folder for settings and logs, which is removed when dropped.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("hazelyoke-review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| format!("temporary folder: {error}"))?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A daemon; its process is killed when dropped.
pub struct Daemon {
    pub number: u8,
    network: Network,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    record: Record,
}

impl Daemon {
    /// Starts a daemon of a fleet of `daemons`.
    pub fn start(
        number: u8,
        daemons: u8,
        network: Network,
        folder: &TemporaryFolder,
        record: &Record,
    ) -> Result<Self, String> {
        let settings = folder.0.join(format!("settings-{number}.toml"));
        let text = settings_text(number, daemons, network);
        fs::write(&settings, text).map_err(|error| format!("settings: {error}"))?;
        let log = folder.0.join(format!("log-{number}.jsonl"));
        let child = spawn(&settings, &log)?;
        record.event(format!(
            "daemon {number}: started as process {}",
            child.id()
        ));
        Ok(Self {
            number,
            network,
            settings,
            log,
            child,
            record: record.clone(),
        })
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if is_ready(self.network.ready(self.number)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("daemon {} wasn't ready in time", self.number))
    }

    /// Returns the resident memory of the process in bytes; 0 if it has ended.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Returns how many connections to replicas the daemon relays for others, by its metrics; 0 if it doesn't answer.
    pub fn relays(&self) -> u64 {
        let address = SocketAddr::from((self.network.daemon_ip(self.number), METRICS_PORT));
        let text = read_metrics(address).unwrap_or_default();
        let mut values = text
            .lines()
            .filter_map(|line| line.strip_prefix("hazelyoke_relays "));
        values.find_map(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.settings, &self.log)?;
        let (number, id) = (self.number, self.child.id());
        self.record
            .event(format!("daemon {number}: started again as process {id}"));
        Ok(())
    }

    /// Copies the lines of the log with one of these events to the record.
    pub fn record_events(&self, events: &[&str]) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines() {
            let named = |event: &&str| line.contains(&format!("\"event\":\"{event}\""));
            if events.iter().any(named) {
                self.record
                    .event(format!("log of daemon {}: {line}", self.number));
            }
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let output = File::options().create(true).append(true).open(log);
    let output = output.map_err(|error| format!("log: {error}"))?;
    Command::new(PROGRAM)
        .args(ARGUMENTS)
        .env("HAZELYOKE_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .spawn()
        .map_err(|error| format!("{PROGRAM}: {error}"))
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request =
        format!("GET /api/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b"200")
}

fn read_metrics(address: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, METRICS_LIMIT)?;
    stream.set_read_timeout(Some(METRICS_LIMIT))?;
    let request = format!("GET /metrics HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Returns the settings that the platform writes: the example of DEPLOY.md with the addresses of this run.
fn settings_text(number: u8, daemons: u8, network: Network) -> String {
    let ip = network.daemon_ip(number);
    let seeds = (0..daemons.min(3)).map(|seed| {
        let port = network::CONTROL_PORT;
        format!("\"{}:{port}\"", network.daemon_ip(seed))
    });
    let seeds: Vec<String> = seeds.collect();
    let seeds = seeds.join(",");
    let (first, last) = network::INTERNAL_PORTS;
    let (front, ready, control) = (
        network::FRONT_PORT,
        network::READY_PORT,
        network::CONTROL_PORT,
    );
    let store = network.store();
    format!(
        r#"nodeName = "front-ikeja-{number}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "ikeja"
region = "lagos"
internalPorts = [{first},{last}]
seedNodes = [{seeds}]
bootstrap = true
countsInTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
ikeja = "lagos"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 120
retryAfterS = 10
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}
