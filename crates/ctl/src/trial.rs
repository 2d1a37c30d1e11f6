//! `greengagectl try`: runs a small deployment in one process, with real sockets on loopback.
//!
//! The deployment has three VMs in two availability zones and two stand-in targets in each zone.
//! The command submits a job, edits a parameter, waits until the edit is in force on every VM, and
//! prints the job's answer and its timeline.

use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{eyre, Report, WrapErr};
use greengage_core::VmName;
use greengage_node::{parse_vms, prepare_data_folder, Limits, Node, Settings};
use greengage_standin::{Target, TargetSettings};
use greengage_transport::keys::{create_authority, issue, Keys};
use serde_json::{json, Value};

use crate::client::{poll_until, Client};
use crate::timeline::Timeline;

/// Limit for each step that waits for the deployment.
const STEP_TIMEOUT: Duration = Duration::from_secs(8);
/// Name, zone and roles of each VM.
const VMS: [(&str, &str, &str); 3] = [
    ("north-1", "north", "control+ledger"),
    ("north-2", "north", "control+ledger"),
    ("south-1", "south", "control+ledger+witness:north"),
];
const TEMPLATE: &str = "seat-check";
const ACCOUNT: &str = "town-hall";

/// The VMs and stand-in targets of this process, and clients of all VMs.
struct LocalDeployment {
    nodes: Vec<Node>,
    entries: Client,
    admins: Client,
    _targets: Vec<Target>,
}

