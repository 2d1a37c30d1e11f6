//! Settings that are read again while a VM of the platform role runs.

use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

/// Limit on each step; settings are read again at least every 2 s.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

struct Vm(Child);

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
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
         control = \"{ip}:8166\"\n[fault-tolerance]\nmachines = 1\n[bounds]\ngrace-s = 2\n\
         [zones]\n{}",
        zones.concat()
    );
    std::fs::write(path.with_extension("new"), text).unwrap();
    std::fs::rename(path.with_extension("new"), path).unwrap();
}

/// Sends an order to evacuate a zone; returns the status of the answer.
fn evacuate(ip: &str, zone: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(format!("{ip}:8166")).ok()?;
    stream.set_read_timeout(Some(STEP_TIMEOUT)).ok()?;
    let request = format!(
        "PUT /v1/evacuations/{zone} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
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
    let folder = tempfile::tempdir().unwrap();
    let (path, ip) = (
        folder.path().join("settings.toml"),
        format!("127.{}.5.1", 64 + std::process::id() % 150),
    );
    write_settings(&path, &ip, &["north"]);
    let log = File::create(folder.path().join("log")).unwrap();
    let process = Command::new(env!("CARGO_BIN_EXE_greengageproxy"))
        .args(["platform", "--listen", &ip])
        .env_clear()
        .env("GREENGAGEPROXY_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn();
    let vm = Vm(process.unwrap());
    wait_for(&ip, "north", 200);
    wait_for(&ip, "south", 404);
    write_settings(&path, &ip, &["north", "south"]);
    kill_process(Pid::from_child(&vm.0), Signal::HUP).unwrap();
    wait_for(&ip, "south", 200);
    write_settings(&path, &ip, &["\"not a zone\""]);
    kill_process(Pid::from_child(&vm.0), Signal::HUP).unwrap();
    let (end, log) = (Instant::now() + STEP_TIMEOUT, folder.path().join("log"));
    while !std::fs::read_to_string(&log)
        .unwrap()
        .contains("event=reload-failed")
    {
        assert!(Instant::now() < end, "the invalid zone isn't reported");
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(evacuate(&ip, "south"), Some(200));
}
