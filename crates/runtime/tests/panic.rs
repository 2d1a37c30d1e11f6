//! A panic of the control thread.

use std::time::Duration;

use greengage_budget::Shares;
use greengage_cluster::{scheduler, Outcome, Status};
use greengage_core::{Address, RequestId, TargetName, VmName, ZoneName};
use greengage_runtime::{inputs, run, ControlPanicked, Frontend, Settings};

struct FaultyFrontend;

impl Frontend for FaultyFrontend {
    fn answer(&mut self, _: RequestId, _: Outcome) {}
    fn call(&mut self, _: TargetName, _: Address, _: u64, _: scheduler::TargetCall) {}

    fn is_waiting(&self, _: RequestId) -> bool {
        true
    }

    fn status_changed(&mut self, _: &Status) {
        panic!("fault of the test");
    }
}

/// Guards against a panic that ends the process before its callers are answered.
#[test]
fn panic_is_returned_as_an_error() {
    let address = "127.0.0.1:0".parse().unwrap();
    let settings = Settings {
        vm: VmName::new("127.0.0.1").unwrap(),
        zone: ZoneName::new("north").unwrap(),
        entry: true,
        mesh_address: address,
        listen_address: address,
        api_address: None,
        seeds: Vec::new(),
        data_folder: None,
        bootstrap: true,
        voter_count: 1,
        grace_period: Duration::from_secs(1),
        stop_delay: Duration::ZERO,
        shares: Shares::new(None, None),
        report_interval: Duration::from_secs(1),
    };
    let (sender, inputs) = inputs();
    let error = run(&settings, sender, &inputs, &mut FaultyFrontend).unwrap_err();
    assert!(error.is::<ControlPanicked>(), "{error:#}");
}
