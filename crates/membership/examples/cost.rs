//! Prints the run time of a step for several numbers of targets.

use std::hint::black_box;
use std::time::Instant;

use greengage_core::{
    Address, Capacity, Demand, Incarnation, TargetName, TemplateName, Time, ZoneName,
};
use greengage_membership::{Announcement, AttemptResult, Event, Limits, Membership};

const STEPS: u64 = 400_000;

fn main() {
    println!("targets  ns per renewal  ns per attempt  ns per wake");
    for count in [440, 4_400, 44_000] {
        let targets: Vec<Announcement> = (0..count).map(announcement).collect();
        let mut machine = Membership::new(Limits::default(), Time(0));
        let mut now_us = 0;
        // All targets renew once a second.
        let interval_us = 1_000_000 / count;
        let mut time_steps = |interval_us: u64, event: &dyn Fn(&Announcement) -> Event| {
            let start = Instant::now();
            for i in 0..STEPS {
                now_us += interval_us;
                black_box(machine.step(Time(now_us), event(&targets[(i % count) as usize])));
            }
            start.elapsed().as_nanos() as u64 / STEPS
        };
        let renewal = time_steps(interval_us, &|a| Event::Announce(a.clone()));
        // Time does not advance, so that no lease expires.
        let attempt = time_steps(0, &|a| Event::Attempt {
            target: a.target.clone(),
            result: AttemptResult::Success,
        });
        let start = Instant::now();
        for _ in 0..STEPS {
            black_box(machine.next_wake());
        }
        let wake = start.elapsed().as_nanos() as u64 / STEPS;
        println!("{count:7}  {renewal:14}  {attempt:14}  {wake:11}");
    }
}

fn announcement(i: u64) -> Announcement {
    Announcement {
        target: TargetName::new(&format!("worker-{i}")).expect("a valid name"),
        incarnation: Incarnation(1),
        address: Address::new("127.0.0.1:9000").expect("a valid address"),
        zone: ZoneName::new("east").expect("a valid name"),
        rack: None,
        work: (0..4)
            .map(|k| TemplateName::new(&format!("kind-{k}")).expect("a valid name"))
            .collect(),
        capacity: Capacity::Worker(Demand::default()),
        usage: None,
        fencing: true,
        leaving: false,
    }
}
