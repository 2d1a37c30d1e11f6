//! Clients that misbehave: what each kind sends at each place, and how it goes on.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use greengage_cluster::gossip::Stamp;
use greengage_cluster::scheduler::TargetReport;
use greengage_cluster::Message;
use greengage_core::{Address, Demand, Incarnation, TargetName, Time, ZoneName};

/// Clients at each place.
const CLIENTS: usize = 75;
/// Size of a body that the configuration allows.
const LEGAL_BYTES: usize = 262_009;
/// Size of a body that is far over every limit.
const HUGE_BYTES: usize = 1 << 30;
/// Bytes that a client sends of such a body at most.
const HUGE_SENT: usize = 10 << 20;
/// How long a crowd sends before anything else is checked.
const HOLD: Duration = Duration::from_millis(1200);
/// Pause between two rounds of a crowd.
const ROUND: Duration = Duration::from_millis(20);

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A legal body in one piece, one byte short.
    OnePiece,
    /// The same in small pieces.
    SmallPieces,
    /// The same in chunks.
    Chunks,
    /// A body that is declared far over the limit.
    Declared,
    /// Chunks that go far over the limit.
    Undeclared,
    /// Legal bodies of very many short fields.
    Fields,
    /// Requests sent ahead, of which no answer is read.
    Pipelined,
    /// A head of which a byte arrives now and then.
    SlowHeads,
    /// A body of which a byte arrives now and then.
    SlowBodies,
    /// Answers of which a byte is read now and then.
    SlowReaders,
}

/// What a crowd is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A path of the HTTP interface that takes jobs, reports or configurations.
    Post,
    /// A path that is read, or one without a route.
    Get,
    /// The port for other VMs.
    Mesh,
}

/// An address and path that a crowd is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) address: SocketAddr,
    pub(crate) host: &'static str,
    /// Path of a POST; `{}` stands for an id.
    pub(crate) path: &'static str,
    /// Path of a GET.
    pub(crate) read_path: &'static str,
    pub(crate) role: Role,
    /// Legal bodies of very many short fields.
    pub(crate) many_fields: Vec<String>,
}

/// What one client sends.
struct Script {
    /// Sent as soon as the socket takes it, in writes of at most `piece` bytes.
    bytes: Vec<u8>,
    piece: usize,
    /// Whether a further byte is sent in each round.
    drips: bool,
    /// Bytes that are read in each round.
    reads: usize,
}

/// Body of exactly `bytes` bytes, which is a job that asks for little.
fn filler(bytes: usize) -> Vec<u8> {
    let start = br#"{"best-effort":true,"phases":[{"count":1,"estimated-ms":50}],"unused":""#;
    let mut body = start.to_vec();
    body.resize(bytes - 2, b'a');
    body.extend_from_slice(br#""}"#);
    body
}

fn chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(body.len() + body.len() / size * 16);
    for part in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn frame(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}

/// A message between VMs with a report of very many labels.
fn message_of_many_fields() -> Vec<u8> {
    let report = TargetReport {
        target: TargetName::new("t-0").unwrap(),
        service: "none".into(),
        address: Address::new("127.0.0.1:1").unwrap(),
        zone: ZoneName::new("north").unwrap(),
        capacity: Demand::default(),
        labels: vec!["".into(); 50_000],
        draining: false,
        incarnation: Incarnation(1),
        sequence: 1,
    };
    let stamp = Stamp {
        incarnation: Incarnation(1),
        sent: Time(1),
        echo: None,
    };
    greengage_wire::encode(&(stamp, Message::Reports(vec![report])))
}

fn mesh_bytes(kind: Kind) -> Vec<u8> {
    let name = frame(b"127.0.0.9");
    let body = filler(LEGAL_BYTES);
    let short = &body[..LEGAL_BYTES - 1];
    let rest = match kind {
        Kind::OnePiece | Kind::SmallPieces => [&(LEGAL_BYTES as u32).to_be_bytes(), short].concat(),
        Kind::Chunks => {
            let mut frames: Vec<u8> = body.chunks(4000).flat_map(frame).collect();
            frames.pop();
            frames
        }
        Kind::Declared => [&(HUGE_BYTES as u32).to_be_bytes(), short].concat(),
        Kind::Undeclared => [&(16u32 << 20).to_be_bytes(), &vec![7; 2 << 20][..]].concat(),
        Kind::Fields => frame(&message_of_many_fields()),
        Kind::Pipelined => frame(b"x").repeat(4000),
        Kind::SlowHeads => return name[..5].to_vec(),
        Kind::SlowBodies => [&(LEGAL_BYTES as u32).to_be_bytes(), &short[..16_000]].concat(),
        Kind::SlowReaders => Vec::new(),
    };
    [name, rest].concat()
}

fn http_bytes(kind: Kind, place: &Place, client: usize) -> Vec<u8> {
    let path = place.path.replace("{}", &format!("{client:016x}"));
    let head = |framing: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n{framing}\r\n\r\n",
            place.host
        )
    };
    let with_length = |length: usize, body: &[u8]| {
        let head = head(&format!("content-length: {length}"));
        [head.as_bytes(), body].concat()
    };
    let chunked = |body: &[u8]| {
        let head = head("transfer-encoding: chunked");
        [head.as_bytes(), body].concat()
    };
    let read = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\n\r\n",
        place.read_path, place.host
    );
    let body = filler(LEGAL_BYTES);
    let short = &body[..LEGAL_BYTES - 1];
    match kind {
        Kind::OnePiece | Kind::SmallPieces => with_length(LEGAL_BYTES, short),
        Kind::Chunks => {
            let mut sent = chunks(&body, 4000);
            sent.truncate(sent.len() - 3);
            chunked(&sent)
        }
        Kind::Declared => with_length(HUGE_BYTES, &vec![b'a'; 1 << 20]),
        Kind::Undeclared => chunked(&chunks(&vec![b'a'; HUGE_SENT], 64 << 10)),
        Kind::Fields => {
            let body = &place.many_fields[client % place.many_fields.len()];
            with_length(body.len(), body.as_bytes())
        }
        Kind::Pipelined => read.repeat(4000).into_bytes(),
        Kind::SlowReaders => read.repeat(64).into_bytes(),
        Kind::SlowHeads => {
            let head = head(&format!("x-fill: {}", "a".repeat(7000)));
            head.trim_end().as_bytes().to_vec()
        }
        Kind::SlowBodies => with_length(LEGAL_BYTES, &short[..16_000]),
    }
}

