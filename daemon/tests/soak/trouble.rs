//! The faults of a run: planned work and failures that overlap, drawn from a seed.

use {
    super::{
        fleet::{Daemon, Member, proxy_fault, replica_fault, start_member},
        proxy::Fault,
        stand_in::{
            documents::{table_of_kinds, with_routes},
            store::{StandInStore, StoreFault},
        },
    },
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::TcpStream,
};

/// The state of one run; clones share it.
#[derive(Debug, Clone)]
pub struct World {
    pub store: StandInStore,
    /// Store of the first daemon, if that has a way of its own to each replica; otherwise it reads `store`.
    pub far_store: Option<StandInStore>,
    pub daemons: Rc<RefCell<Vec<Daemon>>>,
    pub members: Rc<RefCell<Vec<Member>>>,
    pub version: Rc<std::cell::Cell<u64>>,
    pub findings: Rc<RefCell<Vec<String>>>,
    /// Whether links between daemons are disturbed and tables grow large.
    pub disturbs_links: bool,
    /// Whether the replicas' data centre is evacuated now and then, and invalid entries are written into the store.
    pub evacuates: bool,
    /// Whether the store is restored from an older copy now and then.
    pub restores: bool,
    /// Number of starts of daemons that couldn't receive the others' reports at once.
    pub isolated_starts: Rc<std::cell::Cell<usize>>,
    /// Number of restarts of daemons.
    pub starts: Rc<std::cell::Cell<usize>>,
}

/// Time in which a daemon receives the others' reports over undisturbed links: several heartbeats.
const REPORT_TIME: Duration = Duration::from_millis(800);

/// Key in the store of the order to evacuate the replicas' data centre.
const EVACUATION: &str = "op/evacuate/here";

/// Routes that each version adds where tables grow large.
const ROUTES_PER_VERSION: usize = 100;
/// Most added routes of a table: about 0.4 MB.
const MAX_ROUTES: usize = 2_000;

/// Exclusive upper bound of the number of changes that an older copy of the store lacks.
const MAX_LOST_CHANGES: u32 = 60;

/// Longest time that a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

impl World {
    /// Starts one random event. Events that take time run concurrently with those that follow.
    pub async fn start_fault(&self, rng: &mut SmallRng, planned: bool) {
        let time = Duration::from_millis(rng.random_range(50..1_500));
        let daemon = rng.random_range(0..self.daemons.borrow().len());
        let choice = rng.random();
        let world = self.clone();
        let kinds = match (planned, self.evacuates, self.restores) {
            (true, ..) => 5,
            (false, false, _) => 12,
            (false, true, false) => 15,
            (false, true, true) => 17,
        };
        match rng.random_range(0..kinds) {
            0 => self.publish(),
            1 => self.reload(daemon).await,
            2 => {
                tokio::task::spawn_local(async move { world.stop(daemon).await });
            }
            3 => self.replace(choice).await,
            4 => self.store.compact(),
            5 | 6 => {
                tokio::task::spawn_local(async move { world.kill(daemon, time).await });
            }
            7 => {
                tokio::task::spawn_local(async move { world.pause(daemon, time).await });
            }
            8 => {
                tokio::task::spawn_local(async move { world.fail_store(choice, time).await });
            }
            9 => {
                tokio::task::spawn_local(
                    async move { world.cut_store(daemon, choice, time).await },
                );
            }
            10 => {
                tokio::task::spawn_local(async move { world.disturb_member(choice, time).await });
            }
            11 => self.misbehave(rng),
            12 => self.write_invalid_entry(choice),
            13 => {
                tokio::task::spawn_local(async move { world.corrupt_entry(choice, time).await });
            }
            14 => {
                tokio::task::spawn_local(async move { world.evacuate(time).await });
            }
            _ => {
                tokio::task::spawn_local(async move { world.restore_store(choice, time).await });
            }
        }
    }

    /// Restores the store from a copy that lacks the latest changes. The operator and the replicas write their entries
    /// again, some replicas before any daemon can read the store.
    async fn restore_store(&self, choice: u32, time: Duration) {
        self.store.set_fault(StoreFault::Refusing);
        let lost = u64::from(choice % MAX_LOST_CHANGES);
        self.store
            .restore(self.store.revision().saturating_sub(lost));
        let member_count = self.members.borrow().len();
        let first = choice as usize % (member_count + 1);
        (0..first).for_each(|index| self.rewrite_entry(index));
        tokio::time::sleep(time / 4).await;
        self.store.set_fault(StoreFault::None);
        tokio::time::sleep(time / 4).await;
        self.publish_again();
        let member_count = self.members.borrow().len();
        (first..member_count).for_each(|index| self.rewrite_entry(index));
    }

