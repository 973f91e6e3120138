//! A harmful request that terminates each replica that starts to run it, sent again and again to random daemons.

use {
    super::{
        fleet::start_member,
        stand_in::{
            client,
            respawning::{FATAL_BODY, FATAL_PARTS},
        },
        trouble::World,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Prefix of the ids of harmful requests.
pub const HARMFUL_PREFIX: &str = "harm-";

/// Most replicas that the request may terminate while any daemon has a record of it: three, those that run it when the
/// third is terminated, and those to which isolated daemons send it. In two runs each, 19 and 34 were terminated without
/// a quarantine, 25 and 38 where daemons don't report it to each other.
const MAX_TERMINATED: usize = 8;

/// Replicas that the request terminates before a daemon that started isolated refuses it. In seed 3107 both daemons were
/// killed in short succession, twice; in seed 3137 one started behind a cut link and terminated three more replicas
/// before it received the other's report.
const TERMINATED_PER_START: usize = 3;

/// Upper bound of the random time between two sendings, in milliseconds.
const MAX_GAP_MS: u64 = 100;
/// Upper bound of the random time after which a terminated replica is replaced, in milliseconds.
const MAX_REPLACE_MS: u64 = 300;

/// Sends the request and replaces terminated replicas until it is aborted. With `by_part`, no two requests are alike, and
/// it is a part of their prompts that terminates replicas.
pub async fn run(world: World, mut rng: SmallRng, by_part: bool) {
    let plain = rng.random() && !by_part;
    let path = if plain { "/r/harm" } else { "/s/harm" };
    let replacing = replace_terminated(world.clone(), SmallRng::from_rng(&mut rng));
    let sending = async {
        for number in 0.. {
            let daemons = world.daemons.borrow().len();
            let listen = world.daemons.borrow()[rng.random_range(0..daemons)].listen;
            let id = format!("{HARMFUL_PREFIX}{number}");
            let text = if by_part {
                let prompt = format!("aa:20,{}:20,{number:x}:10", FATAL_PARTS[0]);
                client::prompt_request(path, &id, &prompt, &id)
            } else {
                client::request("POST", path, &id, &[], FATAL_BODY)
            };
            tokio::task::spawn_local(async move {
                // A daemon may be down or refuse the request.
                let _ = client::try_send(listen, &text).await;
            });
            let gap = rng.random_range(0..MAX_GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    };
    tokio::join!(replacing, sending);
}

/// Makes all replicas vulnerable to the request and replaces those that it terminated, until it is aborted.
async fn replace_terminated(world: World, mut rng: SmallRng) {
    loop {
        arm(&world);
        for index in unreplaced(&world) {
            let delay = Duration::from_millis(rng.random_range(0..MAX_REPLACE_MS));
            world.members.borrow_mut()[index].replaced = true;
            let world = world.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                replace(&world, index).await;
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Makes each present replica end, together with its proxy, when it starts to run the request.
fn arm(world: &World) {
    for member in world.members.borrow().iter() {
        member.replica.set_fatal_body(FATAL_BODY);
        member.replica.set_fatal_parts(&FATAL_PARTS);
        let proxy = member.proxy.clone();
        member.replica.on_end(move || proxy.end());
    }
}

/// Returns the indices of the replicas that were terminated and whose replacement hasn't begun.
fn unreplaced(world: &World) -> Vec<usize> {
    let members = world.members.borrow();
    let terminated = members.iter().enumerate();
    let terminated =
        terminated.filter(|(_, member)| member.replica.has_ended() && !member.replaced);
    terminated.map(|(index, _)| index).collect()
}

/// Removes the entry of a terminated replica, and starts another one unless the old one was draining.
async fn replace(world: &World, index: usize) {
    let (service, id, left) = {
        let mut members = world.members.borrow_mut();
        let member = &mut members[index];
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
pub async fn replace_remaining(world: &World) {
    // Replacements that have begun finish in this time.
    tokio::time::sleep(Duration::from_millis(2 * MAX_REPLACE_MS)).await;
    for index in unreplaced(world) {
        replace(world, index).await;
    }
}

/// Checks that the request terminated no more replicas than allowed.
pub fn check_terminated(world: &World) {
    let members = world.members.borrow();
    let terminated = members.iter().filter(|member| member.replica.has_ended());
    let terminated = terminated.count();
    let isolated_starts = world.isolated_starts.get();
    println!(
        "the harmful request terminated {terminated} replicas; daemons started isolated {isolated_starts} times"
    );
    if terminated > MAX_TERMINATED + TERMINATED_PER_START * isolated_starts {
        world.add_finding(format!("one request terminated {terminated} replicas"));
    }
}
