//! Endpoints that are sound, but slow, and silent for more than a second now and then.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    super::stand_in::{
        replica::{Act, Replica},
        store::StandInStore,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{cell::RefCell, time::Duration},
};

/// Number of events in a whole stream.
pub const EVENTS: u64 = 30;

/// Number of events in a whole stream of a steady endpoint.
const STEADY_EVENTS: u64 = 10;

/// Services, each with its number of endpoints.
pub type Services = [(&'static str, usize); 4];

/// Endpoints for a few hosts.
pub const FEW: Services = [("llm", 8), ("llm2", 4), ("plain", 4), ("enc", 4)];

/// An endpoint and its service.
#[derive(Debug, Clone)]
struct Member {
    replica: Replica,
    service: &'static str,
    /// Whether its entry says that it is leaving.
    left: bool,
}

/// The endpoints of a run.
#[derive(Debug)]
pub struct Endpoints {
    members: RefCell<Vec<Member>>,
}

impl Endpoints {
    /// Starts the endpoints of all services.
    pub async fn start(store: &StandInStore, services: Services, mut rng: SmallRng) -> Self {
        let endpoints = Self {
            members: RefCell::default(),
        };
        for (service, count) in services {
            for _ in 0..count {
                endpoints.add(store, service, &mut rng).await;
            }
        }
        endpoints
    }

    /// Starts the endpoints of all services, all of which answer alike.
    pub async fn start_steady(store: &StandInStore, services: Services) -> Self {
        let endpoints = Self::start(store, services, SmallRng::seed_from_u64(0)).await;
        for member in endpoints.members.borrow().iter() {
            let act = if member.service.starts_with("llm") {
                Act::Events {
                    to: STEADY_EVENTS,
                    pause: Duration::from_millis(100),
                    whole: true,
                }
            } else {
                Act::Wait(Duration::from_millis(60), "served".into())
            };
            member.replica.set_default_act(act);
        }
        endpoints
    }

    async fn add(&self, store: &StandInStore, service: &'static str, rng: &mut SmallRng) {
        let number = self.members.borrow().len();
        let id = format!("i-{service}-{number}");
        let replica = Replica::start_behind(&id, async |address| address).await;
        replica.set_piece_time(Duration::from_millis(150));
        replica.set_default_act(draw_act(service, rng));
        replica.write_entry(store, service, "ready");
        let left = false;
        self.members.borrow_mut().push(Member {
            replica,
            service,
            left,
        });
    }

    /// Changes how the endpoints answer the next requests.
    pub fn vary(&self, rng: &mut SmallRng) {
        for member in self.members.borrow().iter() {
            member
                .replica
                .set_default_act(draw_act(member.service, rng));
        }
    }

    /// Starts an endpoint in place of another one, which begins to leave and goes on serving.
    pub async fn replace(&self, store: &StandInStore, rng: &mut SmallRng) {
        let (index, service) = {
            let members = self.members.borrow();
            let staying: Vec<usize> = (0..members.len()).filter(|n| !members[*n].left).collect();
            let index = staying[rng.random_range(0..staying.len())];
            (index, members[index].service)
        };
        self.add(store, service, rng).await;
        let mut members = self.members.borrow_mut();
        members[index].left = true;
        members[index]
            .replica
            .write_entry(store, service, "draining");
    }

    /// Lets the endpoints write their entries again, as they do periodically, but for a share of them at most.
    pub fn write_entries(&self, store: &StandInStore, lapsed: f64) {
        let members = self.members.borrow();
        let silent = (members.len() as f64 * lapsed) as usize;
        let staying = members.iter().filter(|member| !member.left);
        for member in staying.skip(silent) {
            member.replica.write_entry(store, member.service, "ready");
        }
    }

    /// Removes the entries of a share of the endpoints, which go on serving.
    pub fn expire(&self, store: &StandInStore, share: f64) {
        let members = self.members.borrow();
        let count = (members.len() as f64 * share) as usize;
        for member in members.iter().take(count) {
            store.expire(&format!("servers/{}", member.replica.id));
        }
    }

    /// Returns whether an endpoint ran a request.
    pub fn has_run(&self, id: &str) -> bool {
        let members = self.members.borrow();
        members
            .iter()
            .any(|member| member.replica.ran().iter().any(|ran| ran == id))
    }
}

fn draw_act(service: &str, rng: &mut SmallRng) -> Act {
    let ms = Duration::from_millis;
    if !service.starts_with("llm") {
        return match rng.random_range(0..4) {
            0 => Act::Wait(ms(rng.random_range(300..1_500)), "slow".into()),
            _ => Act::Wait(ms(60), "served".into()),
        };
    }
    match rng.random_range(0..10) {
        0..3 => Act::Pausing {
            before: rng.random_range(1..EVENTS),
            pause: ms(rng.random_range(1_000..1_800)),
            to: EVENTS,
        },
        3 => Act::Late(
            ms(rng.random_range(500..2_800)),
            Box::new(Act::Events {
                to: EVENTS,
                pause: ms(20),
                whole: true,
            }),
        ),
        4..7 => Act::Events {
            to: EVENTS,
            pause: ms(100),
            whole: true,
        },
        _ => Act::Events {
            to: EVENTS,
            pause: ms(40),
            whole: true,
        },
    }
}