    /// Orders the evacuation of the replicas' data centre, and withdraws the order after `time`.
    async fn evacuate(&self, time: Duration) {
        self.store.put_text(EVACUATION, "{}");
        tokio::time::sleep(time).await;
        self.store.remove(EVACUATION);
    }

    /// Writes an invalid entry that belongs to no replica.
    fn write_invalid_entry(&self, choice: u32) {
        let texts = [
            "{\"service\": 7}",
            "[[[[",
            "\u{1}",
            "{\"state\": \"ready\"}",
        ];
        let text = texts[choice as usize % texts.len()];
        self.store
            .put_text(&format!("servers/f-{}", choice % 50), text);
    }

    /// Overwrites the entry of a replica with an invalid one for `time`.
    async fn corrupt_entry(&self, choice: u32, time: Duration) {
        let index = choice as usize % self.members.borrow().len();
        let key = format!("servers/{}", self.members.borrow()[index].replica.id);
        self.store.put_text(&key, "{\"slots\": -1}");
        tokio::time::sleep(time).await;
        self.rewrite_entry(index);
    }

    /// Writes a replica's entry again, as a replica does with each heartbeat.
    fn rewrite_entry(&self, index: usize) {
        let members = self.members.borrow();
        let member = &members[index];
        let state = if member.left { "draining" } else { "ready" };
        member
            .replica
            .write_entry(&self.store, member.service, state);
    }

    /// Publishes a table with the next version.
    pub fn publish(&self) {
        self.version.set(self.version.get() + 1);
        self.publish_again();
    }

    /// Publishes the table of the current version again.
    fn publish_again(&self) {
        let version = self.version.get();
        let routes = if self.disturbs_links {
            (version as usize * ROUTES_PER_VERSION).min(MAX_ROUTES)
        } else {
            0
        };
        let table = with_routes(table_of_kinds(version), routes);
        self.store.publish(&table);
        if let Some(far) = &self.far_store {
            far.publish(&table);
        }
    }

    /// Signals a daemon to reload its settings, unless it isn't up yet.
    async fn reload(&self, number: usize) {
        let ready = self.daemons.borrow()[number].ready;
        if TcpStream::connect(ready).await.is_ok() {
            self.daemons.borrow()[number].signal_if_up("HUP");
        }
    }

    /// Stops a daemon with `SIGTERM` and starts it again.
    async fn stop(&self, number: usize) {
        if !self.claim_stop(number) {
            return;
        }
        let was_up = {
            let ready = self.daemons.borrow()[number].ready;
            TcpStream::connect(ready).await.is_ok()
        };
        self.daemons.borrow()[number].signal("TERM");
        let ended = tokio::time::timeout(STOP_TIMEOUT, self.wait_for_end(number)).await;
        match ended {
            Ok(true) => {}
            // Before the program has installed its handlers, a signal terminates the process at once.
            Ok(false) if !was_up => {}
            Ok(false) => self.add_finding(format!("daemon {number} failed during a planned stop")),
            Err(_) => self.add_finding(format!("daemon {number} didn't exit after a planned stop")),
        }
        self.restart(number);
    }

    async fn kill(&self, number: usize, down: Duration) {
        if !self.claim_stop(number) {
            return;
        }
        self.daemons.borrow()[number].signal("KILL");
        self.wait_for_end(number).await;
        tokio::time::sleep(down / 4).await;
        self.restart(number);
    }

    /// Starts a daemon again, and counts the start if the daemon is isolated.
    fn restart(&self, number: usize) {
        self.daemons.borrow_mut()[number].restart();
        self.starts.set(self.starts.get() + 1);
        let world = self.clone();
        tokio::task::spawn_local(async move {
            if world.is_isolated(number).await {
                world.isolated_starts.set(world.isolated_starts.get() + 1);
            }
        });
    }

    /// Returns whether a starting daemon may be unable to receive the others' reports for some of the time that this
    /// takes: no other daemon has been up long enough, or its link is disturbed.
    async fn is_isolated(&self, number: usize) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < REPORT_TIME {
            if !self.can_receive_reports(number) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        false
    }

