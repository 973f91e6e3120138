//! Ways in which a fleet is lost and comes back, with trouble of the store around them.

use {
    super::{fleet::SEED_COUNT, stand_in::store::StoreFault, work::World},
    rand::{RngExt, rngs::SmallRng, seq::SliceRandom},
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Number of kills in a series.
const SERIES: usize = 3;

/// Time from the begin of the store's trouble to the first kill, where it begins before.
const STORE_LEAD: Duration = Duration::from_secs(5);

/// Time for which the store is in trouble after the hosts are back, where it is.
const STORE_TAIL: Duration = Duration::from_secs(4);

/// Interval at which endpoints write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Share of the endpoints whose entries lapse while the store doesn't answer.
const LAPSED_SHARE: f64 = 0.7;

/// Time after the store's return in which lapsed entries are back.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Number of calls that a rate-limited store answers in a second.
const FEW_CALLS: u32 = 20;

/// Time until an answer of a slow store begins.
const SLOW_ANSWER: Duration = Duration::from_millis(700);

/// Time between two cuts of the calls that wait for changes.
const CUT_INTERVAL: Duration = Duration::from_millis(300);

/// Trouble of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreTrouble {
    Silent,
    Refusing,
    Slow,
    FewCalls,
    /// It cuts the calls that wait for changes, again and again.
    Cutting,
}

/// When the store is in trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// It ends before the fleet is lost.
    Before,
    /// From a moment before the fleet is lost until the hosts are back.
    During,
    /// From the moment at which the hosts are back.
    After,
    /// From a moment before the fleet is lost until some time after the hosts are back.
    Throughout,
}

/// How callers come back to hosts that were lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Return {
    /// Each after a pause of its own.
    Spread,
    /// All at the moment at which the hosts are back.
    AtOnce,
    /// Each at once, again and again.
    Repeating,
}

/// One way in which a fleet is lost.
#[derive(Debug, Clone)]
pub struct Outage {
    /// Share of the hosts that are killed at the same moment.
    pub killed: f64,
    /// Share of the other hosts that are paused meanwhile.
    pub paused: f64,
    pub kills: usize,
    /// Time for which a killed host is down.
    pub down: Duration,
    /// Time between the end of one kill and the next.
    pub gap: Duration,
    pub store: Option<(StoreTrouble, When)>,
    /// Whether entries of endpoints lapse in the store while it is in trouble, or else while the hosts are down.
    pub lapses: bool,
    pub back: Return,
    /// Routes that the table has in addition.
    pub routes: usize,
    /// Whether a table is published a moment before each kill.
    pub publishes: bool,
    /// Whether the hosts that the others contact first stay down.
    pub lacks_seeds: bool,
}

impl Outage {
    /// Draws an outage.
    pub fn draw(rng: &mut SmallRng) -> Self {
        use {Return::*, StoreTrouble::*, When::*};
        let ms = Duration::from_millis;
        let killed = [1.0, 1.0, 0.55][rng.random_range(0..3)];
        let troubles = [Silent, Refusing, Slow, FewCalls, Cutting];
        let times = [Before, During, After, Throughout];
        let trouble = troubles[rng.random_range(0..troubles.len())];
        let time = times[rng.random_range(0..times.len())];
        Self {
            killed,
            paused: if rng.random() { 0.5 } else { 0.0 },
            kills: [1, SERIES][rng.random_range(0..2)],
            down: ms(rng.random_range(300..3_500)),
            gap: ms(rng.random_range(300..4_000)),
            store: rng.random_bool(0.75).then_some((trouble, time)),
            lapses: rng.random(),
            back: [Spread, AtOnce, Repeating][rng.random_range(0..3)],
            routes: [0, 1_500, 4_000][rng.random_range(0..3)],
            publishes: rng.random(),
            lacks_seeds: rng.random_bool(0.25),
        }
    }

    fn is_store_troubled(&self, when: &[When]) -> bool {
        self.store.is_some_and(|(_, time)| when.contains(&time))
    }
}

/// An outage that is carried out; clones share its state.
#[derive(Debug, Clone)]
pub struct OutageRun {
    pub world: World,
    pub outage: Outage,
    /// Share of the endpoints that don't write their entries.
    silent: Rc<Cell<f64>>,
    /// Whether the store cuts the calls that wait for changes.
    cuts: Rc<Cell<bool>>,
    /// Notified when the hosts are back.
    pub returned: Rc<Notify>,
}

impl OutageRun {
    pub fn new(world: World, outage: Outage) -> Self {
        Self {
            world,
            outage,
            silent: Rc::default(),
            cuts: Rc::default(),
            returned: Rc::default(),
        }
    }

