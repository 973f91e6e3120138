//! Daemon processes and their surroundings: proxies before the store, the links and the replicas.

use {
    super::{
        proxy::{Fault, Proxy},
        stand_in::{
            documents::{DEFAULT_MEMORY_MB, SettingsFile, free_ports},
            replica::{Act, Replica},
            store::StandInStore,
        },
    },
    std::{
        fs::File,
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// Number of events in a complete stream.
pub const EVENTS: u64 = 6;

/// Grace period of a stop in the daemons' settings, in seconds.
const GRACE_S: f64 = 4.0;

/// One daemon: its process and its addresses.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    /// Number of restarts; together with the daemon's index it identifies one incarnation.
    pub incarnation: u32,
    /// Start of the current incarnation.
    pub started: Instant,
    pub child: Child,
    /// Proxy through which the daemon reaches the store.
    pub store: Proxy,
    /// Proxy through which other daemons reach this one.
    pub link: Proxy,
    pub settings: PathBuf,
    pub log: PathBuf,
    /// Whether the soak has stopped or killed the process, or is about to.
    pub ending: bool,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Daemon {
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.unwrap().success(), "{name} to {}", self.name);
    }

    /// Returns the process's exit status, or `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Removes the process's settings and log.
    pub fn remove_files(&self) {
        // A file that can't be removed only takes space in the target folder.
        let _ = std::fs::remove_file(&self.log);
        let _ = std::fs::remove_file(&self.settings);
    }

    /// Starts a new process with the same settings.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.started = Instant::now();
        self.ending = false;
        self.child = spawn(&self.settings, &self.log, &self.link);
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf, link: &Proxy) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_hazelyoked"))
        .arg("--platform")
        .args(["--advertised-port", &link.address.port().to_string()])
        .arg(settings)
        .stdout(Stdio::from(log))
        .spawn()
        .unwrap()
}

/// IP addresses of the daemons of one run. Each daemon has its own loopback address, so that all use the same ports, as
/// they do on separate hosts.
#[derive(Debug, Clone, Copy)]
pub struct Subnet {
    seed: u64,
}

impl Subnet {
    pub fn new(seed: u64) -> Self {
        Self { seed }
    }

    fn ip(self, number: usize) -> IpAddr {
        let process = std::process::id();
        IpAddr::from([
            127,
            20 + (self.seed % 200) as u8,
            1 + (process % 250) as u8,
            1 + number as u8,
        ])
    }
}

/// Starts `count` daemons, each with a proxy before its store and one before its link port. The first one reads the store
/// `first`, and the others `store`.
pub async fn start_daemons(
    count: usize,
    seed: u64,
    first: SocketAddr,
    store: SocketAddr,
) -> Vec<Daemon> {
    let subnet = Subnet::new(seed);
    let [front, ready, control, peer, link_port] = free_ports(subnet.ip(0));
    let seeds: Vec<SocketAddr> = (0..count.min(3))
        .map(|number| SocketAddr::new(subnet.ip(number), control))
        .collect();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut daemons = Vec::new();
    for number in 0..count {
        let ip = subnet.ip(number);
        let name = format!("soak-{seed}-{number}");
        let proxy = Proxy::start(if number == 0 { first } else { store }).await;
        // The process id keeps apart the files of simultaneous runs of one seed.
        let file_name = format!("{name}-{}", std::process::id());
        let settings = folder.join(format!("{file_name}.toml"));
        let log = folder.join(format!("{file_name}.log"));
        let _ = std::fs::remove_file(&log);
        let file = SettingsFile {
            name: &name,
            ip,
            front,
            ready,
            control: Some(control),
            peer,
            seeds: &seeds,
            grace_s: GRACE_S,
            store: proxy.address,
            memory_mb: DEFAULT_MEMORY_MB,
        };
        std::fs::write(&settings, file.text()).unwrap();
        let link = Proxy::start_before(link_port, SocketAddr::new(ip, peer)).await;
        let child = spawn(&settings, &log, &link);
        daemons.push(Daemon {
            name,
            listen: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            incarnation: 0,
            started: Instant::now(),
            child,
            store: proxy,
            link,
            settings,
            log,
            ending: false,
        });
    }
    daemons
}

/// A replica, its service, and the proxy through which daemons reach it.
#[derive(Debug)]
pub struct Member {
    pub replica: Replica,
    pub service: &'static str,
    pub proxy: Proxy,
    /// Proxy through which the first daemon reaches it, if that has a way of its own.
    pub far: Option<Proxy>,
    /// Whether its entry in the store says that it is draining, or was removed.
    pub left: bool,
    /// Whether its replacement after a harmful request has begun.
    pub replaced: bool,
}

/// Services, each with its number of replicas.
const SERVICES: [(&str, usize); 3] = [("plain", 3), ("llm", 3), ("enc", 2)];

/// Starts a replica of a service and writes its entry into the store.
pub async fn start_member(store: &StandInStore, service: &'static str, number: usize) -> Member {
    let mut proxy = None;
    let replica = Replica::start_behind(&format!("i-{service}-{number}"), async |own| {
        let before = Proxy::start(own).await;
        let address = before.address;
        proxy = Some(before);
        address
    })
    .await;
    replica.set_default_act(default_act(service));
    if number % 2 == 1 {
        replica.set_version("v2");
    }
    replica.write_entry(store, service, "ready");
    Member {
        replica,
        service,
        proxy: proxy.unwrap(),
        far: None,
        left: false,
        replaced: false,
    }
}

impl Member {
    /// Starts a proxy through which the first daemon reaches the replica, and writes an entry with its address into the
    /// store of that daemon.
    pub async fn add_far_way(&mut self, store: &StandInStore) {
        let proxy = Proxy::start(self.proxy.address).await;
        let state = if self.left { "draining" } else { "ready" };
        self.replica
            .write_entry_at(proxy.address, store, self.service, state);
        self.far = Some(proxy);
    }
}

/// Starts the replicas of all services.
pub async fn start_members(store: &StandInStore) -> Vec<Member> {
    let mut members = Vec::new();
    for (service, count) in SERVICES {
        for number in 0..count {
            members.push(start_member(store, service, number).await);
        }
    }
    members
}

/// Returns how a replica of a service answers while it has no fault.
fn default_act(service: &str) -> Act {
    match service {
        "llm" => Act::Events {
            to: EVENTS,
            pause: Duration::from_millis(2),
            whole: true,
        },
        _ => Act::Echo,
    }
}

/// Returns the fault with which a replica answers its next request; `choice` selects it.
pub fn replica_fault(service: &str, choice: u32) -> Act {
    let pause = Duration::from_millis(4);
    match (service, choice % 8) {
        ("llm", 0 | 1) => Act::Events {
            to: 3,
            pause,
            whole: false,
        },
        (_, 0) => Act::WrongId("foreign".into()),
        (_, 1) => Act::Unsigned("unsigned".into()),
        (_, 2) => Act::Break,
        (_, 3) => Act::NotRun(503),
        (_, 4) => Act::Fail(500),
        (_, 5) => Act::Cut("cut".into()),
        (_, 6) => Act::NotRun(421),
        _ => Act::Wait(Duration::from_millis(300), "slow".into()),
    }
}

/// Returns the fault of a proxy that `choice` selects.
pub fn proxy_fault(choice: u32) -> Fault {
    match choice % 5 {
        0 => Fault::Delay(Duration::from_millis(40)),
        1 => Fault::Reset,
        2 => Fault::Silence,
        3 => Fault::CutToTarget,
        _ => Fault::CutFromTarget,
    }
}
