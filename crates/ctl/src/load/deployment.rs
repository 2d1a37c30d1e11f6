//! The deployment under test: its VMs, zones, leaders, configuration and message counters.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{eyre, Report};
use greengage_core::ZoneName;
use serde_json::{json, Value};

use super::figures::Traffic;
use super::generator::Deployment;
use super::scenario::{Plan, SubmitMode};
use crate::client::{poll_until, Client};

/// Limit for each step of the preparation.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);
const ROUND_TRIP_SAMPLES: usize = 200;

/// Reads the VMs and their zones. `entries` and `admins` must hold all VMs in the order in which
/// the deployment lists them, since an index identifies the same VM in all three lists.
pub fn discover(entries: &Client, admins: &Client, run_id: &str) -> Result<Deployment, Report> {
    let vms = admins.get("/v1/vms")?;
    let vms = vms["vms"].as_array().cloned().unwrap_or_default();
    let counts = (entries.addresses().len(), admins.addresses().len());
    if counts != (vms.len(), vms.len()) {
        return Err(eyre!(
            "--entries has {} addresses and --admins has {}, but the deployment has {} VMs: \
             list all VMs in both, in the order of their names",
            counts.0,
            counts.1,
            vms.len()
        ));
    }
    let zone = |vm: &Value| -> Result<ZoneName, Report> {
        Ok(ZoneName::new(vm["zone"].as_str().unwrap_or_default())?)
    };
    let vm_zones: Vec<ZoneName> = vms.iter().map(zone).collect::<Result<_, Report>>()?;
    let mut zones = vm_zones.clone();
    zones.sort();
    zones.dedup();
    let zone_index = |zone: &ZoneName| {
        zones
            .iter()
            .position(|z| z == zone)
            .expect("each VM's zone is in the list")
    };
    Ok(Deployment {
        entries: entries.addresses().to_vec(),
        entry_zones: vm_zones.iter().map(zone_index).collect(),
        zones,
        run_id: run_id.to_string(),
    })
}

/// Waits until each zone's ledger group is led by a VM of that zone, and returns the index of that
/// VM for each zone.
pub fn ledger_leaders(admins: &Client, deployment: &Deployment) -> Result<Vec<usize>, Report> {
    let leader = |zone: &ZoneName| {
        let path = format!("/v1/groups/ledger-{zone}");
        poll_until("a leader of each ledger group", STEP_TIMEOUT, || {
            for (index, address) in admins.addresses().iter().enumerate() {
                let response = admins.request(*address, "GET", &path, None)?;
                let leads = response.body["role"] == "leader";
                // A witness in another zone leads only until a voter of this zone has caught up.
                if leads && deployment.zones[deployment.entry_zones[index]] == *zone {
                    return Ok(Some(index));
                }
            }
            Ok(None)
        })
    };
    deployment.zones.iter().map(leader).collect()
}

/// Writes the plan's templates and parameters, and waits until they are in force on every VM.
/// `run_id` makes the operation ids of each run unique.
pub fn configure(admins: &Client, plan: &Plan, run_id: &str) -> Result<(), Report> {
    let documents = admins.get("/v1/templates")?;
    let version = |list: &str, fields: &[(&str, &str)]| {
        let list = documents[list].as_array().cloned().unwrap_or_default();
        let document = list
            .iter()
            .find(|d| fields.iter().all(|(name, value)| d[*name] == **value));
        document.and_then(|d| d["version"].as_u64()).unwrap_or(0)
    };
    let mut revision = 0;
    let mut put = |path: String, from: u64, content: Value| -> Result<(), Report> {
        let op = format!("{run_id}-{}", path.replace('/', ":"));
        let body = json!({"op": op, "from": from, "content": content});
        let answer = admins
            .request_any("PUT", &path, Some(&body))?
            .into_success()?;
        revision = answer["revision"].as_u64().unwrap_or(0).max(revision);
        Ok(())
    };
    for kind in &plan.kinds {
        let content = json!({
            "target": "executor",
            "deadline_ms": kind.deadline_ms,
            "expected_ms": kind.expected_ms,
            "repeatable": kind.mode == SubmitMode::Repeatable,
        });
        let from = version("templates", &[("name", kind.name)]);
        put(format!("/v1/templates/{}", kind.name), from, content)?;
        for account in &plan.accounts {
            // Quota and concurrency are set out of reach, so that only the weights decide.
            let content = json!({
                "weight": account.weight,
                "quota": 1_000_000,
                "concurrency": 1_000_000,
            });
            let fields = [("template", kind.name), ("account", account.name)];
            let from = version("params", &fields);
            let path = format!("/v1/templates/{}/params/{}", kind.name, account.name);
            put(path, from, content)?;
        }
    }
    poll_until(
        "the configuration in force on every VM",
        STEP_TIMEOUT,
        || {
            for address in admins.addresses() {
                let response = admins.request(*address, "GET", "/v1/templates", None)?;
                if response.body["revision"].as_u64() < Some(revision) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        },
    )
}

/// Waits until each target is live on a VM.
pub fn wait_for_targets(admins: &Client, names: &[&str]) -> Result<(), Report> {
    poll_until("all targets announced", STEP_TIMEOUT, || {
        let mut live_names = Vec::new();
        for address in admins.addresses() {
            let response = admins.request(*address, "GET", "/v1/targets", None)?;
            let targets = response.body["targets"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let name = |t: &Value| t["target"].as_str().unwrap_or_default().to_string();
            live_names.extend(targets.iter().filter(|t| t["standing"] == "live").map(name));
        }
        let all_live = names
            .iter()
            .all(|name| live_names.iter().any(|l| l == name));
        Ok(all_live.then_some(()))
    })
}

/// Reads the message counters of all VMs and sums them.
pub fn read_traffic(admins: &Client) -> Result<Traffic, Report> {
    let mut traffic = Traffic::default();
    for address in admins.addresses() {
        let response = admins.request(*address, "GET", "/metrics", None)?;
        add_metrics(&mut traffic, response.body.as_str().unwrap_or_default());
    }
    Ok(traffic)
}

/// Adds the message counters in `text`, the metrics of one VM, to `traffic`.
pub fn add_metrics(traffic: &mut Traffic, text: &str) {
    for line in text.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let value = value.parse::<f64>().unwrap_or(0.0) as u64;
        let label = name.split('"').nth(1);
        if name.starts_with("greengage_peer_messages_total") {
            let kind = label.unwrap_or("all").to_string();
            *traffic.peers.entry(kind).or_default() += value;
        } else if name.starts_with("greengage_target_calls_total") {
            traffic.target_calls += value;
        }
    }
}

/// Measures the median round trip of a small request, over connections that stay open.
pub fn median_round_trip(entries: &Client) -> Result<Duration, Report> {
    let mut times = Vec::new();
    let addresses: Vec<SocketAddr> = entries.addresses().to_vec();
    for address in addresses.iter().cycle().take(ROUND_TRIP_SAMPLES) {
        let start = Instant::now();
        entries.request(*address, "GET", "/healthz", None)?;
        times.push(start.elapsed());
    }
    times.sort();
    Ok(times[times.len() / 2])
}