pub(crate) fn run() -> Result<(), Report> {
    let started = Instant::now();
    let folder = tempfile::tempdir().wrap_err("no temporary folder can be created")?;
    let deployment = start(folder.path())?;
    println!("3 VMs in 2 availability zones and 4 stand-in targets are up");
    let result = deployment.run_steps();
    deployment.stop();
    result?;
    println!("done in {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

fn start(folder: &Path) -> Result<LocalDeployment, Report> {
    let mut vm_list = Vec::new();
    for (vm, zone, roles) in VMS {
        vm_list.push(format!("{vm}={zone}={}={roles}", free_address()?));
    }
    let vms = parse_vms(&vm_list.join(","))?;
    let authority = create_authority()?;
    let mut nodes = Vec::new();
    for (vm, _, _) in VMS {
        let vm = VmName::new(vm)?;
        let keys_folder = folder.join(format!("keys-{vm}"));
        std::fs::create_dir(&keys_folder).wrap_err("the folder for keys can't be created")?;
        Keys::new(&authority, issue(&authority, &vm)?).save(&keys_folder)?;
        let settings = Settings {
            data_folder: Some(folder.join(format!("data-{vm}"))),
            vm,
            vms: vms.clone(),
            http: any_port(),
            admin: any_port(),
            keys_folder,
            weight: 100,
            drain_limit: STEP_TIMEOUT,
            sync_delay: Duration::ZERO,
            max_calls: 64,
            limits: Limits::default(),
        };
        prepare_data_folder(&settings)?;
        nodes.push(Node::start(settings)?);
    }
    let join_addresses = |addresses: Vec<SocketAddr>| {
        let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        texts.join(",")
    };
    let http: Vec<SocketAddr> = nodes.iter().map(Node::http_address).collect();
    let admin: Vec<SocketAddr> = nodes.iter().map(Node::admin_address).collect();
    let mut targets = Vec::new();
    for (i, (zone, entries)) in [("north", &http[..2]), ("south", &http[2..])]
        .into_iter()
        .flat_map(|pair| [pair, pair])
        .enumerate()
    {
        let name = format!("desk-{}", i + 1);
        let settings = TargetSettings::new(&name, zone, &[TEMPLATE], entries);
        targets.push(Target::start(settings)?);
    }
    Ok(LocalDeployment {
        nodes,
        entries: Client::new(&join_addresses(http), "entries")?,
        admins: Client::new(&join_addresses(admin), "admins")?,
        _targets: targets,
    })
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address whose port is free at present. Another process may bind it before the VM
/// does; the VM then reports that the address is in use.
fn free_address() -> Result<SocketAddr, Report> {
    let socket = UdpSocket::bind(any_port()).wrap_err("no loopback port is free")?;
    Ok(socket.local_addr()?)
}

impl LocalDeployment {
    fn run_steps(&self) -> Result<(), Report> {
        self.wait_ready()?;
        self.configure()?;
        self.wait_targets()?;
        let key = self.submit()?;
        self.edit_params()?;
        println!("\ntime line of {key}:");
        for line in Timeline::for_key(&key).fetch_lines(&self.admins)? {
            println!("  {line}");
        }
        Ok(())
    }

    fn wait_ready(&self) -> Result<(), Report> {
        poll_until("all VMs ready", STEP_TIMEOUT, || {
            for address in self.admins.addresses() {
                if self
                    .admins
                    .request(*address, "GET", "/readyz", None)?
                    .status
                    != 200
                {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
    }

    fn wait_targets(&self) -> Result<(), Report> {
        poll_until("targets announced", STEP_TIMEOUT, || {
            for address in self.admins.addresses() {
                let response = self.admins.request(*address, "GET", "/v1/targets", None)?;
                let targets = response.body["targets"].as_array().map_or(0, Vec::len);
                if targets < 2 {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
    }

    fn put_document(&self, path: &str, op: &str, from: u64, content: Value) -> Result<u64, Report> {
        let body = json!({"op": op, "from": from, "content": content});
        let answer = self
            .admins
            .request_any("PUT", path, Some(&body))?
            .into_success()?;
        answer["revision"]
            .as_u64()
            .ok_or_else(|| eyre!("the answer to an edit has no revision"))
    }

    fn configure(&self) -> Result<(), Report> {
        let template = json!({"target": "executor", "deadline_ms": 5000, "expected_ms": 50});
        self.put_document(&format!("/v1/templates/{TEMPLATE}"), "op-1", 0, template)?;
        let path = format!("/v1/templates/{TEMPLATE}/params/{ACCOUNT}");
        let revision = self.put_document(&path, "op-2", 0, json!({"weight": 1}))?;
        self.wait_revision(revision)
    }

    fn wait_revision(&self, revision: u64) -> Result<(), Report> {
        let started = Instant::now();
        poll_until("revision in force on every VM", STEP_TIMEOUT, || {
            for address in self.admins.addresses() {
                let response = self
                    .admins
                    .request(*address, "GET", "/v1/templates", None)?;
                if response.body["revision"].as_u64() < Some(revision) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })?;
        let millis = started.elapsed().as_millis();
        println!("revision {revision} is in force on all VMs after {millis} ms");
        Ok(())
    }

    fn submit(&self) -> Result<String, Report> {
        let tasks: Vec<Value> = (0..6)
            .map(|i| json!({"sleep_ms": 50, "echo": format!("seat {i}")}))
            .collect();
        let body = json!({
            "account": ACCOUNT,
            "template": TEMPLATE,
            "id": "visit-1",
            "tasks": tasks,
        });
        let started = Instant::now();
        let response = self.entries.request_any("POST", "/v1/jobs", Some(&body))?;
        let answer = response.into_success()?;
        println!("\njob answered after {} ms:", started.elapsed().as_millis());
        println!("{}", serde_json::to_string_pretty(&answer)?);
        let resubmitted = self.entries.request_any("POST", "/v1/jobs", Some(&body))?;
        if resubmitted.into_success()? != answer {
            return Err(eyre!("the resubmitted job has another answer"));
        }
        println!("resubmitted with the same id: same answer, nothing ran again\n");
        match (answer["state"].as_str(), answer["key"].as_str()) {
            (Some("complete"), Some(key)) => Ok(key.to_string()),
            _ => Err(eyre!("the job is not complete")),
        }
    }

    fn edit_params(&self) -> Result<(), Report> {
        let path = format!("/v1/templates/{TEMPLATE}/params/{ACCOUNT}");
        let revision = self.put_document(&path, "op-3", 1, json!({"weight": 2}))?;
        println!("parameter weight edited");
        self.wait_revision(revision)?;
        let body = json!({"op": "op-4", "from": 1, "content": {"weight": 3}});
        let conflict = self.admins.request_any("PUT", &path, Some(&body))?;
        println!(
            "edit from an old version: HTTP {}, {}",
            conflict.status,
            conflict.body["message"].as_str().unwrap_or("no message")
        );
        Ok(())
    }

    fn stop(self) {
        let shutdown_handles: Vec<_> = self.nodes.iter().map(Node::shutdown_handle).collect();
        for shutdown_handle in shutdown_handles {
            shutdown_handle.abort();
        }
        for node in self.nodes {
            if let Err(error) = node.wait() {
                eprintln!("a VM of the trial has failed: {error}");
            }
        }
    }
}
