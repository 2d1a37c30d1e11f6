//! Test cluster of daemon processes on loopback addresses, with data folders and keys in a
//! temporary folder.
//!
//! Dropping a [`TestCluster`] kills the processes that it started, also when a test panics; then it
//! prints the end of each log as well. One cluster runs at a time.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use greengage_core::{AccountName, VmName};
use greengage_standin::{Caller, CallerSettings, Target, TargetSettings};
use greengage_transport::keys::{create_authority, issue, Authority, Keys};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tempfile::TempDir;

use crate::relay::UdpRelay;

pub(crate) const TEMPLATE: &str = "seat-check";
pub(crate) const ACCOUNT: &str = "town-hall";
/// Default limit for one step of a test.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of last lines of each log that a failed test prints.
const LOG_TAIL_LINES: usize = 40;

/// A VM; `process` is `None` while it isn't running.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) http: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) data: PathBuf,
    pub(crate) keys: PathBuf,
    pub(crate) log: PathBuf,
    /// This VM's value of --vms; with relays, it names this VM's own relays to the other VMs.
    pub(crate) vms_flag: String,
    process: Option<Child>,
}

/// A deployment of daemon processes.
pub(crate) struct TestCluster {
    pub(crate) vms: Vec<Vm>,
    pub(crate) authority: Authority,
    /// Relays by the names of the sending and the receiving VM; empty without relays.
    pub(crate) relays: BTreeMap<(String, String), UdpRelay>,
    _folder: TempDir,
    started_at: Instant,
    _deployment_lock: MutexGuard<'static, ()>,
}

/// Returns a loopback address that no other process uses: clients' ephemeral ports are on other
/// addresses, and the process id separates concurrent test processes.
fn next_loopback_ip() -> [u8; 4] {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let pid = std::process::id();
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    [127, 1 + (pid >> 8) as u8 % 250, pid as u8, next as u8]
}

fn http_agent(limit: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(0)
        .timeout_global(Some(limit))
        .build();
    config.into()
}

