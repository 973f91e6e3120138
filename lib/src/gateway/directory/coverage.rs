//! Determines whether peers read the directory for this daemon. Waits while they do, or until it is this daemon's turn
//! to probe the directory.
//!
//! Relies on the rule [`directory_reads`](crate::gateway::rules::directory_reads) and on the reads that peers report;
//! owns no state.

use crate::{
    gateway::{
        dialect::Dialect,
        directory::source::Topic,
        rules::{
            coordinator::is_settled,
            directory_reads::{
                COVER_CHECK, LastCall, PeerReads, ReadDuty, Reader, is_stall, next_turn, read_duty,
            },
            fetch_turn::is_spread,
        },
        state::{Gateway, GatewayState},
    },
    shared::units::{Millis, Time},
};

impl GatewayState {
    /// Returns this daemon as a reader of the directory. To a daemon that has just started every fleet looks small, so
    /// that it would keep reading. It counts its fleet as small only once it has run long enough to know its peers, or
    /// has no peers to meet.
    pub(crate) fn reader(&self, now: Time) -> Reader {
        Reader {
            small_fleet: self.peers.is_small()
                && (is_settled(self.peers.running_time(now)) || self.peers.is_alone()),
            coordinates: self.peers.reads_directory(),
        }
    }

    /// Returns whether this daemon has a table and a whole list of endpoints.
    fn has_table_and_list(&self) -> bool {
        self.published.is_some() && self.has_list
    }

    /// Returns the age of the latest read that this daemon may rely on; `None` if there is none. A substitute doesn't
    /// count its local reads, so that it reads until another daemon does. Stalls of this process don't count towards
    /// the age, since no later read could be received during them. Reports to other daemons contain the full age.
    fn known_read_age(&self, now: Time) -> Option<Millis> {
        let others = self.peers.read_age(now);
        let local = self.contact.read_age(now).filter(|_| !self.is_substitute);
        let age = others.into_iter().chain(local).min()?;
        let stalled = self.peers.stalls.stalled_since(now - age, now);
        Some(Millis(age.0.saturating_sub(stalled.as_millis() as u64)))
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns whether this daemon reads the directory now, leaves the reads to peers, or probes the directory.
    pub fn read_duty(&self) -> ReadDuty {
        let wait = self.settings().bounds.directory_wait();
        let now = self.now();
        let state = self.state.borrow();
        let is_starting = !state.has_table_and_list();
        let peers = PeerReads {
            lags: state.lags(now),
            // Reads by peers don't help this daemon before it has received their results.
            read_age: state.known_read_age(now).filter(|_| !is_starting),
        };
        read_duty(state.reader(now), peers, state.is_substitute, wait)
    }

    /// Returns whether this daemon has run long enough to know its fleet, has no peers to meet, or already knows that
    /// the fleet is large.
    pub(crate) fn knows_fleet(&self) -> bool {
        let state = self.state.borrow();
        let peers = &state.peers;
        is_settled(peers.running_time(self.now())) || peers.is_alone() || is_spread(peers.daemons())
    }

    /// Returns whether this daemon knows so many others that a report takes several steps to reach all of them.
    pub(crate) fn is_spread(&self) -> bool {
        is_spread(self.state.borrow().peers.daemons())
    }

    /// Returns whether peers read the directory for this daemon now.
    pub fn is_covered(&self) -> bool {
        self.read_duty() == ReadDuty::Leave
    }

    /// Records that the directory answered a call. If the call was a probe, this daemon is a substitute from now on and
    /// reads for the others.
    pub(crate) fn probe_answered(&self) {
        let has_topics = self.state.borrow().has_table_and_list();
        if !has_topics || self.is_stopping() || self.read_duty() != ReadDuty::Probe {
            return;
        }
        log::info!("directory.substitute_began");
        self.state.borrow_mut().is_substitute = true;
    }

    /// Announces at once that this daemon reads as a substitute. Until the others receive this, more of them have their
    /// turn to probe: three of them between two heartbeats.
    pub(crate) fn announce_read(&self, topic: Topic) {
        if topic == Topic::Endpoints && self.state.borrow().is_substitute {
            self.announcement.notify_one();
        }
    }

    /// Records that this daemon no longer reads the directory for the others.
    pub(crate) fn end_substitution(&self) {
        let mut state = self.state.borrow_mut();
        if state.is_substitute {
            state.is_substitute = false;
            log::info!("directory.substitute_ended");
        }
    }
}

/// Waits until this daemon has to read the directory or to probe it.
pub(crate) async fn wait_for_duty<D: Dialect>(
    gateway: &Gateway<D>,
    topic: Topic,
    last_call: LastCall,
) {
    let mut last_duty = ReadDuty::Read;
    let mut turn = None;
    let mut last_check = gateway.now();
    loop {
        let now = gateway.now();
        if is_stall(now.since(last_check)) {
            turn = None;
        }
        last_check = now;
        let duty = gateway.read_duty();
        match duty {
            ReadDuty::Read => break,
            ReadDuty::Leave => {
                gateway.end_substitution();
                turn = None;
            }
            ReadDuty::Probe => {
                gateway.record_outage();
                let drawn = *turn.get_or_insert_with(|| ProbeTurn::draw(gateway.now(), last_call));
                if drawn.has_come(gateway) && is_probe_topic(gateway, topic) {
                    break;
                }
            }
        }
        if duty != last_duty {
            log_duty(gateway, topic, duty);
            last_duty = duty;
        }
        tokio::time::sleep(COVER_CHECK.to_duration()).await;
    }
    log_duty(gateway, topic, gateway.read_duty());
}

/// Returns whether this topic is used to probe the directory: a topic that this daemon lacks; the operator topic if it
/// lacks neither.
fn is_probe_topic<D: Dialect>(gateway: &Gateway<D>, topic: Topic) -> bool {
    let state = gateway.state.borrow();
    let lacks_list = !state.has_list;
    match topic {
        Topic::Operator => !lacks_list || state.published.is_none(),
        Topic::Endpoints => lacks_list,
    }
}

/// A daemon's turn to probe the directory.
#[derive(Debug, Clone, Copy)]
struct ProbeTurn {
    /// Time at which the fraction was drawn.
    drawn_at: Time,
    /// Random number from 0 to 1 that places the turn within the time in which all daemons have theirs.
    fraction: f64,
    last_call: LastCall,
}

impl ProbeTurn {
    fn draw(now: Time, last_call: LastCall) -> Self {
        Self {
            drawn_at: now,
            fraction: rand::random(),
            last_call,
        }
    }

    /// Returns whether the turn has come, for the number of daemons known by now: a daemon that has just started meets
    /// others while it waits.
    fn has_come<D: Dialect>(self, gateway: &Gateway<D>) -> bool {
        let daemons = gateway.state.borrow().peers.daemons();
        let pause = next_turn(daemons, self.last_call, self.fraction);
        gateway.now().since(self.drawn_at) >= pause
    }
}

fn log_duty<D: Dialect>(gateway: &Gateway<D>, topic: Topic, duty: ReadDuty) {
    let state = gateway.state.borrow();
    let age = state.peers.read_age(gateway.now());
    let read_ms = age.map_or(u64::MAX, |age| age.0);
    match duty {
        ReadDuty::Leave => log::info!(topic:? = topic, read_ms; "directory.covered"),
        ReadDuty::Read | ReadDuty::Probe => log::info!(
            topic:? = topic,
            read_ms,
            coordinates = state.peers.coordinates(),
            behind = state.behind_since.knows_newer(),
            peers = state.peers.daemons() - 1;
            "directory.uncovered"
        ),
    }
}
