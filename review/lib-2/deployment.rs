//! A small deployment: the project's own program, one process for each VM, on loopback addresses.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Response};
use crate::record::Record;
use crate::target::{Setup, Target};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: sends a signal to a child that wasn't waited for.
        unsafe { kill(id as i32, Signal::Kill as i32) };
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Stop = 19,
    Continue = 18,
    Terminate = 15,
    Kill = 9,
}

const ZONES: [&str; 3] = ["lampang-a", "lampang-b", "chiangmai-c"];
pub const HOST: &str = "nony24.example";
pub const SERVICE: &str = "huvo11a";

/// A VM and its process.
pub struct Vm {
    pub name: String,
    ip: [u8; 4],
    zone: &'static str,
    is_control: bool,
    process: Option<Child>,
    started_before: bool,
}

impl Vm {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }
}

pub struct Deployment {
    pub record: Arc<Record>,
    folder: PathBuf,
    /// Control VMs, then entry VMs.
    pub vms: Vec<Vm>,
    pub controls: usize,
    subnet: u8,
    _reservation: TcpListener,
    pub targets: Vec<Arc<Target>>,
}

impl Deployment {
    /// Prepares a deployment of three control VMs and `entries` entry VMs in three zones.
    pub fn new(folder: &Path, record: Arc<Record>, entries: usize) -> Result<Deployment, String> {
        let first = std::process::id();
        let reserved = (0..150).find_map(|i| {
            let subnet = 64 + (first.wrapping_add(i) % 150) as u8;
            let address = SocketAddr::from(([127, subnet, 0, 1], 7720));
            TcpListener::bind(address)
                .ok()
                .map(|listener| (subnet, listener))
        });
        let (subnet, reservation) = reserved.ok_or("no loopback network is free")?;
        let vms = (0..3 + entries).map(|i| {
            let is_control = i < 3;
            let kind = if is_control { "core" } else { "edge" };
            Vm {
                name: format!("{kind}-{}-{}", ZONES[i % 3], i / 3 + 1),
                ip: [127, subnet, 1, i as u8 + 1],
                zone: ZONES[i % 3],
                is_control,
                process: None,
                started_before: false,
            }
        });
        Ok(Deployment {
            record,
            folder: folder.to_path_buf(),
            vms: vms.collect(),
            controls: 3,
            subnet,
            _reservation: reservation,
            targets: Vec::new(),
        })
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.vms[..self.controls]
            .iter()
            .map(|vm| vm.address(8166))
            .collect()
    }

    /// Index of an entry VM in `vms`.
    pub fn entry(&self, number: usize) -> usize {
        self.controls + number
    }

    pub fn entries(&self) -> usize {
        self.vms.len() - self.controls
    }

    fn settings(&self, vm: &Vm) -> String {
        let seeds: Vec<String> = self
            .control_addresses()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let (class, serves, data, binds, limits) = match vm.is_control {
            true => (
                "core",
                "control_plane",
                format!("data-dir = \"{}\"\n", self.data_folder(vm).display()),
                format!("control = \"{}\"", vm.address(8166)),
                "cpu-share = 0.5\ncores = 1\nmemory-mb = 256\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 128",
            ),
            false => (
                "edge",
                "edge",
                String::new(),
                format!("front = \"{}\"\nreadiness = \"{}\"", vm.address(8161), vm.address(8167)),
                "cpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0",
            ),
        };
        let role = if vm.is_control { "control" } else { "entry" };
        format!(
            r#"node-name = "{}"
role = "{role}"
machine-class = "{class}"
serves = ["{serves}"]
ip = "{}"
zone = "{}"
region = "north-thailand"
internal-ports = [7720,7735]
seeds = [{}]
bootstrap = {}
loss-counts = {}
{data}discovery = "registration"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched"]
config_mode = "highest"
commands = "call"
[zones]
lampang-a = "north-thailand"
lampang-b = "north-thailand"
chiangmai-c = "north-thailand"
[bind-addresses]
{binds}
[limits]
{limits}
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-timeout-ms = 3000
ack-timeout-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
recovery-s = 12
max-hold-ms = 1000
stop-ms = 50
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease-ms = 3000
retransmit-ms = 1300
"#,
            vm.name,
            vm.address(0).ip(),
            vm.zone,
            seeds.join(","),
            !vm.started_before,
            vm.is_control,
        )
    }

    fn data_folder(&self, vm: &Vm) -> PathBuf {
        self.folder.join(format!("data-{}", vm.name))
    }

