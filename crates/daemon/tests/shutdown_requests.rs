//! Requests that are being received when a VM of the platform role exits.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use greengage_soak::GRACE_PERIOD;
use rustix::process::{kill_process, Pid, Signal};

/// Last byte of the VM's loopback address.
fn ip(number: u8) -> String {
    format!("127.{}.3.{number}", 64 + std::process::id() % 150)
}

struct Vm {
    process: Child,
    front: SocketAddr,
    folder: tempfile::TempDir,
}

impl Vm {
    /// Starts an entry VM without targets and without control VMs.
    fn start(number: u8) -> Vm {
        let folder = tempfile::tempdir().unwrap();
        let ip = ip(number);
        let settings = folder.path().join("settings.toml");
        let text = format!(
            "node-name = \"vm\"\nip = \"{ip}\"\nzone = \"north\"\ninternal-ports = [7720,7735]\n\
             seeds = [\"{ip}:8166\"]\nbootstrap = true\n[bind-addresses]\n\
             front = \"{ip}:8161\"\nreadiness = \"{ip}:8167\"\n[fault-tolerance]\nmachines = 1\n\
             zones = 1\nregions = 0\n[bounds]\ngrace-s = {}\n",
            GRACE_PERIOD.as_secs()
        );
        std::fs::write(&settings, text).unwrap();
        let log = File::create(folder.path().join("log")).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_greengageproxy"))
            .args(["platform", "--listen", &ip])
            .env_clear()
            .env("GREENGAGEPROXY_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let front = format!("{ip}:8161").parse().unwrap();
        Vm {
            process,
            front,
            folder,
        }
    }

    /// Connects to one of the VM's ports, which it opens one after the other.
    fn connect(&self, address: SocketAddr) -> TcpStream {
        let end = Instant::now() + Duration::from_secs(5);
        loop {
            match TcpStream::connect(address) {
                Ok(stream) => return stream,
                Err(error) if Instant::now() > end => panic!("no connection: {error}"),
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Guards against an exit of an idle VM that cuts off a request which it still receives, although
/// most of its grace period is left.
#[test]
fn idle_exit_waits_for_requests_that_are_being_received() {
    let vm = Vm::start(1);
    let mut stream = vm.connect(vm.front);
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let body = r#"{"spec":"a","best-effort":true,"phases":[{"count":1,"cpu":1,"estimated-ms":1}]}"#;
    let (first, rest) = body.split_at(20);
    write!(
        stream,
        "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{first}",
        body.len()
    )
    .unwrap();
    let pid = Pid::from_child(&vm.process);
    kill_process(pid, Signal::TERM).unwrap();
    thread::sleep(Duration::from_millis(3500));
    let _ = stream.write_all(rest.as_bytes());
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    let log = std::fs::read_to_string(vm.folder.path().join("log")).unwrap();
    assert!(
        answer.starts_with("HTTP/1.1 503 "),
        "{read:?}: {answer:?}\n{log}"
    );
}

/// Guards against a caller that sends slowly and so delays the exit beyond the grace period, or
/// leaves the other listeners no time to close.
#[test]
fn exit_waits_for_slow_requests_only_within_the_grace_period() {
    let mut vm = Vm::start(2);
    let mut stream = vm.connect(vm.front);
    let readiness = SocketAddr::new(vm.front.ip(), 8167);
    let _idle: Vec<TcpStream> = (0..20).map(|_| vm.connect(readiness)).collect();
    // The VM accepts it before it gets the signal.
    thread::sleep(Duration::from_millis(200));
    let pid = Pid::from_child(&vm.process);
    kill_process(pid, Signal::TERM).unwrap();
    let signal_at = Instant::now();
    // The time to receive a body ends after the grace period.
    thread::sleep(Duration::from_millis(1500));
    write!(
        stream,
        "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{{"
    )
    .unwrap();
    let status = vm.process.wait().unwrap();
    let exit_time = signal_at.elapsed();
    let log = std::fs::read_to_string(vm.folder.path().join("log")).unwrap();
    assert!(status.success(), "{status}\n{log}");
    assert!(exit_time < GRACE_PERIOD, "{exit_time:?}\n{log}");
    let aborted = log.lines().filter(|l| l.contains("connections-aborted"));
    let aborted: Vec<&str> = aborted.collect();
    assert_eq!(aborted.len(), 1, "{log}");
    assert!(
        aborted[0].contains(&format!("address={}", vm.front)),
        "{log}"
    );
}

/// Processor time that a process has used, in clock ticks of 10 ms.
fn cpu_ticks(process: &Child) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let (_, fields) = text.rsplit_once(") ").unwrap();
    let times = fields.split(' ').skip(11).take(2);
    times.map(|ticks| ticks.parse::<u64>().unwrap()).sum()
}

/// Guards against a thread that runs without pause after a second SIGTERM, while the process waits
/// for its last request.
#[test]
fn second_termination_during_the_exit_leaves_no_busy_thread() {
    let vm = Vm::start(3);
    let mut stream = vm.connect(vm.front);
    let head = "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{";
    write!(stream, "{head}").unwrap();
    let pid = Pid::from_child(&vm.process);
    kill_process(pid, Signal::TERM).unwrap();
    // The control thread of an idle VM has ended by then.
    thread::sleep(Duration::from_millis(3300));
    kill_process(pid, Signal::TERM).unwrap();
    let before = cpu_ticks(&vm.process);
    thread::sleep(Duration::from_secs(1));
    let used = cpu_ticks(&vm.process) - before;
    assert!(used < 20, "{used} ticks within a second");
}