    /// Returns whether a daemon's link is undisturbed now and another daemon has been up long enough to report to it.
    fn can_receive_reports(&self, number: usize) -> bool {
        let daemons = self.daemons.borrow();
        let mut others = daemons
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number);
        let has_reporter =
            others.any(|(_, other)| !other.ending && other.started.elapsed() > REPORT_TIME);
        has_reporter && !daemons[number].link.is_disturbed()
    }

    /// Claims a daemon for a stop; returns false if it is stopping or has exited already.
    fn claim_stop(&self, number: usize) -> bool {
        let daemon = &mut self.daemons.borrow_mut()[number];
        let free = !daemon.ending && daemon.ended().is_none();
        daemon.ending |= free;
        free
    }

    async fn wait_for_end(&self, number: usize) -> bool {
        loop {
            if let Some(status) = self.daemons.borrow_mut()[number].ended() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Pauses a daemon for `time`; what it knows is outdated when it resumes.
    async fn pause(&self, number: usize, time: Duration) {
        self.daemons.borrow()[number].signal_if_up("STOP");
        tokio::time::sleep(time).await;
        // A SIGTERM sent during the pause takes effect once the process runs again.
        self.daemons.borrow_mut()[number].resume();
    }

    /// Starts a new replica in place of a random one, which begins to drain.
    async fn replace(&self, choice: u32) {
        let index = {
            let members = self.members.borrow();
            let staying: Vec<usize> = (0..members.len()).filter(|n| !members[*n].left).collect();
            staying[choice as usize % staying.len()]
        };
        let (service, number) = {
            let members = self.members.borrow();
            (members[index].service, members.len())
        };
        let mut new = start_member(&self.store, service, number).await;
        if let Some(far) = &self.far_store {
            new.add_far_way(far).await;
        }
        let mut members = self.members.borrow_mut();
        members.push(new);
        members[index].left = true;
        let old = &members[index];
        old.replica.write_entry(&self.store, service, "draining");
        if let (Some(store), Some(far)) = (&self.far_store, &old.far) {
            old.replica
                .write_entry_at(far.address, store, service, "draining");
        }
    }

    async fn fail_store(&self, choice: u32, time: Duration) {
        let trouble = [
            StoreFault::Silent,
            StoreFault::Refusing,
            StoreFault::Nonsense,
        ];
        self.store
            .set_fault(trouble[choice as usize % trouble.len()]);
        tokio::time::sleep(time).await;
        self.store.set_fault(StoreFault::None);
    }

    async fn cut_store(&self, number: usize, choice: u32, time: Duration) {
        let proxy = self.daemons.borrow()[number].store.clone();
        proxy.set(proxy_fault(choice));
        tokio::time::sleep(time).await;
        proxy.set(Fault::None);
    }

    /// Disturbs what other daemons send to one random daemon after the other, until it is aborted.
    pub async fn disturb_links(self, mut rng: SmallRng) {
        loop {
            let daemon = rng.random_range(0..self.daemons.borrow().len());
            let time = Duration::from_millis(rng.random_range(50..1_500));
            let proxy = self.daemons.borrow()[daemon].link.clone();
            proxy.set(proxy_fault(rng.random()));
            tokio::time::sleep(time).await;
            proxy.set(Fault::None);
        }
    }

    async fn disturb_member(&self, choice: u32, time: Duration) {
        let proxy = {
            let members = self.members.borrow();
            members[(choice / 8) as usize % members.len()].proxy.clone()
        };
        proxy.set(proxy_fault(choice));
        tokio::time::sleep(time).await;
        proxy.set(Fault::None);
    }

    /// Gives random replicas a fault for their next request.
    fn misbehave(&self, rng: &mut SmallRng) {
        for member in self.members.borrow().iter() {
            if member.service != "enc" && rng.random_bool(0.5) {
                member
                    .replica
                    .push_act(replica_fault(member.service, rng.random()));
            }
        }
    }

    /// Ends all faults and resumes paused daemons.
    pub async fn heal(&self) {
        self.store.set_fault(StoreFault::None);
        for member in self.members.borrow().iter() {
            member.proxy.set(Fault::None);
        }
        if self.evacuates {
            self.store.remove(EVACUATION);
            (0..self.members.borrow().len()).for_each(|index| self.rewrite_entry(index));
        }
        for daemon in self.daemons.borrow_mut().iter_mut() {
            daemon.store.set(Fault::None);
            daemon.link.set(Fault::None);
            daemon.resume();
        }
    }

    /// Records a finding for each daemon that exited although the soak didn't stop it.
    pub fn record_unexpected_ends(&self) {
        for daemon in self.daemons.borrow_mut().iter_mut() {
            if !daemon.ending
                && let Some(status) = daemon.ended()
            {
                daemon.ending = true;
                self.add_finding(format!("{} exited unexpectedly: {status}", daemon.name));
            }
        }
    }

    pub fn add_finding(&self, finding: String) {
        self.findings.borrow_mut().push(finding);
    }
}

impl Daemon {
    /// Sends a signal unless the soak stops the process.
    pub fn signal_if_up(&self, name: &str) {
        if !self.ending {
            self.signal(name);
        }
    }

    /// Resumes a paused process.
    fn resume(&mut self) {
        if self.ended().is_none() {
            self.signal("CONT");
        }
    }
}