    /// Starts the process of a VM with the command of the deploy file.
    pub fn start(&mut self, index: usize) -> Result<(), String> {
        let vm = &self.vms[index];
        let settings = self.folder.join(format!("settings-{}.toml", vm.name));
        fs::write(&settings, self.settings(vm)).map_err(|e| e.to_string())?;
        if vm.is_control {
            fs::create_dir_all(self.data_folder(vm)).map_err(|e| e.to_string())?;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{}", vm.name)))
            .map_err(|e| e.to_string())?;
        let child = Command::new("target/release/greengageproxy")
            .args(["platform", "--metrics", "9464"])
            .env("GREENGAGEPROXY_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start the program: {e}"))?;
        RUNNING.lock().unwrap().push(child.id());
        self.record.line(&format!("start of {}", vm.name));
        let vm = &mut self.vms[index];
        (vm.process, vm.started_before) = (Some(child), true);
        Ok(())
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        let vm = &self.vms[index];
        self.record.line(&format!("{signal:?} to {}", vm.name));
        if let Some(process) = &vm.process {
            // SAFETY: sends a signal to a child that wasn't waited for.
            unsafe { kill(process.id() as i32, signal as i32) };
        }
    }

    /// Waits for the exit of a process.
    pub fn wait_exit(&mut self, index: usize, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        let vm = &mut self.vms[index];
        let Some(process) = &mut vm.process else {
            return Ok(());
        };
        while Instant::now() < end {
            if let Ok(Some(status)) = process.try_wait() {
                self.record.line(&format!("exit of {}: {status}", vm.name));
                let id = process.id();
                RUNNING.lock().unwrap().retain(|running| *running != id);
                vm.process = None;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(format!("{} did not exit", vm.name))
    }

    /// Starts a target in one of the zones. Targets report to the control VMs in the given order.
    pub fn add_target(&mut self, zone: usize, kind: &str, tasks: u64, controls: Vec<SocketAddr>) {
        let number = self.targets.len() as u8 + 1;
        let ip = [127, self.subnet, 3, number];
        let listener =
            TcpListener::bind(SocketAddr::from((ip, 8080))).expect("the address is free");
        let setup = Setup {
            id: &format!("i-{number:02}"),
            zone: ZONES[zone % 3],
            service: SERVICE,
            kind,
            tasks,
            listener,
            controls,
            phase: Duration::from_millis(u64::from(number) * 31),
        };
        self.targets.push(Target::start(setup, self.record.clone()));
    }

    /// Starts all VMs at once.
    pub fn start_all(&mut self) -> Result<(), String> {
        (0..self.vms.len()).try_for_each(|i| self.start(i))
    }

    /// Sends a configuration until it is acknowledged, following redirects, for `limit` at most.
    pub fn put(&self, body: &str, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        let controls = self.control_addresses();
        for attempt in 0.. {
            if Instant::now() > end {
                break;
            }
            let mut to = controls[attempt % controls.len()];
            for _ in 0..3 {
                let path = "/greengageproxy/Config.Put";
                match http::send(to, "POST", path, &[], body, Duration::from_secs(1)) {
                    Ok(Response { status: 200, .. }) => {
                        self.record.line("the configuration is acknowledged");
                        return Ok(());
                    }
                    Ok(Response {
                        status: 307,
                        location: Some(url),
                        ..
                    }) => {
                        let host = url.trim_start_matches("http://").split('/').next();
                        match host.and_then(|host| host.parse().ok()) {
                            Some(address) => to = address,
                            None => break,
                        }
                    }
                    Ok(Response {
                        status: status @ (400 | 409 | 412 | 413 | 422),
                        body,
                        ..
                    }) => {
                        return Err(format!("the configuration was refused: {status} {body}"));
                    }
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the configuration was not acknowledged".to_string())
    }

    /// Waits until a VM reports that it is ready.
    pub fn wait_ready(&self, index: usize, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        let vm = &self.vms[index];
        while Instant::now() < end {
            if self.is_ready(index) {
                self.record.line(&format!("{} is ready", vm.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} did not become ready", vm.name))
    }

    /// One check of the readiness of a VM, as the platform makes each second.
    pub fn is_ready(&self, index: usize) -> bool {
        let to = self.vms[index].address(8167);
        let limit = Duration::from_millis(900);
        http::send(to, "GET", "/greengageproxy/ready", &[], "", limit)
            .is_ok_and(|r| r.status == 200)
    }

    /// Brings all up with a first configuration, and waits until the targets are in use.
    pub fn bring_up(&mut self, configuration: &str) -> Result<(), String> {
        self.start_all()?;
        self.put(configuration, Duration::from_secs(15))?;
        for i in self.controls..self.vms.len() {
            self.wait_ready(i, Duration::from_secs(15))?;
        }
        // Each VM is in touch, and knows all targets.
        thread::sleep(Duration::from_millis(4000));
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(mut process) = vm.process.take() {
                RUNNING
                    .lock()
                    .unwrap()
                    .retain(|running| *running != process.id());
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

/// A route of a configuration: name and path prefix.
pub type Route<'a> = (&'a str, &'a str);

/// A configuration with these routes, all of one service.
pub fn configuration(version: u64, routes: &[Route<'_>]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix)| {
            format!(
                r#"{{"name":"{name}","host":"{HOST}","path-prefix":"{prefix}","type":"non_idempotent","timeout-ms":60000,"target-latency-ms":60,"priority":1,"service":"{SERVICE}","max-attempts":4,"slack-factor":1.6}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","health-check-path":"/health","max-connections":64,"protocol":"h1","tls":false,"constraints":true,"standby":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
        routes.join(",")
    )
}
