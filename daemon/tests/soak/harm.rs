//! A request that ends each replica that begins to run it, sent again and again to random daemons.

use {
    super::{
        fleet::start_member,
        stand_in::{client, respawning::FATAL_BODY},
        trouble::World,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Beginning of the ids of harmful requests.
pub const HARMFUL: &str = "harm-";

/// Most replicas that may end under the request while any daemon knows of it: three, what is on its way when the third
/// ends, and what daemons begin with that were cut off from all others. Without any memory of it 19 and 34 ended in
/// two runs, where daemons don't tell each other 25 and 38.
const MOST_ENDED: usize = 8;

/// Replicas that end before a daemon that started alone refuses the request. In seed 3107 both daemons were killed
/// shortly after one another, twice; in seed 3137 one started behind a link that was cut, and ended three more before it
/// heard of the other.
const ENDED_ANEW: usize = 3;

/// Longest time to the next sending, and that after which a replica is back, in milliseconds.
const GAP_MS: u64 = 100;
const BACK_MS: u64 = 300;

/// Sends the request for good, and replaces the replicas that end.
pub async fn run(world: World, mut rng: SmallRng) {
    let path = if rng.random() { "/r/harm" } else { "/s/harm" };
    let replacing = replace_ended(world.clone(), SmallRng::from_rng(&mut rng));
    let sending = async {
        for number in 0.. {
            let daemons = world.daemons.borrow().len();
            let listen = world.daemons.borrow()[rng.random_range(0..daemons)].listen;
            let text =
                client::request("POST", path, &format!("{HARMFUL}{number}"), &[], FATAL_BODY);
            tokio::task::spawn_local(async move {
                // A daemon that is down or refuses it is no finding.
                let _ = client::try_send(listen, &text).await;
            });
            let gap = rng.random_range(0..GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    };
    tokio::join!(replacing, sending);
}

/// Makes the replicas that are there end under the request, and replaces those that have ended, for good.
async fn replace_ended(world: World, mut rng: SmallRng) {
    loop {
        arm(&world);
        for place in ended_unreplaced(&world) {
            let back = Duration::from_millis(rng.random_range(0..BACK_MS));
            world.members.borrow_mut()[place].replaced = true;
            let world = world.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(back).await;
                replace(&world, place).await;
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Makes replicas end under the request.
fn arm(world: &World) {
    for member in world.members.borrow().iter() {
        member.replica.set_fatal_body(FATAL_BODY);
        let proxy = member.proxy.clone();
        member.replica.on_end(move || proxy.end());
    }
}

/// Returns the places of the replicas that have ended and stand in the store.
fn ended_unreplaced(world: &World) -> Vec<usize> {
    let members = world.members.borrow();
    let ended = members.iter().enumerate();
    let ended = ended.filter(|(_, member)| member.replica.has_ended() && !member.replaced);
    ended.map(|(place, _)| place).collect()
}

/// Removes the entry of a replica that ended, and starts another one in its place unless it was leaving.
async fn replace(world: &World, place: usize) {
    let (service, id, left) = {
        let mut members = world.members.borrow_mut();
        let member = &mut members[place];
        let left = std::mem::replace(&mut member.left, true);
        (member.service, member.replica.id.clone(), left)
    };
    world.store.remove(&format!("servers/{id}"));
    if !left {
        let number = world.members.borrow().len();
        let new = start_member(&world.store, service, number).await;
        world.members.borrow_mut().push(new);
    }
}

/// Replaces the replicas that have ended when the request doesn't come any more.
pub async fn until_replaced(world: &World) {
    // Those whose replacement has begun get it meanwhile.
    tokio::time::sleep(Duration::from_millis(2 * BACK_MS)).await;
    for place in ended_unreplaced(world) {
        replace(world, place).await;
    }
}

/// Checks that the request ended few replicas.
pub fn check_ended(world: &World) {
    let members = world.members.borrow();
    let ended = members.iter().filter(|member| member.replica.has_ended());
    let ended = ended.count();
    let forgotten = world.forgotten.get();
    println!("{ended} replicas ended under the harmful request, forgotten {forgotten} times");
    if ended > MOST_ENDED + ENDED_ANEW * forgotten {
        world.find(format!("{ended} replicas ended under one request"));
    }
}