fn script(kind: Kind, place: &Place, client: usize) -> Script {
    let bytes = match place.role {
        Role::Mesh => mesh_bytes(kind),
        Role::Post | Role::Get => http_bytes(kind, place, client),
    };
    Script {
        bytes,
        piece: match kind {
            Kind::SmallPieces => 2000,
            _ => usize::MAX,
        },
        drips: matches!(kind, Kind::SlowHeads | Kind::SlowBodies),
        reads: usize::from(kind == Kind::SlowReaders),
    }
}

/// One client; `stream` is `None` once its connection has ended.
struct Client {
    stream: Option<TcpStream>,
    script: Script,
    sent: usize,
}

impl Client {
    fn connect(address: SocketAddr, script: Script) -> Client {
        let stream = TcpStream::connect(address).ok();
        if let Some(stream) = &stream {
            stream.set_nonblocking(true).unwrap();
        }
        Client {
            stream,
            script,
            sent: 0,
        }
    }

    /// Sends what the socket takes, and reads as the script says.
    fn play(&mut self) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let script = &self.script;
        let mut result = Ok(0);
        while self.sent < script.bytes.len() && result.is_ok() {
            let rest = &script.bytes[self.sent..];
            result = stream.write(&rest[..rest.len().min(script.piece)]);
            self.sent += result.as_ref().map_or(0, |sent| *sent);
        }
        if script.drips && result.is_ok() {
            result = stream.write(b"a");
        }
        if script.reads > 0 && result.is_ok() {
            let mut bytes = [0; 16];
            result = stream.read(&mut bytes[..script.reads]);
        }
        if result.is_err_and(|error| error.kind() != ErrorKind::WouldBlock) {
            self.stream = None;
        }
    }
}

/// Crowds of one kind at all places. Dropping it closes their connections.
pub(crate) struct Crowd {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    pub(crate) fn start(kind: Kind, places: Vec<Place>) -> Crowd {
        let stopped = Arc::new(AtomicBool::new(false));
        let start = |place: Place| {
            let stopped = stopped.clone();
            thread::spawn(move || {
                let connect = |client| {
                    let script = script(kind, &place, client);
                    let mut client = Client::connect(place.address, script);
                    client.play();
                    client
                };
                let mut clients: Vec<Client> = (0..CLIENTS).map(connect).collect();
                while !stopped.load(Ordering::Relaxed) {
                    clients.iter_mut().for_each(Client::play);
                    thread::sleep(ROUND);
                }
            })
        };
        let threads = places.into_iter().map(start).collect();
        Crowd { stopped, threads }
    }

    /// Waits until the crowd has sent most of what it can.
    pub(crate) fn wait(&self) {
        thread::sleep(HOLD);
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
