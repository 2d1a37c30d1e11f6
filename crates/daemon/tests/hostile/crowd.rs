//! Clients that misbehave: what each kind sends at each place, and how it goes on.

use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use greengage_cluster::gossip::Stamp;
use greengage_cluster::scheduler::TargetReport;
use greengage_cluster::Message;
use greengage_core::{Address, Demand, Incarnation, TargetName, Time, ZoneName};

/// Clients at each place, unless `GREENGAGE_CLIENTS` says otherwise.
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
    head: Vec<u8>,
    body: Arc<[u8]>,
    piece: usize,
    /// Whether a further byte is sent in each round.
    drips: bool,
    /// Bytes that are read in each round.
    reads: usize,
}

fn clients() -> usize {
    crate::env_or("GREENGAGE_CLIENTS", CLIENTS)
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

/// What follows the head of a request; `variant` selects a body of many fields.
fn http_body(kind: Kind, place: &Place, variant: usize) -> Vec<u8> {
    let body = filler(LEGAL_BYTES);
    let short = &body[..LEGAL_BYTES - 1];
    let read = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\n\r\n",
        place.read_path, place.host
    );
    match kind {
        Kind::OnePiece | Kind::SmallPieces => short.to_vec(),
        Kind::Chunks => {
            let mut sent = chunks(&body, 4000);
            sent.truncate(sent.len() - 3);
            sent
        }
        Kind::Declared => vec![b'a'; 1 << 20],
        Kind::Undeclared => chunks(&vec![b'a'; HUGE_SENT], 64 << 10),
        Kind::Fields => place.many_fields[variant].clone().into_bytes(),
        Kind::Pipelined => read.repeat(4000).into_bytes(),
        Kind::SlowReaders => read.repeat(64).into_bytes(),
        Kind::SlowHeads => Vec::new(),
        Kind::SlowBodies => short[..16_000].to_vec(),
    }
}

fn http_head(kind: Kind, place: &Place, client: usize, body: &[u8]) -> String {
    let path = place.path.replace("{}", &format!("{client:016x}"));
    let start = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n",
        place.host
    );
    match kind {
        Kind::OnePiece | Kind::SmallPieces | Kind::SlowBodies => {
            format!("{start}content-length: {LEGAL_BYTES}\r\n\r\n")
        }
        Kind::Chunks | Kind::Undeclared => {
            format!("{start}transfer-encoding: chunked\r\n\r\n")
        }
        Kind::Declared => format!("{start}content-length: {HUGE_BYTES}\r\n\r\n"),
        Kind::Fields => format!("{start}content-length: {}\r\n\r\n", body.len()),
        Kind::Pipelined | Kind::SlowReaders => String::new(),
        Kind::SlowHeads => format!("{start}x-fill: {}", "a".repeat(7000)),
    }
}

/// What the clients at a place send after their heads.
fn bodies(kind: Kind, place: &Place) -> Vec<Arc<[u8]>> {
    let variants = match (kind, place.role) {
        (_, Role::Mesh) => return vec![mesh_bytes(kind).into()],
        (Kind::Fields, _) => place.many_fields.len(),
        _ => 1,
    };
    let body = |variant| http_body(kind, place, variant).into();
    (0..variants).map(body).collect()
}

fn script(kind: Kind, place: &Place, bodies: &[Arc<[u8]>], client: usize) -> Script {
    let body = bodies[client % bodies.len()].clone();
    let head = match place.role {
        Role::Mesh => String::new(),
        Role::Post | Role::Get => http_head(kind, place, client, &body),
    };
    Script {
        head: head.into_bytes(),
        body,
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
        while self.sent < script.head.len() + script.body.len() && result.is_ok() {
            let head = &script.head[self.sent.min(script.head.len())..];
            let body = &script.body[self.sent.saturating_sub(script.head.len())..];
            let parts = [head, &body[..body.len().min(script.piece)]];
            result = stream.write_vectored(&parts.map(IoSlice::new));
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
                let bodies = bodies(kind, &place);
                let connect = |client| {
                    let script = script(kind, &place, &bodies, client);
                    let mut client = Client::connect(place.address, script);
                    client.play();
                    client
                };
                let mut clients: Vec<Client> = (0..clients()).map(connect).collect();
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
