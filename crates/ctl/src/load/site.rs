//! The deployment under load: its VMs, zones, leaders, configuration and counters.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{eyre, Report};
use greengage_core::ZoneName;
use serde_json::{json, Value};

use super::drive::Site;
use super::figures::Traffic;
use super::scenario::{Form, Plan};
use crate::client::{wait, Client};

/// How long the deployment may take for each step of the preparation.
const STEP: Duration = Duration::from_secs(15);
/// Round trips that are measured.
const ROUND_TRIPS: usize = 200;

/// The VMs in the order of `--entries`, their zones, and which of them lead.
pub fn look(entries: &Client, admins: &Client, run: &str) -> Result<Site, Report> {
    let vms = admins.get("/v1/vms")?;
    let vms = vms["vms"].as_array().cloned().unwrap_or_default();
    let counts = (entries.addresses().len(), admins.addresses().len());
    if counts != (vms.len(), vms.len()) {
        return Err(eyre!(
            "--entries has {} addresses and --admins {}, but the deployment has {} VMs: name all \
             VMs in both, in the order of their names",
            counts.0,
            counts.1,
            vms.len()
        ));
    }
    let zone = |vm: &Value| -> Result<ZoneName, Report> {
        Ok(ZoneName::new(vm["zone"].as_str().unwrap_or_default())?)
    };
    let all: Vec<ZoneName> = vms.iter().map(zone).collect::<Result<_, Report>>()?;
    let mut zones = all.clone();
    zones.sort();
    zones.dedup();
    let index = |zone: &ZoneName| {
        zones
            .iter()
            .position(|z| z == zone)
            .expect("it is one of them")
    };
    Ok(Site {
        entries: entries.addresses().to_vec(),
        entry_zones: all.iter().map(index).collect(),
        zones,
        run: run.to_string(),
    })
}

/// For each zone, the number of the VM that leads its ledger group.
pub fn leaders(admins: &Client, site: &Site) -> Result<Vec<usize>, Report> {
    let leader = |zone: &ZoneName| {
        let path = format!("/v1/groups/ledger-{zone}");
        wait("a leader of each ledger group", STEP, || {
            for (number, address) in admins.addresses().iter().enumerate() {
                let answer = admins.ask(*address, "GET", &path, None)?;
                let leads = answer.body["role"] == "leader";
                // A witness leads only until a voter of the zone is up to date.
                if leads && site.zones[site.entry_zones[number]] == *zone {
                    return Ok(Some(number));
                }
            }
            Ok(None)
        })
    };
    site.zones.iter().map(leader).collect()
}

/// Writes the plan's templates and parameters and waits until they are in force on every VM.
pub fn configure(admins: &Client, plan: &Plan, run: &str) -> Result<(), Report> {
    let documents = admins.get("/v1/templates")?;
    let version = |list: &str, fields: &[(&str, &str)]| {
        let list = documents[list].as_array().cloned().unwrap_or_default();
        let found = list
            .iter()
            .find(|d| fields.iter().all(|(name, value)| d[*name] == **value));
        found.and_then(|d| d["version"].as_u64()).unwrap_or(0)
    };
    let mut revision = 0;
    let mut put = |path: String, from: u64, content: Value| -> Result<(), Report> {
        let op = format!("{run}-{}", path.replace('/', ":"));
        let body = json!({"op": op, "from": from, "content": content});
        let answer = admins.first("PUT", &path, Some(&body))?.success()?;
        revision = answer["revision"].as_u64().unwrap_or(0).max(revision);
        Ok(())
    };
    for kind in &plan.kinds {
        let content = json!({
            "target": "executor",
            "deadline_ms": kind.deadline_ms,
            "expected_ms": kind.expected_ms,
            "repeatable": kind.form == Form::Repeatable,
        });
        let from = version("templates", &[("name", kind.name)]);
        put(format!("/v1/templates/{}", kind.name), from, content)?;
        for account in &plan.accounts {
            // The limits of an account must not decide the outcome; the weights must.
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
    wait("the configuration in force on every VM", STEP, || {
        for address in admins.addresses() {
            let answer = admins.ask(*address, "GET", "/v1/templates", None)?;
            if answer.body["revision"].as_u64() < Some(revision) {
                return Ok(None);
            }
        }
        Ok(Some(()))
    })
}

/// Waits until the VMs know all targets.
pub fn wait_targets(admins: &Client, names: &[&str]) -> Result<(), Report> {
    wait("all targets announced", STEP, || {
        let mut live = Vec::new();
        for address in admins.addresses() {
            let answer = admins.ask(*address, "GET", "/v1/targets", None)?;
            let targets = answer.body["targets"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let name = |t: &Value| t["target"].as_str().unwrap_or_default().to_string();
            live.extend(targets.iter().filter(|t| t["standing"] == "live").map(name));
        }
        let known = names.iter().all(|name| live.iter().any(|l| l == name));
        Ok(known.then_some(()))
    })
}

/// The sum of the VMs' counters of messages.
pub fn traffic(admins: &Client) -> Result<Traffic, Report> {
    let mut traffic = Traffic::default();
    for address in admins.addresses() {
        let answer = admins.ask(*address, "GET", "/metrics", None)?;
        add_metrics(&mut traffic, answer.body.as_str().unwrap_or_default());
    }
    Ok(traffic)
}

/// Adds the counters in one VM's metrics.
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

/// The median round trip of a small request over an open connection.
pub fn round_trip(entries: &Client) -> Result<Duration, Report> {
    let mut times = Vec::new();
    let addresses: Vec<SocketAddr> = entries.addresses().to_vec();
    for address in addresses.iter().cycle().take(ROUND_TRIPS) {
        let began = Instant::now();
        entries.ask(*address, "GET", "/healthz", None)?;
        times.push(began.elapsed());
    }
    times.sort();
    Ok(times[times.len() / 2])
}
