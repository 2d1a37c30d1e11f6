//! A panic of the control thread. Alone in its process, which has one recorder of metrics.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use greengage_core::VmName;
use greengage_node::{parse_vms, prepare_data_folder, Limits, Node, NodeError, Settings};
use greengage_transport::keys::{create_authority, issue, Keys};
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};

const TIMEOUT: Duration = Duration::from_secs(10);

const RUN: u8 = 0;
const PAUSE: u8 = 1;
const PANIC: u8 = 2;

/// What the control thread does when it counts its next event.
static STEP: AtomicU8 = AtomicU8::new(RUN);

/// Pauses the control thread or makes it panic.
struct FaultyRecorder;

impl Recorder for FaultyRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        while key.name() == "greengage_events_total" {
            match STEP.load(Ordering::SeqCst) {
                RUN => break,
                PAUSE => std::thread::sleep(Duration::from_millis(1)),
                _ => panic!("fault of the test"),
            }
        }
        Counter::noop()
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

fn send(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Guards against a VM that goes on without its control thread, and against callers and operators
/// who get no answer or a refusal that isn't true.
#[test]
fn panic_of_the_control_thread_is_told_to_callers_and_operators() {
    metrics::set_global_recorder(FaultyRecorder).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let authority = create_authority().unwrap();
    let vm = VmName::new("a1").unwrap();
    let keys_folder = folder.path().join("keys");
    std::fs::create_dir(&keys_folder).unwrap();
    let keys = Keys::new(&authority, issue(&authority, &vm).unwrap());
    keys.save(&keys_folder).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let peer = UdpSocket::bind(any_port).unwrap().local_addr().unwrap();
    let settings = Settings {
        data_folder: Some(folder.path().join("data")),
        vm,
        vms: parse_vms(&format!("a1=a={peer}=control+ledger")).unwrap(),
        http: any_port,
        admin: any_port,
        keys_folder,
        weight: 100,
        drain_limit: TIMEOUT,
        sync_delay: Duration::ZERO,
        max_calls: 4,
        limits: Limits::default(),
    };
    prepare_data_folder(&settings).unwrap();
    let node = Node::start(settings).unwrap();
    let (http, admin) = (node.http_address(), node.admin_address());
    STEP.store(PAUSE, Ordering::SeqCst);
    let body = r#"{"account":"acme","id":"j1","template":"work","tasks":[1]}"#;
    let job = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let waiting = [
        send(http, &job),
        send(admin, "GET /v1/templates HTTP/1.1\r\nHost: x\r\n\r\n"),
    ];
    std::thread::sleep(Duration::from_millis(500));
    let (ended_sender, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || ended_sender.send(node.wait()));
    STEP.store(PANIC, Ordering::SeqCst);
    for mut stream in waiting {
        let mut text = String::new();
        let read = stream.read_to_string(&mut text);
        assert!(text.starts_with("HTTP/1.1 504 "), "{read:?} {text:?}");
        assert!(text.contains(r#""not_run":false"#), "{text}");
    }
    let result = ended.recv_timeout(TIMEOUT).expect("the VM has ended");
    assert!(
        matches!(result, Err(NodeError::ControlPanicked)),
        "{result:?}"
    );
}
