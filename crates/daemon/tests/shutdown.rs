//! Shutdowns of a VM of the platform role that has callers.

use std::path::Path;
use std::time::Duration;

use greengage_soak::{
    shut_down_control_vm, shut_down_entry_vm, signal_during_start, ShutdownReport, GRACE_PERIOD,
};
use rustix::process::Signal;

/// Time in which a process that shouldn't end is observed.
const OBSERVATION: Duration = Duration::from_secs(1);

fn assert_clean(report: &ShutdownReport) {
    let unanswered = report.requests.iter().filter(|(_, answer)| answer.is_err());
    let unanswered = unanswered.count();
    assert!(
        unanswered == 0 && report.violations.is_empty(),
        "{unanswered} requests without a complete answer: {report:#?}"
    );
    let in_time = report.exit.as_ref().is_ok_and(|time| *time <= GRACE_PERIOD);
    assert!(
        in_time,
        "not shut down within the grace period: {report:#?}"
    );
}

/// Guards against connections that a shutdown closes while their callers wait for an answer.
#[test]
fn shutdown_of_an_entry_vm_leaves_no_caller_unanswered() {
    let report = shut_down_entry_vm(Path::new(env!("CARGO_BIN_EXE_greengageproxy")), &[]);
    assert_clean(&report.expect("the scenario runs"));
}

/// Guards against a second SIGTERM or a reload that cuts a shutdown short or makes it longer.
#[test]
fn further_signals_during_a_shutdown_leave_no_caller_unanswered() {
    let at = Duration::from_millis;
    let signals = [
        (at(300), Signal::HUP),
        (at(2600), Signal::TERM),
        (at(4500), Signal::TERM),
        (at(5000), Signal::HUP),
    ];
    let program = Path::new(env!("CARGO_BIN_EXE_greengageproxy"));
    let report = shut_down_entry_vm(program, &signals);
    assert_clean(&report.expect("the scenario runs"));
}

/// Guards against operators' requests that a control VM drops when it shuts down.
#[test]
fn shutdown_of_a_control_vm_leaves_no_operator_unanswered() {
    let report = shut_down_control_vm(Path::new(env!("CARGO_BIN_EXE_greengageproxy")));
    assert_clean(&report.expect("the scenario runs"));
}

/// Guards against a process that ends because its settings change while it starts.
#[test]
fn reload_during_the_start_does_not_end_the_process() {
    let program = Path::new(env!("CARGO_BIN_EXE_greengageproxy"));
    let exit = signal_during_start(program, Signal::HUP, OBSERVATION);
    assert_eq!(exit.expect("the scenario runs"), None);
}

/// Guards against a process that is killed by a SIGTERM during its start instead of shutting down.
#[test]
fn termination_during_the_start_is_a_clean_shutdown() {
    let program = Path::new(env!("CARGO_BIN_EXE_greengageproxy"));
    let exit = signal_during_start(program, Signal::TERM, GRACE_PERIOD);
    let exit = exit.expect("the scenario runs");
    assert_eq!(exit.as_deref(), Some("exit status: 0"));
}
