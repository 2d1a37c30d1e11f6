//! Loss of data folders, and VMs that are down while members and documents change.

use std::time::{Duration, Instant};

use greengage_standin::{Answer, Job};
use serde_json::json;

use crate::harness::{TestCluster, ACCOUNT, STEP_TIMEOUT, TEMPLATE};
use crate::jobs::{assert_answers_agree, new_job};
use crate::THREE_VMS;

/// Waits until a live VM reports its data folder; returns its member id, as `greengagectl group`
/// writes it.
fn wait_member_id(cluster: &TestCluster, name: &str) -> String {
    let mut found = String::new();
    cluster.wait_until("the VM reports its data folder", STEP_TIMEOUT, || {
        let vms = cluster.admin_get("north-1", "/v1/vms").unwrap_or_default();
        let vms = vms["vms"].as_array().cloned().unwrap_or_default();
        let vm = vms
            .iter()
            .find(|vm| vm["vm"] == name && vm["alive"] == true);
        let folder = vm.and_then(|vm| vm["folder"].as_str());
        let Some(folder) = folder.filter(|folder| *folder != "0") else {
            return false;
        };
        found = format!("{name}#{folder}");
        true
    });
    found
}

/// Changes the members of a group, with retries until the change is accepted.
fn change_members(cluster: &TestCluster, group: &str, body: &serde_json::Value) {
    let path = format!("/v1/groups/{group}/change");
    let mut last_answer = None;
    let deadline = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < deadline {
        last_answer = cluster.admin_request("north-1", "POST", &path, Some(body));
        if last_answer
            .as_ref()
            .is_some_and(|(status, _)| *status == 200)
        {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("change {body} of group {group} not accepted within {STEP_TIMEOUT:?}: {last_answer:?}");
}

/// Guards against losing accepted jobs and edits when a VM loses its disk and a second VM fails
/// right after the repair, and against the removed folder voting again once it is back.
#[test]
fn lost_data_folder_then_lost_vm_loses_nothing() {
    let mut cluster = TestCluster::start(&THREE_VMS, false);
    let targets = cluster.start_targets();
    let mut answered: Vec<(Job, Answer)> = Vec::new();
    let mut run_jobs = |cluster: &TestCluster, name: &str| {
        for n in 0..20 {
            let job = new_job(&format!("{name}-{n}"), Some("north"), 2, 5);
            let answer = cluster.caller(&["north-1"]).run(&job, STEP_TIMEOUT);
            answered.push((job, answer.expect("an answer")));
        }
    };
    run_jobs(&cluster, "before");
    cluster.kill("north-2");
    let data = cluster.vm("north-2").data.clone();
    let old_data = data.with_extension("old");
    std::fs::rename(&data, &old_data).expect("the folder is moved");
    std::fs::create_dir(&data).expect("an empty folder");
    run_jobs(&cluster, "without");
    let path = format!("/v1/templates/{TEMPLATE}/params/{ACCOUNT}-2");
    let revision = cluster.put_document(&path, "op-3", 0, &json!({"weight": 7}));
    cluster.spawn("north-2");
    let new_member = wait_member_id(&cluster, "north-2");
    for group in ["ledger-north", "control"] {
        change_members(&cluster, group, &json!({"remove": "north-2#0"}));
        change_members(&cluster, group, &json!({"add_learner": new_member}));
        change_members(
            &cluster,
            group,
            &json!({"promote": new_member, "seat": "voter"}),
        );
    }
    // south-1 is the witness of north and the third voter of the control group.
    cluster.kill("south-1");
    run_jobs(&cluster, "after");
    assert!(cluster.applied_revision("north-2") >= Some(revision));
    cluster.kill("north-2");
    let new_data = data.with_extension("fresh");
    std::fs::rename(&data, &new_data).expect("the folder is moved");
    std::fs::rename(&old_data, &data).expect("the folder is moved");
    cluster.spawn("south-1");
    cluster.spawn("north-2");
    run_jobs(&cluster, "with the old folder".replace(' ', "-").as_str());
    let group = cluster.admin_get("north-1", "/v1/groups/ledger-north");
    let members = group.expect("an answer")["members"].to_string();
    assert!(
        members.contains(&new_member) && !members.contains("north-2#0"),
        "{members}"
    );
    cluster.kill("north-2");
    std::fs::rename(&data, &old_data).expect("the folder is moved");
    std::fs::rename(&new_data, &data).expect("the folder is moved");
    cluster.spawn("north-2");
    cluster.wait_ready("north-2");
    let later_revision = cluster.put_document(&path, "op-4", 1, &json!({"weight": 8}));
    for name in ["north-1", "north-2", "south-1"] {
        cluster.wait_until("the edit is in effect", STEP_TIMEOUT, || {
            cluster.applied_revision(name) >= Some(later_revision)
        });
    }
    assert_answers_agree(&cluster, &targets, &answered);
}
