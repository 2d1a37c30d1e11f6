//! Tests of evacuated zones under load.

use std::time::Duration;

use greengage_core::{Time, ZoneName};
use greengage_scheduler::{Event, Reply};

use crate::load::run_load;
use crate::support::Simulation;

const MS: Duration = Duration::from_millis(1);

/// Tells all VMs at once which zones are evacuated.
fn evacuate(sim: &mut Simulation, zones: &[&str]) {
    let zones: Vec<ZoneName> = zones.iter().map(|z| ZoneName::new(z).unwrap()).collect();
    for vm in 0..sim.vms.len() {
        let incarnation = sim.vms[vm].incarnation;
        sim.event(vm, incarnation, Event::Evacuations(zones.clone()));
    }
}

/// Number of starts on the targets of a zone.
fn starts(sim: &Simulation, zone: usize) -> u64 {
    let targets = sim.targets.iter().skip(zone).step_by(3);
    targets.map(|t| t.starts).sum()
}

/// Share of the jobs submitted since a time to the VMs of a zone that were completed in time.
fn share_in_time(sim: &Simulation, zone: usize, since: Time) -> f64 {
    let callers = sim.callers.iter();
    let asked: Vec<_> = callers
        .filter(|c| c.vm % 3 == zone && c.sent >= since)
        .collect();
    let served = asked.iter().filter(|c| match &c.answer {
        Some((time, Reply::Completed)) => time.since(c.sent) <= c.objective,
        _ => false,
    });
    served.count() as f64 / asked.len() as f64
}

/// Guards against tasks that are started in an evacuated zone, runs that are stopped there, and callers
/// of its VMs that are served worse than others. With 24 VMs, offers are updated within zones only.
#[test]
fn evacuated_zone_is_served_elsewhere() {
    let mut sim = Simulation::new(21, 24, 72);
    run_load(&mut sim, 0.4, 3);
    sim.submit(1, 1, vec![Duration::from_millis(900); 3]);
    sim.run(50 * MS);
    let running: usize = sim
        .targets
        .iter()
        .skip(1)
        .step_by(3)
        .map(|t| t.runs.len())
        .sum();
    assert!(running > 0, "tasks run in the zone when it is evacuated");
    let since = sim.now;
    evacuate(&mut sim, &["z1"]);
    // Starts that are on their way.
    sim.run(10 * MS);
    let before = starts(&sim, 1);
    run_load(&mut sim, 0.6, 5);
    assert_eq!(starts(&sim, 1), before);
    let shares: Vec<f64> = (0..3)
        .map(|zone| share_in_time(&sim, zone, since))
        .collect();
    assert!(shares.iter().all(|share| *share >= 0.95), "{shares:?}");
    assert!(sim.callers.iter().all(|c| c.answer.is_some()));
    evacuate(&mut sim, &[]);
    run_load(&mut sim, 0.4, 1);
    assert!(starts(&sim, 1) > before);
    assert!(sim.duplicates.is_empty(), "{:?}", sim.duplicates);
    assert!(sim.answer_faults().is_empty(), "{:?}", sim.answer_faults());
}

/// Guards against a job that counts as failed because the only targets that it fits on are evacuated.
#[test]
fn job_that_fits_only_in_evacuated_zones_is_refused_for_now() {
    let mut sim = Simulation::new(22, 3, 9);
    sim.run(Duration::from_secs(4));
    evacuate(&mut sim, &["z0", "z1", "z2"]);
    let caller = sim.submit(0, 0, vec![50 * MS; 2]);
    sim.run(Duration::from_secs(2));
    let answer = sim.callers[caller].answer.clone();
    let is_refused = matches!(&answer, Some((_, Reply::Refused { after })) if !after.is_zero());
    assert!(is_refused, "{answer:?}");
    let waited = answer.unwrap().0.since(sim.callers[caller].sent);
    assert!(waited <= 5 * MS, "{waited:?}");
    evacuate(&mut sim, &[]);
    let caller = sim.submit(0, 0, vec![50 * MS; 2]);
    sim.run(Duration::from_secs(1));
    let answer = sim.callers[caller].answer.clone();
    assert!(matches!(answer, Some((_, Reply::Completed))), "{answer:?}");
}
