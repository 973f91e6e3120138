//! Planned work during a run, in series and overlapping.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    super::{
        changes::Published,
        endpoints::Endpoints,
        fleet::{GRACE_S, Host, SMALLEST_SHARE, start_hosts},
        quota::QuotaKeeper,
        stand_in::{client, store::StandInStore},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        ops::Range,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::JoinHandle},
};

/// Longest wait until all daemons are ready.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Share of the hosts that may be stopping at the same time.
const STOPPING_SHARE: usize = 3;

/// The state of one run; clones share it.
#[derive(Debug, Clone)]
pub struct World {
    pub store: StandInStore,
    pub hosts: Rc<RefCell<Vec<Host>>>,
    pub endpoints: Rc<Endpoints>,
    pub published: Rc<RefCell<Published>>,
    pub quotas: Rc<QuotaKeeper>,
    pub findings: Rc<RefCell<Vec<String>>>,
    /// Host that gets all new connections.
    pub herd: Rc<Cell<Option<usize>>>,
    /// Factor of the hosts' shares of a core.
    pub factor: f64,
}

/// The planned work of a run.
pub struct Work {
    tasks: Vec<JoinHandle<()>>,
    stops: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Work {
    /// Ends the work, after the stops that are under way.
    pub async fn end(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        let stops = self.stops.take();
        for stop in stops {
            stop.await.unwrap();
        }
    }
}

impl World {
    /// Starts `count` hosts, whose shares of a core are multiplied by `factor`.
    pub fn start(
        store: StandInStore,
        published: Published,
        endpoints: Endpoints,
        seed: u64,
        count: usize,
        factor: f64,
    ) -> Self {
        let quotas = QuotaKeeper::start();
        let hosts = start_hosts(count, seed, store.address, &quotas, factor);
        Self {
            hosts: Rc::new(RefCell::new(hosts)),
            endpoints: Rc::new(endpoints),
            published: Rc::new(RefCell::new(published)),
            quotas: Rc::new(quotas),
            findings: Rc::default(),
            herd: Rc::default(),
            store,
            factor,
        }
    }

    /// Waits until all daemons are ready; returns false if they aren't in time.
    pub async fn wait_until_ready(&self) -> bool {
        let addresses: Vec<_> = self.hosts.borrow().iter().map(|host| host.ready).collect();
        let ready = async {
            for address in addresses {
                loop {
                    let is_up = TcpStream::connect(address).await.is_ok();
                    if is_up && client::status(address, "/api/ready").await == 200 {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        tokio::time::timeout(START_LIMIT, ready).await.is_ok()
    }

    /// Starts the planned work.
    pub fn start_work(&self, seed: u64) -> Work {
        let stops = Rc::new(RefCell::default());
        let rng = |part: u64| SmallRng::seed_from_u64(seed * 100 + part);
        let tasks = vec![
            tokio::task::spawn_local(self.clone().publish(rng(1))),
            tokio::task::spawn_local(self.clone().reload(rng(2))),
            tokio::task::spawn_local(self.clone().stop_in_turn(rng(3), stops.clone())),
            tokio::task::spawn_local(self.clone().replace_endpoints(rng(4))),
            tokio::task::spawn_local(self.clone().vary_endpoints(rng(5))),
            tokio::task::spawn_local(self.clone().herd(rng(6))),
        ];
        Work { tasks, stops }
    }

    /// Publishes tables, now and then several in quick succession.
    async fn publish(self, mut rng: SmallRng) {
        loop {
            pause(&mut rng, 200..2_000).await;
            for _ in 0..[1, 1, 3][rng.random_range(0..3)] {
                let mut published = self.published.borrow_mut();
                let what = published.change(&mut rng);
                println!("version {} changes {what}", published.version());
                self.store.publish(&published.document());
            }
        }
    }

    async fn reload(self, mut rng: SmallRng) {
        loop {
            pause(&mut rng, 100..800).await;
            let number = rng.random_range(0..self.hosts.borrow().len());
            let ready = self.hosts.borrow()[number].ready;
            // Before the program has installed its handlers, the signal would terminate it.
            if TcpStream::connect(ready).await.is_ok() {
                let line = format!("configApplyMs = {}", rng.random_range(1_500..3_000));
                self.hosts.borrow()[number].reload(&line);
            }
        }
    }

    async fn stop_in_turn(self, mut rng: SmallRng, stops: Rc<RefCell<Vec<JoinHandle<()>>>>) {
        loop {
            pause(&mut rng, 100..1_500).await;
            let chosen = {
                let mut hosts = self.hosts.borrow_mut();
                let stopping = hosts.iter().filter(|host| host.stopping).count();
                let number = rng.random_range(0..hosts.len());
                let may_stop = stopping * STOPPING_SHARE < hosts.len()
                    && !hosts[number].stopping
                    && self.herd.get() != Some(number);
                hosts[number].stopping |= may_stop;
                may_stop.then_some(number)
            };
            if let Some(number) = chosen {
                let stop = tokio::task::spawn_local(self.clone().stop(number));
                stops.borrow_mut().push(stop);
            }
        }
    }

    /// Stops a daemon as the platform does, and starts it again.
    async fn stop(self, number: usize) {
        let limit = Duration::from_secs(GRACE_S);
        let ready = self.hosts.borrow()[number].ready;
        let was_up = TcpStream::connect(ready).await.is_ok();
        let begun = Instant::now();
        self.hosts.borrow()[number].signal("TERM");
        self.hosts.borrow_mut()[number].stops.push(begun);
        loop {
            let ended = self.hosts.borrow_mut()[number].ended();
            match ended {
                Some(status) if status.success() => break,
                // Before the program has installed its handlers, a signal terminates it at once.
                Some(_) if !was_up => break,
                Some(status) => {
                    let text = format!("host {number} failed during a planned stop: {status}");
                    self.findings.borrow_mut().push(text);
                    break;
                }
                None if begun.elapsed() > limit => {
                    let text = format!("host {number} didn't end within its grace period");
                    self.findings.borrow_mut().push(text);
                    self.hosts.borrow_mut()[number].kill();
                    break;
                }
                None => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
        self.hosts.borrow_mut()[number].restart(&self.quotas, self.factor);
    }

    async fn replace_endpoints(self, mut rng: SmallRng) {
        loop {
            pause(&mut rng, 1_000..4_000).await;
            self.endpoints.replace(&self.store, &mut rng).await;
        }
    }

    /// Sends all new connections to one of the smallest hosts now and then.
    async fn herd(self, mut rng: SmallRng) {
        loop {
            pause(&mut rng, 3_000..6_000).await;
            let chosen = {
                let hosts = self.hosts.borrow();
                let is_small = |host: &Host| host.share == SMALLEST_SHARE && !host.stopping;
                let small: Vec<usize> = (0..hosts.len()).filter(|n| is_small(&hosts[*n])).collect();
                small[rng.random_range(0..small.len())]
            };
            self.herd.set(Some(chosen));
            pause(&mut rng, 2_000..4_000).await;
            self.herd.set(None);
        }
    }

    async fn vary_endpoints(self, mut rng: SmallRng) {
        loop {
            pause(&mut rng, 50..150).await;
            self.endpoints.vary(&mut rng);
        }
    }
}

async fn pause(rng: &mut SmallRng, millis: Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(millis))).await;
}
