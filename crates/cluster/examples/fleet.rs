//! Prints what a large fleet costs its VMs: processor time of the control thread, messages and
//! bytes a second, by role and kind of input.
//!
//!     cargo run --release -p greengage-cluster --example fleet -- ENTRY_VMS TARGETS JOBS_PER_S

#![allow(dead_code, reason = "tests use the other parts of the simulated fleet")]

use std::time::Duration;

#[path = "../tests/support/fleet.rs"]
mod fleet;

use fleet::{Cost, Fleet, Size};

/// Time for the VMs to discover one another and to claim the targets.
const START_TIME: Duration = Duration::from_secs(8);
/// Time over which costs are measured, in seconds.
const MEASURED_S: u32 = 4;

fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse().expect("arguments are numbers"))
        .collect();
    let [entry, targets, jobs_per_s] = arguments[..] else {
        eprintln!("usage: fleet ENTRY_VMS TARGETS JOBS_PER_S");
        std::process::exit(2);
    };
    let mut fleet = Fleet::new(Size {
        zones: 5,
        entry: entry as usize,
        targets: targets as usize,
        jobs_per_s,
    });
    fleet.run(START_TIME);
    println!(
        "after {START_TIME:?}: {} VMs live at the first entry VM, {} targets without an owner",
        fleet.live(fleet.nodes.len() - 1),
        fleet.without_owner()
    );
    fleet.start_callers();
    fleet.run(Duration::from_secs(1));
    fleet.reset_counts();
    fleet.completed.clear();
    fleet.failed.clear();
    fleet.run(Duration::from_secs(u64::from(MEASURED_S)));
    println!("per VM and second, times in microseconds of the processor:");
    println!("role     input          inputs  idle   step  decode  bytes   sent  encode");
    for (is_entry, role) in [(true, "entry"), (false, "control")] {
        let vms = fleet.nodes.iter().filter(|node| node.entry == is_entry);
        let seconds = (vms.count() as u32 * MEASURED_S) as f64;
        let rate = |count: u64| count as f64 / seconds;
        let micros = |time: Duration| time.as_secs_f64() * 1e6 / seconds;
        let print = |input: &str, cost: &Cost| {
            println!(
                "{role:8} {input:13} {:7.1} {:5.1} {:6.0} {:7.0} {:6.0} {:6.1} {:7.0}",
                rate(cost.inputs),
                rate(cost.idle),
                micros(cost.time),
                micros(cost.decode),
                rate(cost.bytes),
                rate(cost.sent),
                micros(cost.encode)
            );
        };
        let mut total = Cost::default();
        for ((_, kind), cost) in fleet.costs.iter().filter(|((e, _), _)| *e == is_entry) {
            total.add(cost);
            print(&format!("{kind:?}"), cost);
        }
        print("all", &total);
    }
    fleet.completed.sort();
    let at = |percent: usize| fleet.completed.get(fleet.completed.len() * percent / 100);
    println!(
        "{} jobs completed; median {:?}, p90 {:?}; not completed: {:?}",
        fleet.completed.len(),
        at(50),
        at(90),
        fleet.failed
    );
}