    /// Loses the fleet and starts it again. Returns the time at which the last host was back.
    pub async fn lose_fleet(&self, rng: &mut SmallRng) -> Instant {
        use When::{After, Before, During, Throughout};
        let outage = &self.outage;
        if outage.is_store_troubled(&[Before, During, Throughout]) {
            self.trouble_store();
            tokio::time::sleep(STORE_LEAD).await;
        }
        if outage.is_store_troubled(&[Before]) {
            self.mend_store();
        }
        let mut back = Instant::now();
        for kill in 0..outage.kills {
            if kill > 0 {
                tokio::time::sleep(outage.gap).await;
            }
            self.kill_hosts(rng).await;
            back = Instant::now();
        }
        if outage.is_store_troubled(&[During]) {
            self.mend_store();
        }
        if outage.is_store_troubled(&[After]) {
            self.trouble_store();
        }
        if outage.is_store_troubled(&[After, Throughout]) {
            let run = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(STORE_TAIL).await;
                run.mend_store();
            });
        }
        self.returned.notify_waiters();
        back
    }

    async fn kill_hosts(&self, rng: &mut SmallRng) {
        let (outage, world) = (&self.outage, &self.world);
        let count = world.hosts.borrow().len();
        let mut killed: Vec<usize> = (0..count).collect();
        killed.shuffle(rng);
        if outage.lacks_seeds {
            // Seeds are killed first.
            killed.sort_by_key(|number| *number >= SEED_COUNT);
        }
        let mut paused = killed.split_off((count as f64 * outage.killed) as usize);
        paused.truncate((paused.len() as f64 * outage.paused) as usize);
        let pause = |is_paused| {
            for number in &paused {
                let id = world.hosts.borrow()[*number].id();
                world.quotas.set_paused(id, is_paused);
            }
        };
        pause(true);
        if outage.publishes {
            self.publish(rng);
            let ack = rng.random_range(5..400);
            tokio::time::sleep(Duration::from_millis(ack)).await;
        }
        for number in &killed {
            world.hosts.borrow()[*number].signal("KILL");
        }
        let lapses = outage.lapses && outage.store.is_none();
        if lapses {
            self.lapse();
        }
        tokio::time::sleep(outage.down).await;
        for number in &killed {
            let mut hosts = world.hosts.borrow_mut();
            hosts[*number].kill();
            if outage.lacks_seeds && *number < SEED_COUNT {
                continue;
            }
            hosts[*number].restart(&world.quotas, world.factor);
        }
        pause(false);
        if lapses {
            self.end_lapse();
        }
    }

    fn publish(&self, rng: &mut SmallRng) {
        let mut published = self.world.published.borrow_mut();
        published.change(rng);
        self.world.store.publish(&published.document());
    }

    fn trouble_store(&self) {
        let (store, outage) = (&self.world.store, &self.outage);
        let Some((trouble, _)) = outage.store else {
            return;
        };
        match trouble {
            StoreTrouble::Silent => store.set_fault(StoreFault::Silent),
            StoreTrouble::Refusing => store.set_fault(StoreFault::Refusing),
            StoreTrouble::Slow => store.set_latency(SLOW_ANSWER),
            StoreTrouble::FewCalls => store.set_call_rate(Some(FEW_CALLS)),
            StoreTrouble::Cutting => self.cuts.set(true),
        }
        if outage.lapses {
            let run = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(HEARTBEAT * 3).await;
                run.lapse();
            });
        }
    }

    fn mend_store(&self) {
        let store = &self.world.store;
        store.set_fault(StoreFault::None);
        store.set_latency(Duration::ZERO);
        store.set_call_rate(None);
        self.cuts.set(false);
        if self.outage.lapses {
            self.end_lapse();
        }
    }

    fn lapse(&self) {
        self.world.endpoints.expire(&self.world.store, LAPSED_SHARE);
        self.silent.set(LAPSED_SHARE);
    }

    fn end_lapse(&self) {
        let run = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RETURN_TIME - HEARTBEAT).await;
            run.silent.set(0.0);
        });
    }

    /// Lets endpoints write their entries periodically, but for those whose entries have lapsed.
    pub async fn write_entries(self) {
        let mut ticks = tokio::time::interval(HEARTBEAT);
        loop {
            ticks.tick().await;
            let (store, silent) = (&self.world.store, self.silent.get());
            self.world.endpoints.write_entries(store, silent);
        }
    }

    /// Cuts the calls that wait for changes while the store's trouble is of that kind.
    pub async fn cut_watches(self) {
        let mut ticks = tokio::time::interval(CUT_INTERVAL);
        loop {
            ticks.tick().await;
            if self.cuts.get() {
                self.world.store.cut_watches();
            }
        }
    }
}
