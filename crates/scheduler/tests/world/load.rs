//! Tests of the answers to callers under loads near and above the capacity.

use std::time::Duration;

use greengage_scheduler::Reply;

use crate::support::Simulation;

/// Kinds of requests: queue, mean work in ms, mean number of tasks, and requests per second and
/// target.
const REQUEST_KINDS: [(usize, u64, u64, f64); 3] =
    [(0, 51, 8, 0.63), (1, 760, 4, 0.115), (2, 170, 2, 1.83)];

/// Submits the mix of requests for `seconds`, at `rate` times the ordinary rate.
pub(crate) fn run_load(sim: &mut Simulation, rate: f64, seconds: u64) {
    let targets = sim.targets.len() as f64;
    let vms = sim.vms.len() as u64;
    for _ in 0..seconds * 100 {
        for (queue, work, tasks_mean, per_second) in REQUEST_KINDS {
            let mean = per_second * targets * rate / 100.0;
            let mut jobs = mean as u64;
            jobs += u64::from(sim.rng.chance(((mean - jobs as f64) * 100.0) as u64));
            for _ in 0..jobs {
                let tasks = (tasks_mean as f64 * sim.rng.spread(40)).ceil().max(1.0) as u64;
                let job = sim.rng.spread(40);
                let work = (0..tasks)
                    .map(|_| Duration::from_millis(work).mul_f64(job * sim.rng.spread(15)))
                    .collect();
                let vm = sim.rng.below(vms) as usize;
                sim.submit(vm, queue, work);
            }
        }
        sim.run(Duration::from_millis(10));
    }
    sim.run(Duration::from_secs(3));
}

fn in_time_share(sim: &Simulation) -> f64 {
    let (mut in_time, mut total) = (0, 0);
    for (queue, ..) in REQUEST_KINDS {
        let (in_time_of_queue, all) = sim.in_time(queue);
        in_time += in_time_of_queue;
        total += all;
    }
    in_time as f64 / total as f64
}

/// Guards against long tasks on slow targets under light load: nearly all jobs are served in time,
/// and nine tenths of the long ones.
#[test]
fn light_load_is_served_in_time() {
    let mut sim = Simulation::new(11, 3, 24);
    run_load(&mut sim, 0.6, 10);
    assert!(in_time_share(&sim) >= 0.95, "{}", in_time_share(&sim));
    let (in_time, total) = sim.in_time(1);
    assert!(in_time * 10 >= total * 9, "{in_time} of {total}");
}

/// Guards against queues that make all jobs late under overload: most of what the capacity allows
/// is still served in time, and refusals are sent early.
#[test]
fn overload_refuses_early_and_serves_the_rest() {
    let mut sim = Simulation::new(12, 3, 24);
    run_load(&mut sim, 1.6, 8);
    assert!(in_time_share(&sim) >= 0.45, "{}", in_time_share(&sim));
    let mut late = 0;
    let mut refused = 0;
    for caller in &sim.callers {
        if let Some((time, Reply::Refused { after })) = &caller.answer {
            refused += 1;
            assert!(*after > Duration::ZERO, "a refusal has a retry delay");
            // The limit is a quarter of the objective, which the VM estimates from the declared run
            // time.
            late += usize::from(time.since(caller.sent) > caller.objective / 2);
        }
    }
    assert!(refused > 0);
    assert!(
        late * 10 <= refused,
        "{late} of {refused} refusals came late"
    );
    assert!(sim.duplicates.is_empty());
}

/// Guards against refusals by one VM while others have free resources: all callers use one of three
/// VMs, at a load that the deployment can easily serve.
#[test]
fn load_on_one_vm_is_spread_to_all() {
    let mut sim = Simulation::new(13, 3, 24);
    for _ in 0..400 {
        sim.submit(0, 0, vec![Duration::from_millis(50); 6]);
        sim.run(Duration::from_millis(20));
    }
    sim.run(Duration::from_secs(1));
    let (in_time, total) = sim.in_time(0);
    assert!(in_time * 100 >= total * 95, "{in_time} of {total}");
    let starts: Vec<u64> = sim.targets.iter().map(|t| t.starts).collect();
    let zones = |z: usize| -> u64 { starts.iter().skip(z).step_by(3).sum() };
    assert!(zones(1) > 0 && zones(2) > 0, "{starts:?}");
}
