//! Loads near and above the capacity, and what callers get.

use std::time::Duration;

use greengage_scheduler::Reply;

use crate::support::World;

/// Kinds of request: queue, mean work in ms, tasks, requests for each second and target.
const KINDS: [(usize, u64, u64, f64); 3] =
    [(0, 51, 8, 0.63), (1, 760, 4, 0.115), (2, 170, 2, 1.83)];

/// Plays `seconds` of the mix at a multiple of the ordinary rate.
fn play(world: &mut World, rate: f64, seconds: u64) {
    let targets = world.targets.len() as f64;
    let vms = world.vms.len() as u64;
    for _ in 0..seconds * 100 {
        for (queue, work, width, per_second) in KINDS {
            let mean = per_second * targets * rate / 100.0;
            let mut jobs = mean as u64;
            jobs += u64::from(world.rng.chance(((mean - jobs as f64) * 100.0) as u64));
            for _ in 0..jobs {
                let tasks = (width as f64 * world.rng.spread(40)).ceil().max(1.0) as u64;
                let job = world.rng.spread(40);
                let work = (0..tasks)
                    .map(|_| Duration::from_millis(work).mul_f64(job * world.rng.spread(15)))
                    .collect();
                let vm = world.rng.below(vms) as usize;
                world.submit(vm, queue, work);
            }
        }
        world.run(Duration::from_millis(10));
    }
    world.run(Duration::from_secs(3));
}

fn share(world: &World) -> f64 {
    let (mut served, mut asked) = (0, 0);
    for (queue, ..) in KINDS {
        let (in_time, all) = world.in_time(queue);
        served += in_time;
        asked += all;
    }
    served as f64 / asked as f64
}

/// Guards against placement that leaves long work to slow targets on a quiet day: nearly all
/// callers are served in time, and of long work nine tenths.
#[test]
fn quiet_load_is_served_in_time() {
    let mut world = World::new(11, 3, 24);
    play(&mut world, 0.6, 10);
    assert!(share(&world) >= 0.95, "{}", share(&world));
    let (served, asked) = world.in_time(1);
    assert!(served * 10 >= asked * 9, "{served} of {asked}");
}

/// Guards against a queue that makes all callers late at the crest: well above the capacity most
/// of what the capacity allows is still served in time, and refusals come early.
#[test]
fn crest_refuses_early_and_serves_the_rest() {
    let mut world = World::new(12, 3, 24);
    play(&mut world, 1.6, 8);
    assert!(share(&world) >= 0.45, "{}", share(&world));
    let mut late = 0;
    let mut refused = 0;
    for caller in &world.callers {
        if let Some((at, Reply::Refused { after })) = &caller.answer {
            refused += 1;
            assert!(
                *after > Duration::ZERO,
                "a refusal names a time to come back"
            );
            // A quarter of the objective, as far as the declared time told it.
            late += usize::from(at.since(caller.sent) > caller.objective / 2);
        }
    }
    assert!(refused > 0);
    assert!(
        late * 10 <= refused,
        "{late} of {refused} refusals came late"
    );
    assert!(world.twice.is_empty());
}

/// Guards against a VM that refuses work while others have room: all callers come to one VM of
/// three, at a load that the deployment carries with ease.
#[test]
fn load_of_one_vm_is_carried_by_all() {
    let mut world = World::new(13, 3, 24);
    for _ in 0..400 {
        world.submit(0, 0, vec![Duration::from_millis(50); 6]);
        world.run(Duration::from_millis(20));
    }
    world.run(Duration::from_secs(1));
    let (served, asked) = world.in_time(0);
    assert!(served * 100 >= asked * 95, "{served} of {asked}");
    let starts: Vec<u64> = world.targets.iter().map(|t| t.starts).collect();
    let zones = |z: usize| -> u64 { starts.iter().skip(z).step_by(3).sum() };
    assert!(zones(1) > 0 && zones(2) > 0, "{starts:?}");
}
