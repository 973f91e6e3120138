//! A harmful request that terminates each replica that starts to run it, sent again and again to random daemons.

use {
    super::{
        fleet::start_member,
        stand_in::{client, respawning::FATAL_BODY},
        trouble::World,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Prefix of the ids of harmful requests.
pub const HARMFUL: &str = "harm-";

/// Most replicas that the request may terminate while any daemon has a record of it: three, those that run it when the
/// third is terminated, and those to which isolated daemons send it. In two runs each, 19 and 34 were terminated without
/// a quarantine, 25 and 38 where daemons don't report it to each other.
const MOST_ENDED: usize = 8;

/// Replicas that the request terminates before a daemon that started isolated refuses it. In seed 3107 both daemons were
/// killed in short succession, twice; in seed 3137 one started behind a cut link and terminated three more replicas
/// before it received the other's report.
const ENDED_ANEW: usize = 3;

/// Upper bound of the random time between two sendings, in milliseconds.
const GAP_MS: u64 = 100;
/// Upper bound of the random time after which a terminated replica is replaced, in milliseconds.
const BACK_MS: u64 = 300;

/// Sends the request and replaces terminated replicas until it is aborted.
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
                // A daemon may be down or refuse the request.
                let _ = client::try_send(listen, &text).await;
            });
            let gap = rng.random_range(0..GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    };
    tokio::join!(replacing, sending);
}

/// Makes all replicas vulnerable to the request and replaces those that it terminated, until it is aborted.
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

/// Makes each present replica end, together with its proxy, when it starts to run the request.
fn arm(world: &World) {
    for member in world.members.borrow().iter() {
        member.replica.set_fatal_body(FATAL_BODY);
        let proxy = member.proxy.clone();
        member.replica.on_end(move || proxy.end());
    }
}

/// Returns the indices of the replicas that were terminated and whose replacement hasn't begun.
fn ended_unreplaced(world: &World) -> Vec<usize> {
    let members = world.members.borrow();
    let ended = members.iter().enumerate();
    let ended = ended.filter(|(_, member)| member.replica.has_ended() && !member.replaced);
    ended.map(|(place, _)| place).collect()
}

/// Removes the entry of a terminated replica, and starts another one unless the old one was draining.
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

/// Replaces the remaining terminated replicas, after the request is no longer sent.
pub async fn until_replaced(world: &World) {
    // Replacements that have begun finish in this time.
    tokio::time::sleep(Duration::from_millis(2 * BACK_MS)).await;
    for place in ended_unreplaced(world) {
        replace(world, place).await;
    }
}

/// Checks that the request terminated no more replicas than allowed.
pub fn check_ended(world: &World) {
    let members = world.members.borrow();
    let ended = members.iter().filter(|member| member.replica.has_ended());
    let ended = ended.count();
    let forgotten = world.forgotten.get();
    println!(
        "the harmful request terminated {ended} replicas; daemons started isolated {forgotten} times"
    );
    if ended > MOST_ENDED + ENDED_ANEW * forgotten {
        world.find(format!("one request terminated {ended} replicas"));
    }
}
