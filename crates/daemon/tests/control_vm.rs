//! Orders about evacuations and the settings of a single control VM.

use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// Limit on each step; settings are read again at least every 2 s.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

const METRICS_PORT: u16 = 9464;

struct Vm {
    process: Child,
    ip: String,
    settings: PathBuf,
    folder: tempfile::TempDir,
}

impl Vm {
    /// Starts a control VM whose settings name one zone.
    fn start(number: u8) -> Vm {
        let folder = tempfile::tempdir().unwrap();
        let ip = format!("127.{}.5.{number}", 64 + std::process::id() % 150);
        let settings = folder.path().join("settings.toml");
        write_settings(&settings, &ip, &["north"]);
        let log = File::create(folder.path().join("log")).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_greengageproxy"))
            .args(["platform", "--listen", &ip])
            .args(["--metrics", &METRICS_PORT.to_string()])
            .env_clear()
            .env("GREENGAGEPROXY_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let vm = Vm {
            process: process.unwrap(),
            ip,
            settings,
            folder,
        };
        wait_for(&vm.ip, "north", 200);
        vm
    }

    fn wait_for_log(&self, part: &str) {
        let (end, log) = (
            Instant::now() + STEP_TIMEOUT,
            self.folder.path().join("log"),
        );
        while !std::fs::read_to_string(&log).unwrap().contains(part) {
            assert!(Instant::now() < end, "{part} isn't logged");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn reload(&self, zones: &[&str]) {
        write_settings(&self.settings, &self.ip, zones);
        kill_process(Pid::from_child(&self.process), Signal::HUP).unwrap();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn write_settings(path: &Path, ip: &str, zones: &[&str]) {
    let folder = path.parent().unwrap().join("data");
    let zones: Vec<String> = zones
        .iter()
        .map(|zone| format!("{zone} = {{}}\n"))
        .collect();
    let text = format!(
        "node-name = \"vm\"\nip = \"{ip}\"\nzone = \"north\"\ninternal-ports = [7720,7735]\n\
         seeds = [\"{ip}:8166\"]\nbootstrap = true\ndata-dir = {folder:?}\n[bind-addresses]\n\
         front = \"{ip}:8161\"\nreadiness = \"{ip}:8167\"\ncontrol = \"{ip}:8166\"\n[limits]\n\
         memory-mb = 120\nmax-fds = 3075\n[fault-tolerance]\nmachines = 1\n[bounds]\ngrace-s = 2\n\
         [zones]\n{}",
        zones.concat()
    );
    std::fs::write(path.with_extension("new"), text).unwrap();
    std::fs::rename(path.with_extension("new"), path).unwrap();
}

/// Sends a request; returns the answer.
fn send(address: &str, method: &str, path: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(STEP_TIMEOUT)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Sends an order to evacuate a zone; returns the status of the answer.
fn evacuate(ip: &str, zone: &str) -> Option<u16> {
    let path = format!("/v1/evacuations/{zone}");
    let answer = send(&format!("{ip}:8166"), "PUT", &path, "")?;
    answer.split(' ').nth(1)?.parse().ok()
}

fn wait_for(ip: &str, zone: &str, status: u16) {
    let end = Instant::now() + STEP_TIMEOUT;
    let mut last = None;
    while Instant::now() < end {
        last = evacuate(ip, zone);
        if last == Some(status) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("zone {zone}: {last:?} instead of {status}");
}

/// Guards against a zone that can't be evacuated until each control VM was restarted, because it was
/// added to the deployment later.
#[test]
fn zones_of_reloaded_settings_can_be_evacuated() {
    let vm = Vm::start(1);
    wait_for(&vm.ip, "south", 404);
    vm.reload(&["north", "south"]);
    wait_for(&vm.ip, "south", 200);
    vm.reload(&["\"not a zone\""]);
    vm.wait_for_log("event=reload-failed");
    wait_for(&vm.ip, "south", 200);
}

/// Guards against orders that are refused all day without any figure that shows it.
#[test]
fn refused_orders_are_counted() {
    let vm = Vm::start(2);
    for (zone, status) in [("south", 404), ("a%20b", 400)] {
        assert_eq!(evacuate(&vm.ip, zone), Some(status), "{zone}");
    }
    let metrics = send(&format!("{}:{METRICS_PORT}", vm.ip), "GET", "/metrics", "").unwrap();
    for reason in ["unknown_zone", "invalid"] {
        let line = format!("greengage_orders_refused_total{{reason=\"{reason}\"}} 1\n");
        assert!(metrics.contains(&line), "{reason}: {metrics}");
    }
}

/// Guards against a VM that refuses bodies below the configured limit and says so nowhere.
#[test]
fn body_limit_beyond_the_memory_is_logged() {
    let vm = Vm::start(3);
    for (version, limit) in [(1, 4_000_000), (2, 6_000_000)] {
        let body = format!(
            "{{\"version\": {version}, \"routes\": [], \"services\": [], \
              \"limits\": {{\"max-body-bytes\": {limit}}}}}"
        );
        let address = format!("{}:8166", vm.ip);
        let answer = send(&address, "POST", "/greengageproxy/Config.Put", &body);
        assert!(answer.unwrap().starts_with("HTTP/1.1 200"));
        vm.wait_for_log(&format!("event=configuration version={version}"));
    }
    vm.wait_for_log("event=body-limit version=2 configured=6000000 received=5000000");
    let log = std::fs::read_to_string(vm.folder.path().join("log")).unwrap();
    assert_eq!(log.matches("event=body-limit").count(), 1, "{log}");
}
