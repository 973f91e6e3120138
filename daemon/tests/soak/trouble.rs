//! The faults of a run: planned work and troubles that overlap, drawn from a seed.

use {
    super::{
        fleet::{Daemon, Member, misbehaviour, proxy_fault, start_member},
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

/// Everything that one run owns; clones share it.
#[derive(Debug, Clone)]
pub struct World {
    pub store: StandInStore,
    pub daemons: Rc<RefCell<Vec<Daemon>>>,
    pub members: Rc<RefCell<Vec<Member>>>,
    pub version: Rc<std::cell::Cell<u64>>,
    pub findings: Rc<RefCell<Vec<String>>>,
    /// Links between daemons are harmed, and tables grow large.
    pub harms_links: bool,
    /// The replicas' data centre is evacuated now and then, and others write among their entries.
    pub evacuates: bool,
    /// The store comes back from an older copy now and then.
    pub returns: bool,
    /// Times that a daemon started and can't have been told at once what others know.
    pub forgotten: Rc<std::cell::Cell<usize>>,
    /// Times that a daemon started again.
    pub starts: Rc<std::cell::Cell<usize>>,
}

/// Time in which a daemon is told what others know, where links aren't harmed. Chosen, not measured: some heartbeats.
const TOLD: Duration = Duration::from_millis(800);

/// Key of the order to evacuate the replicas' data centre.
const EVACUATION: &str = "op/evacuate/here";

/// Routes that each version adds where tables grow large, and the most of them: about 0.4 MB. Chosen, not
/// measured.
const ROUTES_PER_VERSION: usize = 100;
const MOST_ROUTES: usize = 2_000;

/// Bound of the changes that an older copy of the store lacks.
const LOST_CHANGES: u32 = 60;

/// Longest time that a planned stop may take. Chosen, not measured.
const STOP_LIMIT: Duration = Duration::from_secs(10);

impl World {
    /// Starts one random event; those that take time overlap with the ones that follow.
    pub async fn trouble(&self, rng: &mut SmallRng, planned: bool) {
        let time = Duration::from_millis(rng.random_range(50..1_500));
        let daemon = rng.random_range(0..self.daemons.borrow().len());
        let choice = rng.random();
        let world = self.clone();
        let kinds = match (planned, self.evacuates, self.returns) {
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
                tokio::task::spawn_local(async move { world.store_fails(choice, time).await });
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
            12 => self.write_foreign(choice),
            13 => {
                tokio::task::spawn_local(async move { world.spoil_entry(choice, time).await });
            }
            14 => {
                tokio::task::spawn_local(async move { world.evacuate(time).await });
            }
            _ => {
                tokio::task::spawn_local(async move { world.store_returns(choice, time).await });
            }
        }
    }

    /// Brings the store back from a copy that lacks some changes. Operator and replicas write again what it lacks, some of
    /// them before anybody reads it.
    async fn store_returns(&self, choice: u32, time: Duration) {
        self.store.set_fault(StoreFault::Refusing);
        let lost = u64::from(choice % LOST_CHANGES);
        self.store
            .restore(self.store.revision().saturating_sub(lost));
        let places = self.members.borrow().len();
        let first = choice as usize % (places + 1);
        (0..first).for_each(|place| self.rewrite(place));
        tokio::time::sleep(time / 4).await;
        self.store.set_fault(StoreFault::None);
        tokio::time::sleep(time / 4).await;
        self.publish_again();
        let places = self.members.borrow().len();
        (first..places).for_each(|place| self.rewrite(place));
    }

    /// Evacuates the data centre of all replicas, and takes it back.
    async fn evacuate(&self, time: Duration) {
        self.store.put_text(EVACUATION, "{}");
        tokio::time::sleep(time).await;
        self.store.remove(EVACUATION);
    }

    /// Writes an entry that names no replica.
    fn write_foreign(&self, choice: u32) {
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

    /// Overwrites the entry of a replica for a while.
    async fn spoil_entry(&self, choice: u32, time: Duration) {
        let place = choice as usize % self.members.borrow().len();
        let key = format!("servers/{}", self.members.borrow()[place].replica.id);
        self.store.put_text(&key, "{\"slots\": -1}");
        tokio::time::sleep(time).await;
        self.rewrite(place);
    }

    /// Lets a replica write its entry again, as it does with each of its heartbeats.
    fn rewrite(&self, place: usize) {
        let members = self.members.borrow();
        let member = &members[place];
        let state = if member.left { "draining" } else { "ready" };
        member
            .replica
            .write_entry(&self.store, member.service, state);
    }

    /// Publishes a new table, as an operator does.
    pub fn publish(&self) {
        self.version.set(self.version.get() + 1);
        self.publish_again();
    }

    /// Publishes the newest table once more.
    fn publish_again(&self) {
        let version = self.version.get();
        let routes = if self.harms_links {
            (version as usize * ROUTES_PER_VERSION).min(MOST_ROUTES)
        } else {
            0
        };
        self.store
            .publish(&with_routes(table_of_kinds(version), routes));
    }

    /// Signals a daemon to read its settings again; one that isn't up yet is left alone.
    async fn reload(&self, number: usize) {
        let ready = self.daemons.borrow()[number].ready;
        if TcpStream::connect(ready).await.is_ok() {
            self.daemons.borrow()[number].signal_if_up("HUP");
        }
    }

    /// Stops a daemon as planned and starts it again.
    async fn stop(&self, number: usize) {
        if !self.claim_stop(number) {
            return;
        }
        let was_up = {
            let ready = self.daemons.borrow()[number].ready;
            TcpStream::connect(ready).await.is_ok()
        };
        self.daemons.borrow()[number].signal("TERM");
        let ended = tokio::time::timeout(STOP_LIMIT, self.wait_for_end(number)).await;
        match ended {
            Ok(true) => {}
            // Before the program has installed its handlers, a signal ends the process at once.
            Ok(false) if !was_up => {}
            Ok(false) => self.find(format!("daemon {number} ended badly after a planned stop")),
            Err(_) => self.find(format!("daemon {number} didn't end after a planned stop")),
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

    /// Starts a daemon again.
    fn restart(&self, number: usize) {
        self.daemons.borrow_mut()[number].restart();
        self.starts.set(self.starts.get() + 1);
        let world = self.clone();
        tokio::task::spawn_local(async move {
            if world.is_left_alone(number).await {
                world.forgotten.set(world.forgotten.get() + 1);
            }
        });
    }

    /// Returns whether a daemon that starts meets no other one that knows more, or its link is harmed meanwhile.
    async fn is_left_alone(&self, number: usize) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < TOLD {
            if !self.can_be_told(number) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        false
    }

    /// Returns whether a daemon's link isn't harmed just now and another one has been there for long enough.
    fn can_be_told(&self, number: usize) -> bool {
        let daemons = self.daemons.borrow();
        let mut others = daemons
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number);
        let is_known = others.any(|(_, other)| !other.ending && other.started.elapsed() > TOLD);
        is_known && !daemons[number].link.is_harmed()
    }

    /// Claims a daemon for a stop; false if it is ending already.
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

    /// Pauses a daemon for a while; it wakes with outdated knowledge.
    async fn pause(&self, number: usize, time: Duration) {
        self.daemons.borrow()[number].signal_if_up("STOP");
        tokio::time::sleep(time).await;
        // A stop signal that came meanwhile takes effect once the process runs again.
        self.daemons.borrow_mut()[number].resume();
    }

    /// Lets a replica leave, and another one take its place.
    async fn replace(&self, choice: u32) {
        let place = {
            let members = self.members.borrow();
            let staying: Vec<usize> = (0..members.len()).filter(|n| !members[*n].left).collect();
            staying[choice as usize % staying.len()]
        };
        let (service, number) = {
            let members = self.members.borrow();
            (members[place].service, members.len())
        };
        let new = start_member(&self.store, service, number).await;
        let mut members = self.members.borrow_mut();
        members.push(new);
        members[place].left = true;
        let old = &members[place];
        old.replica.write_entry(&self.store, service, "draining");
    }

    async fn store_fails(&self, choice: u32, time: Duration) {
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

    /// Harms what other daemons send one after the other of them, and their links to it, for good.
    pub async fn harm_links(self, mut rng: SmallRng) {
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

    /// Gives replicas a fault for their next request.
    fn misbehave(&self, rng: &mut SmallRng) {
        for member in self.members.borrow().iter() {
            if member.service != "enc" && rng.random_bool(0.5) {
                member
                    .replica
                    .push_act(misbehaviour(member.service, rng.random()));
            }
        }
    }

    /// Ends all troubles; a daemon that is down is started.
    pub async fn heal(&self) {
        self.store.set_fault(StoreFault::None);
        for member in self.members.borrow().iter() {
            member.proxy.set(Fault::None);
        }
        if self.evacuates {
            self.store.remove(EVACUATION);
            (0..self.members.borrow().len()).for_each(|place| self.rewrite(place));
        }
        for daemon in self.daemons.borrow_mut().iter_mut() {
            daemon.store.set(Fault::None);
            daemon.link.set(Fault::None);
            daemon.resume();
        }
    }

    /// Records a finding for each daemon that ended without a stop of the soak.
    pub fn record_unexpected_ends(&self) {
        for daemon in self.daemons.borrow_mut().iter_mut() {
            if !daemon.ending
                && let Some(status) = daemon.ended()
            {
                daemon.ending = true;
                self.find(format!("{} ended by itself: {status}", daemon.name));
            }
        }
    }

    pub fn find(&self, finding: String) {
        self.findings.borrow_mut().push(finding);
    }
}

impl Daemon {
    /// Sends a signal unless the process is about to end.
    pub fn signal_if_up(&self, name: &str) {
        if !self.ending {
            self.signal(name);
        }
    }

    /// Ends a pause.
    fn resume(&mut self) {
        if self.ended().is_none() {
            self.signal("CONT");
        }
    }
}
