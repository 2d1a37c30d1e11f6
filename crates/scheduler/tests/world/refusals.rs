//! Tests of the refusals that operators see.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::Version;
use greengage_scheduler::{Event, Reason, Reply};

use crate::load::run_load;
use crate::support::{document, Action, Simulation};

/// Guards against refusals that aren't counted, or under another queue, and against counters of
/// queues that were removed.
#[test]
fn refusals_are_counted_by_queue_until_it_is_removed() {
    let mut sim = Simulation::new(14, 1, 8);
    run_load(&mut sim, 2.0, 3);
    let counts = sim.vms[0].scheduler.changed_refusals().unwrap();
    for queue in 0..3 {
        let refused = |reply: &Reply| matches!(reply, Reply::Refused { .. });
        let callers = sim.callers.iter().filter(|c| c.queue == queue);
        let answers = callers.filter_map(|c| c.answer.as_ref());
        let refused = answers.filter(|(_, reply)| refused(reply)).count() as u64;
        let found = counts.iter().find(|(q, _)| **q == *format!("q{queue}"));
        assert_eq!(found.map_or(0, |(_, c)| c.iter().sum()), refused, "{queue}");
    }
    let late = counts.iter().map(|(_, c)| c[Reason::LongestWait as usize]);
    assert!(late.sum::<u64>() > 0, "{counts:?}");
    assert!(sim.vms[0].scheduler.changed_refusals().is_none());
    let mut smaller = (*document(2)).clone();
    smaller.version = Version(2);
    smaller.queues.retain(|queue| *queue.name != *"q2");
    sim.schedule(
        Duration::ZERO,
        Action::Event(0, 1, Event::Configuration(Arc::new(smaller))),
    );
    sim.run(Duration::from_millis(10));
    let counts = sim.vms[0].scheduler.changed_refusals().unwrap();
    assert!(
        counts.iter().all(|(queue, _)| **queue != *"q2"),
        "{counts:?}"
    );
}

/// Guards against jobs that are refused for a flood on another queue of their priority: of a queue
/// that offers less than its share, more than half is served.
#[test]
fn flooded_queue_gives_way_to_another_of_its_priority() {
    let mut sim = Simulation::new(31, 1, 12);
    let mut equal = (*document(2)).clone();
    equal.version = Version(2);
    for queue in &mut equal.queues {
        queue.priority = 1;
    }
    sim.schedule(
        Duration::ZERO,
        Action::Event(0, 1, Event::Configuration(Arc::new(equal))),
    );
    for _ in 0..500 {
        for _ in 0..4 {
            sim.submit(0, 0, vec![Duration::from_millis(50); 4]);
        }
        if sim.rng.chance(40) {
            sim.submit(0, 1, vec![Duration::from_millis(50); 4]);
        }
        sim.run(Duration::from_millis(10));
    }
    sim.run(Duration::from_secs(2));
    let part = |(in_time, all): (usize, usize)| in_time as f64 / all as f64;
    let (flooded, steady) = (part(sim.in_time(0)), part(sim.in_time(1)));
    assert!(steady > 0.5 && flooded < 0.5, "{steady} {flooded}");
    let counts = sim.vms[0].scheduler.changed_refusals().unwrap();
    let gave_way = |queue: &str| {
        let found = counts.iter().find(|(q, _)| **q == *queue);
        found.map_or(0, |(_, c)| c[Reason::GaveWay as usize])
    };
    assert!(gave_way("q0") > 0, "{counts:?}");
    assert_eq!(gave_way("q1"), 0, "{counts:?}");
}

/// Parts of the callers of each queue that are served in time beside a crowd on the queue of the lowest
/// priority: each 10 ms this many jobs that are too wide to be served.
fn parts_beside_wide_jobs(crowd: usize) -> [f64; 3] {
    let mut sim = Simulation::new(31, 1, 12);
    sim.run(Duration::from_secs(2));
    for _ in 0..400 {
        for queue in 0..3 {
            if sim.rng.chance(80) {
                sim.submit(0, queue, vec![Duration::from_millis(50); 4]);
            }
        }
        for _ in 0..crowd {
            // Queue 7 is the same as 1 to the VM.
            sim.submit(0, 7, vec![Duration::from_millis(50); 24]);
        }
        sim.run(Duration::from_millis(10));
    }
    sim.run(Duration::from_secs(2));
    [0, 1, 2].map(|queue| {
        let (in_time, all) = sim.in_time(queue);
        in_time as f64 / all as f64
    })
}

/// Guards against a crowd whose refused jobs raise the demand of the lowest priority, so that jobs of
/// the highest one give way.
#[test]
fn wide_jobs_of_the_lowest_priority_cost_the_highest_nothing() {
    let (calm, crowded) = (parts_beside_wide_jobs(0), parts_beside_wide_jobs(3));
    assert!(
        crowded[0] >= 0.85 * calm[0],
        "{crowded:?}, {calm:?} without the crowd"
    );
    assert!(crowded[0] >= 0.85 * crowded[1], "{crowded:?}");
}
