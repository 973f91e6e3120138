//! The load balancer in front of the hosts: it sends new connections to those that say that they are ready.

use {
    super::{fleet::Host, stand_in::client},
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::{interval, timeout},
};

/// Interval of the questions whether a host is ready, and the time for the answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of answers missed after which a host gets no new connections.
const MISSES: u32 = 2;

/// Path of the question.
const READY_PATH: &str = "/api/ready";

/// The balancer; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Entry {
    /// Questions in a row that each host missed.
    missed: Rc<RefCell<Vec<u32>>>,
    /// Number of hosts that answered a question with 200, by the time of the questions.
    pub ready: Rc<RefCell<Vec<(Instant, usize)>>>,
}

impl Entry {
    /// Asks the hosts forever.
    pub async fn run(self, hosts: Rc<RefCell<Vec<Host>>>) {
        let addresses: Vec<SocketAddr> = hosts.borrow().iter().map(|host| host.ready).collect();
        self.missed.replace(vec![0; addresses.len()]);
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            let asked = Instant::now();
            let questions = addresses
                .iter()
                .map(|address| tokio::task::spawn_local(is_ready(*address)));
            let questions: Vec<_> = questions.collect();
            let mut ready = 0;
            for (number, question) in questions.into_iter().enumerate() {
                let is_ready = question.await.unwrap();
                ready += usize::from(is_ready);
                let missed = &mut self.missed.borrow_mut()[number];
                *missed = if is_ready { 0 } else { *missed + 1 };
            }
            self.ready.borrow_mut().push((asked, ready));
        }
    }

    /// Returns the host of a new connection: one of all if fewer than half of them are ready.
    pub fn choose(&self, rng: &mut SmallRng) -> usize {
        let missed = self.missed.borrow();
        let inside: Vec<usize> = (0..missed.len())
            .filter(|number| missed[*number] < MISSES)
            .collect();
        if inside.len() * 2 < missed.len() {
            return rng.random_range(0..missed.len());
        }
        inside[rng.random_range(0..inside.len())]
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = format!("GET {READY_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let answer = timeout(CHECK_INTERVAL, client::try_send(address, &request)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status == 200)
}