impl TestCluster {
    /// Creates folders, keys and, with `use_relays`, relays, without starting any VM.
    pub(crate) fn prepare(specs: &[(&str, &str, &str)], use_relays: bool) -> TestCluster {
        static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());
        let deployment_lock = DEPLOYMENT_LOCK
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let folder = tempfile::tempdir().expect("a temporary folder");
        let authority = create_authority().expect("an authority");
        let mut vms = Vec::new();
        for (name, zone, _) in specs {
            let host = next_loopback_ip();
            let address = |port: u16| SocketAddr::from((host, port));
            let path = |kind: &str| folder.path().join(format!("{kind}-{name}"));
            vms.push(Vm {
                name: name.to_string(),
                zone: zone.to_string(),
                http: address(8080),
                admin: address(8081),
                peer: address(7000),
                data: path("data"),
                keys: path("keys"),
                log: path("log"),
                vms_flag: String::new(),
                process: None,
            });
            save_keys(&authority, name, &path("keys"));
        }
        let mut relays = BTreeMap::new();
        for from in 0..vms.len() {
            let mut entries = Vec::new();
            for (to, (name, zone, roles)) in specs.iter().enumerate() {
                let mut peer = vms[to].peer;
                if use_relays && to != from {
                    let relay = UdpRelay::start(peer);
                    peer = relay.address();
                    relays.insert((vms[from].name.clone(), name.to_string()), relay);
                }
                entries.push(format!("{name}={zone}={peer}={roles}"));
            }
            vms[from].vms_flag = entries.join(",");
        }
        TestCluster {
            vms,
            authority,
            relays,
            _folder: folder,
            started_at: Instant::now(),
            _deployment_lock: deployment_lock,
        }
    }

    /// Starts all VMs, waits until they are ready and writes a template and an account.
    pub(crate) fn start(specs: &[(&str, &str, &str)], use_relays: bool) -> TestCluster {
        let mut cluster = TestCluster::prepare(specs, use_relays);
        for (name, _, _) in specs {
            cluster.init(name);
            cluster.spawn(name);
        }
        for (name, _, _) in specs {
            cluster.wait_ready(name);
        }
        let content = json!({"target": "executor", "deadline_ms": 20_000, "expected_ms": 50});
        let path = format!("/v1/templates/{TEMPLATE}");
        cluster.put_document(&path, "op-1", 0, &content);
        let path = format!("{path}/params/{ACCOUNT}");
        let revision = cluster.put_document(&path, "op-2", 0, &json!({"weight": 1}));
        cluster.wait_applied(revision);
        cluster
    }

    pub(crate) fn vm(&self, name: &str) -> &Vm {
        let found = self.vms.iter().find(|vm| vm.name == name);
        found.expect("a VM of the deployment")
    }

    fn vm_mut(&mut self, name: &str) -> &mut Vm {
        let found = self.vms.iter_mut().find(|vm| vm.name == name);
        found.expect("a VM of the deployment")
    }

    /// Returns the command that runs a VM; its output isn't redirected yet.
    pub(crate) fn command(&self, name: &str) -> Command {
        self.command_with(name, "", "")
    }

    /// Like `command`, with `override_value` as the value of `override_flag`.
    pub(crate) fn command_with(
        &self,
        name: &str,
        override_flag: &str,
        override_value: &str,
    ) -> Command {
        let vm = self.vm(name);
        let mut command = Command::new(env!("CARGO_BIN_EXE_greengageproxy"));
        command.env_clear().env("GREENGAGE_LOG", "info");
        for (flag, default) in [
            ("--vm", name.to_string()),
            ("--vms", vm.vms_flag.clone()),
            ("--http", vm.http.to_string()),
            ("--admin", vm.admin.to_string()),
            ("--data", vm.data.display().to_string()),
            ("--keys", vm.keys.display().to_string()),
        ] {
            command.arg(flag).arg(if flag == override_flag {
                override_value
            } else {
                &default
            });
        }
        command.stdin(Stdio::null());
        command
    }

    /// Runs --init for a VM.
    pub(crate) fn init(&self, name: &str) {
        let output = self.command(name).arg("--init").output();
        let output = output.expect("the daemon runs");
        assert!(output.status.success(), "--init of {name}: {output:?}");
    }

    /// Starts a VM's process.
    pub(crate) fn spawn(&mut self, name: &str) {
        let path = &self.vm(name).log;
        let log = File::options().create(true).append(true).open(path);
        let log = log.expect("a log file");
        let mut command = self.command(name);
        command.stdout(log.try_clone().expect("a second handle"));
        command.stderr(log);
        let process = command.spawn().expect("the daemon runs");
        let vm = self.vm_mut(name);
        assert!(vm.process.is_none(), "{name} runs already");
        vm.process = Some(process);
    }

    pub(crate) fn is_running(&self, name: &str) -> bool {
        self.vm(name).process.is_some()
    }

    /// Kills a VM's process with SIGKILL and reaps it.
    pub(crate) fn kill(&mut self, name: &str) {
        let mut process = self.vm_mut(name).process.take().expect("a running VM");
        process.kill().expect("the process can be killed");
        process.wait().expect("the process ends");
    }

    /// Sends a signal to a VM's process.
    pub(crate) fn signal(&self, name: &str, signal: Signal) {
        let process = self.vm(name).process.as_ref().expect("a running VM");
        kill_process(Pid::from_child(process), signal).expect("the process takes signals");
    }

    /// Waits until a VM's process has exited; panics after `limit`.
    pub(crate) fn wait_exit(&mut self, name: &str, limit: Duration) -> ExitStatus {
        let mut process = self.vm_mut(name).process.take().expect("a running VM");
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = process.try_wait().expect("the process can be awaited") {
                return status;
            }
            if Instant::now() > deadline {
                self.vm_mut(name).process = Some(process);
                panic!("{name} has not exited within {limit:?}");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a request to a VM's operator listener; `None` without a JSON answer within 8 s.
    pub(crate) fn admin_request(
        &self,
        name: &str,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Value)> {
        let url = format!("http://{}{path}", self.vm(name).admin);
        let agent = http_agent(Duration::from_secs(8));
        let response = match (method, body) {
            ("GET", _) => agent.get(url).call(),
            ("PUT", Some(body)) => agent.put(url).send(body.to_string().as_bytes()),
            (_, body) => {
                let body = body.map(Value::to_string).unwrap_or_default();
                agent.post(url).send(body.as_bytes())
            }
        };
        let mut response = response.ok()?;
        let text = response.body_mut().read_to_string().ok()?;
        Some((
            response.status().as_u16(),
            serde_json::from_str(&text).ok()?,
        ))
    }

    pub(crate) fn admin_get(&self, name: &str, path: &str) -> Option<Value> {
        let (status, body) = self.admin_request(name, "GET", path, None)?;
        (status == 200).then_some(body)
    }

    /// Configuration revision in effect at a VM; `None` if it doesn't answer.
    pub(crate) fn applied_revision(&self, name: &str) -> Option<u64> {
        let path = format!("/v1/templates/{TEMPLATE}");
        self.admin_get(name, &path)?["revision"].as_u64()
    }

    /// Writes a document through any running VM, with retries; returns the accepted revision.
    pub(crate) fn put_document(
        &self,
        path: &str,
        op: &str,
        base_revision: u64,
        content: &Value,
    ) -> u64 {
        let body = json!({"op": op, "from": base_revision, "content": content});
        let deadline = Instant::now() + STEP_TIMEOUT;
        let mut last_answer = None;
        while Instant::now() < deadline {
            for vm in self.vms.iter().filter(|vm| vm.process.is_some()) {
                last_answer = self.admin_request(&vm.name, "PUT", path, Some(&body));
                if let Some((200, answer)) = &last_answer {
                    return answer["revision"].as_u64().expect("a revision");
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("edit {op} of {path} not accepted within {STEP_TIMEOUT:?}: {last_answer:?}");
    }

    /// Waits until every running VM decides by this revision of the configuration. The answer to an
    /// edit says only that it is accepted.
    pub(crate) fn wait_applied(&self, revision: u64) {
        for vm in self.vms.iter().filter(|vm| vm.process.is_some()) {
            self.wait_until("the configuration is in force", STEP_TIMEOUT, || {
                self.applied_revision(&vm.name) >= Some(revision)
            });
        }
    }

    /// Leader of a group and its term, as the leader itself reports them; the highest term wins.
    pub(crate) fn leader(&self, group: &str) -> Option<(String, u64)> {
        let running = self.vms.iter().filter(|vm| vm.process.is_some());
        let leaders = running.filter_map(|vm| {
            let status = self.admin_get(&vm.name, &format!("/v1/groups/{group}"))?;
            let term = status["term"].as_u64()?;
            (status["role"] == "leader").then(|| (vm.name.clone(), term))
        });
        leaders.max_by_key(|(_, term)| *term)
    }

    /// Waits until a VM of a zone leads the zone's ledger group; returns its name.
    pub(crate) fn wait_zone_leader(&self, zone: &str) -> String {
        let mut found = String::new();
        self.wait_until(&format!("a leader of {zone}"), STEP_TIMEOUT, || {
            match self.leader(&format!("ledger-{zone}")) {
                Some((name, _)) if self.vm(&name).zone == zone => found = name,
                _ => return false,
            }
            true
        });
        found
    }

    /// Polls `condition` every 10 ms; panics if it isn't met within `limit`.
    pub(crate) fn wait_until(
        &self,
        description: &str,
        limit: Duration,
        mut condition: impl FnMut() -> bool,
    ) {
        let deadline = Instant::now() + limit;
        while !condition() {
            assert!(
                Instant::now() < deadline,
                "timed out after {limit:?} waiting for: {description}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub(crate) fn wait_ready(&self, name: &str) {
        self.wait_until(&format!("{name} ready"), STEP_TIMEOUT, || {
            self.admin_get(name, "/readyz").is_some()
        });
    }

    /// Settings of a stand-in target that announces itself to the VMs of its zone.
    pub(crate) fn target_settings(&self, name: &str, zone: &str) -> TargetSettings {
        let vms = self.vms.iter().filter(|vm| vm.zone == zone);
        let entries: Vec<SocketAddr> = vms.map(|vm| vm.http).collect();
        let mut settings = TargetSettings::new(name, zone, &[TEMPLATE], &entries);
        settings.announce_interval = Duration::from_millis(500);
        settings
    }

    /// Starts two targets in each zone and waits until every VM lists those of its own zone.
    pub(crate) fn start_targets(&self) -> Vec<Target> {
        let mut zones: Vec<&str> = self.vms.iter().map(|vm| vm.zone.as_str()).collect();
        zones.dedup();
        let mut targets = Vec::new();
        for zone in zones {
            for i in 1..=2 {
                let settings = self.target_settings(&format!("desk-{zone}-{i}"), zone);
                targets.push(Target::start(settings).expect("a target starts"));
            }
        }
        for vm in &self.vms {
            self.wait_until("the targets are known", STEP_TIMEOUT, || {
                let listed = self.admin_get(&vm.name, "/v1/targets");
                listed.is_some_and(|listed| listed["targets"].as_array().map(Vec::len) == Some(2))
            });
        }
        targets
    }

    /// A caller that prefers the first of these VMs.
    pub(crate) fn caller(&self, entries: &[&str]) -> Caller {
        Caller::new(CallerSettings {
            entries: entries.iter().map(|name| self.vm(name).http).collect(),
            account: AccountName::new(ACCOUNT).expect("a valid name"),
            // A VM answers within 5 s after the end of the wait. A caller that gave up just then
            // couldn't tell whether the VM had answered.
            answer_margin: Duration::from_secs(8),
        })
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(mut process) = vm.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if std::thread::panicking() {
            eprintln!("the test ran for {:?}", self.started_at.elapsed());
            for vm in &self.vms {
                let log = std::fs::read_to_string(&vm.log).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let end = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
                eprintln!("--- log of {}:\n{}", vm.name, end.join("\n"));
            }
        }
    }
}

/// Issues keys for a VM and saves them in a folder.
pub(crate) fn save_keys(authority: &Authority, name: &str, folder: &Path) {
    std::fs::create_dir_all(folder).expect("a folder for keys");
    let pair = issue(authority, &VmName::new(name).expect("a valid name")).expect("keys");
    let keys = Keys::new(authority, pair);
    keys.save(folder).expect("the keys are saved");
}
