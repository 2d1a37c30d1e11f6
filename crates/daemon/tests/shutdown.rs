//! Shutdowns of a VM of the platform role that has callers.

use std::path::Path;

use greengage_soak::{shut_down_control_vm, shut_down_entry_vm, ShutdownReport, GRACE_PERIOD};

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
    let report = shut_down_entry_vm(Path::new(env!("CARGO_BIN_EXE_greengageproxy")));
    assert_clean(&report.expect("the scenario runs"));
}

/// Guards against operators' requests that a control VM drops when it shuts down.
#[test]
fn shutdown_of_a_control_vm_leaves_no_operator_unanswered() {
    let report = shut_down_control_vm(Path::new(env!("CARGO_BIN_EXE_greengageproxy")));
    assert_clean(&report.expect("the scenario runs"));
}
