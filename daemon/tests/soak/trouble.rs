//! What goes wrong in a run: series of troubles that overlap, drawn from a seed.

use {
    super::{
        fleet::{Daemon, Member, harm, start_member, wrong},
        proxy::Harm,
        stand_in::{
            site::table_of_kinds,
            store::{StandInStore, Trouble},
        },
    },
    rand::{RngExt, rngs::SmallRng},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::net::TcpStream,
};

/// Everything that a run has.
#[derive(Debug, Clone)]
pub struct World {
    pub store: StandInStore,
    pub daemons: Rc<RefCell<Vec<Daemon>>>,
    pub members: Rc<RefCell<Vec<Member>>>,
    pub version: Rc<std::cell::Cell<u64>>,
    pub findings: Rc<RefCell<Vec<String>>>,
}

/// Longest time that a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(10);

impl World {
    /// Does one thing that may come at any moment; what takes time goes on beside what follows.
    pub async fn trouble(&self, rng: &mut SmallRng, planned: bool) {
        let time = Duration::from_millis(rng.random_range(50..1_500));
        let daemon = rng.random_range(0..self.daemons.borrow().len());
        let choice = rng.random();
        let world = self.clone();
        match rng.random_range(0..if planned { 5 } else { 12 }) {
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
                tokio::task::spawn_local(async move { world.harm_member(choice, time).await });
            }
            _ => self.misbehave(rng),
        }
    }

    /// The operator publishes a new table.
    pub fn publish(&self) {
        self.version.set(self.version.get() + 1);
        self.store.publish(&table_of_kinds(self.version.get()));
    }

    /// The settings are said to have changed; a process that hasn't begun yet is left alone.
    async fn reload(&self, number: usize) {
        let ready = self.daemons.borrow()[number].ready;
        if TcpStream::connect(ready).await.is_ok() {
            self.daemons.borrow()[number].signal_if_up("HUP");
        }
    }

    /// A daemon is stopped as planned and started again.
    async fn stop(&self, number: usize) {
        if !self.begin_end(number) {
            return;
        }
        let was_up = {
            let ready = self.daemons.borrow()[number].ready;
            TcpStream::connect(ready).await.is_ok()
        };
        self.daemons.borrow()[number].signal("TERM");
        let ended = tokio::time::timeout(STOP_LIMIT, self.until_ended(number)).await;
        match ended {
            Ok(true) => {}
            // Before its first instruction a process has no say in what a signal does.
            Ok(false) if !was_up => {}
            Ok(false) => self.find(format!("daemon {number} ended badly after a planned stop")),
            Err(_) => self.find(format!("daemon {number} didn't end after a planned stop")),
        }
        self.daemons.borrow_mut()[number].restart();
    }

    async fn kill(&self, number: usize, down: Duration) {
        if !self.begin_end(number) {
            return;
        }
        self.daemons.borrow()[number].signal("KILL");
        self.until_ended(number).await;
        tokio::time::sleep(down / 4).await;
        self.daemons.borrow_mut()[number].restart();
    }

    /// Claims the end of a daemon; one that is ending already is left alone.
    fn begin_end(&self, number: usize) -> bool {
        let daemon = &mut self.daemons.borrow_mut()[number];
        let free = !daemon.ending && daemon.ended().is_none();
        daemon.ending |= free;
        free
    }

    async fn until_ended(&self, number: usize) -> bool {
        loop {
            if let Some(status) = self.daemons.borrow_mut()[number].ended() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// A daemon stands still for a while and wakes with what it believed.
    async fn pause(&self, number: usize, time: Duration) {
        self.daemons.borrow()[number].signal_if_up("STOP");
        tokio::time::sleep(time).await;
        // It may have been told to stop meanwhile, which it hears once it goes on.
        self.daemons.borrow_mut()[number].go_on();
    }

    /// A replica says that it leaves, and another one takes its place.
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
        old.replica.write_down(&self.store, service, "draining");
    }

    async fn store_fails(&self, choice: u32, time: Duration) {
        let trouble = [Trouble::Silent, Trouble::Refusing, Trouble::Nonsense];
        self.store
            .set_trouble(trouble[choice as usize % trouble.len()]);
        tokio::time::sleep(time).await;
        self.store.set_trouble(Trouble::None);
    }

    async fn cut_store(&self, number: usize, choice: u32, time: Duration) {
        let proxy = self.daemons.borrow()[number].store.clone();
        proxy.set(harm(choice));
        tokio::time::sleep(time).await;
        proxy.set(Harm::None);
    }

    async fn harm_member(&self, choice: u32, time: Duration) {
        let proxy = {
            let members = self.members.borrow();
            members[(choice / 8) as usize % members.len()].proxy.clone()
        };
        proxy.set(harm(choice));
        tokio::time::sleep(time).await;
        proxy.set(Harm::None);
    }

    /// Replicas do the next few requests wrongly.
    fn misbehave(&self, rng: &mut SmallRng) {
        for member in self.members.borrow().iter() {
            if member.service != "enc" && rng.random_bool(0.5) {
                member.replica.next(wrong(member.service, rng.random()));
            }
        }
    }

    /// Ends all troubles; a daemon that is down is started.
    pub async fn heal(&self) {
        self.store.set_trouble(Trouble::None);
        for member in self.members.borrow().iter() {
            member.proxy.set(Harm::None);
        }
        for daemon in self.daemons.borrow_mut().iter_mut() {
            daemon.store.set(Harm::None);
            daemon.go_on();
        }
    }

    /// Notes daemons that ended although nobody asked them to.
    pub fn look_for_ends(&self) {
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
    fn go_on(&mut self) {
        if self.ended().is_none() {
            self.signal("CONT");
        }
    }
}
