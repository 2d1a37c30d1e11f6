//! A stand-in target with fault injection.
//!
//! One thread owns the attempts, their timers and the held requests. The server's threads pass it
//! each request together with its responder. A task occupies no thread: it ends when its timer
//! fires. A second thread announces the target at a fixed interval.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{unbounded, Receiver, RecvTimeoutError, Sender};
use greengage_core::{
    AttemptId, Capacity, Demand, GuardAction, Incarnation, RackName, TargetName, TemplateName,
    Term, ZoneName,
};
use greengage_http::target::parse_attempt;
use greengage_http::HttpError;
use greengage_listener::{Answer, Request};
use rand::Rng;
use serde_json::{json, Value};

use crate::server::{Limits, Responder, Server};

/// The fault that a target injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// No fault.
    Normal,
    /// Each task fails immediately.
    Fail,
    /// The target crashes halfway through the next task: connections are reset, the port is
    /// closed, announcements stop and its state is lost.
    Crash,
    /// Each answer is delayed by this much.
    Delay(Duration),
    /// Each answer is sent twice on the same connection.
    Duplicate,
    /// Starts of new attempts are refused.
    Refuse,
    /// Requests on connections that were open when this was set are never answered; connections
    /// opened later work.
    Silent,
    /// A share of the tasks, chosen at random, takes longer.
    Straggle {
        /// Probability in percent that a task is slow.
        percent: u32,
        /// Factor on the run time of a slow task.
        factor: u32,
    },
}

/// Settings of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The name that it announces.
    pub name: TargetName,
    /// The availability zone that it announces.
    pub zone: ZoneName,
    /// The rack that it announces; `None` leaves it out.
    pub rack: Option<RackName>,
    /// The templates that it announces; it runs tasks of any template.
    pub work: Vec<TemplateName>,
    /// The capacity that it announces. An executor refuses starts beyond its slots.
    pub capacity: Capacity,
    /// Listening address; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The address that it announces, for a target behind a relay; `None` for its own.
    pub advertised: Option<SocketAddr>,
    /// VMs that it announces itself to, in order of preference; if empty it doesn't announce.
    pub entries: Vec<SocketAddr>,
    /// Incarnation of the process; must increase with each restart.
    pub incarnation: Incarnation,
    /// Speed factor: a task runs for its nominal time divided by this.
    pub speed: f64,
    /// The fault that it injects from its start on.
    pub behaviour: Behaviour,
    /// Whether it announces support for fences.
    pub fencing: bool,
    /// Time between two announcements.
    pub announce_interval: Duration,
    /// Longest time that a start or poll is held before it is answered with `running`.
    pub hold_limit: Duration,
    /// How long the state of an ended attempt is kept.
    pub retention: Duration,
    /// File to which a line is appended for each start; `None` for no log.
    pub log: Option<PathBuf>,
}

impl TargetSettings {
    /// Settings of a fault-free executor with 8 slots on any loopback port. Panics if a name is
    /// not valid.
    pub fn new(name: &str, zone: &str, work: &[&str], entries: &[SocketAddr]) -> TargetSettings {
        let message = "names of stand-ins are valid";
        TargetSettings {
            name: TargetName::new(name).expect(message),
            zone: ZoneName::new(zone).expect(message),
            rack: None,
            work: work
                .iter()
                .map(|w| TemplateName::new(w).expect(message))
                .collect(),
            capacity: Capacity::Executor {
                slots: 8,
                connections: 60,
            },
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertised: None,
            entries: entries.to_vec(),
            incarnation: Incarnation(unix_ms()),
            speed: 1.0,
            behaviour: Behaviour::Normal,
            fencing: true,
            announce_interval: Duration::from_secs(1),
            hold_limit: Duration::from_secs(2),
            retention: Duration::from_secs(600),
            log: None,
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

/// A start request that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Time of arrival on the monotonic clock of this process.
    pub received_at: Instant,
    /// The attempt that it starts.
    pub attempt: AttemptId,
    /// The leader's term, as the request gives it.
    pub term: Term,
    /// Whether it started a run; false for a refused start and for a repeated one.
    pub executed: bool,
    /// Field `echo` of the task, by which a caller identifies its tasks; null if missing.
    pub echo: Value,
}

/// Number of calls that arrived, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Starts, including refused ones.
    pub starts: u64,
    /// Polls for the end of an attempt.
    pub polls: u64,
    /// Requests to revoke an attempt.
    pub revokes: u64,
    /// Requests to stop an attempt.
    pub stops: u64,
    /// Requests to fence off lower terms.
    pub fences: u64,
}

/// State shared between a target's threads and its owner.
struct Shared {
    starts: Mutex<Vec<Start>>,
    calls: Mutex<Calls>,
    status: Mutex<Status>,
    stopped: AtomicBool,
}

/// The part of an announcement that changes, and the number of running tasks.
#[derive(Clone, Default)]
struct Status {
    leaving: bool,
    usage: Demand,
    running: usize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

enum Message {
    Request(Request, Responder),
    SetBehaviour(Behaviour),
    Stop,
}

/// A running target; dropping it stops it without announcing that it leaves.
pub struct Target {
    settings: TargetSettings,
    address: SocketAddr,
    shared: Arc<Shared>,
    messages: Sender<Message>,
    announce_now: Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Target {
    /// Starts a target. Fails if its listener, its start log or a thread can't be created.
    pub fn start(settings: TargetSettings) -> Result<Target, HttpError> {
        let (messages, receiver) = unbounded();
        let state_sender = messages.clone();
        let connections = match settings.capacity {
            Capacity::Executor { connections, .. } => connections as usize,
            Capacity::Worker(_) => 256,
        };
        let limits = Limits {
            connections: connections + EXTRA_CONNECTIONS,
            // The server closes idle connections while over half of its threads are busy.
            threads: connections * 4,
            ..Limits::default()
        };
        let name = settings.name.to_string();
        let server = Server::start(&name, settings.listen, limits, move |request, responder| {
            let _ = state_sender.send(Message::Request(request, responder));
            None
        })?;
        let address = server.address();
        let shared = Arc::new(Shared {
            starts: Mutex::new(Vec::new()),
            calls: Mutex::new(Calls::default()),
            status: Mutex::new(Status::default()),
            stopped: AtomicBool::new(false),
        });
        let log = match &settings.log {
            Some(path) => Some(
                File::options()
                    .create(true)
                    .append(true)
                    .open(path)
                    .map_err(HttpError::Thread)?,
            ),
            None => None,
        };
        let state = State {
            settings: settings.clone(),
            shared: shared.clone(),
            server: Some(server),
            log,
            behaviour: settings.behaviour,
            silent_before: 0,
            attempts: BTreeMap::new(),
            running: 0,
            fences: BTreeMap::new(),
            timers: BTreeMap::new(),
            last_number: 0,
            silent_responders: Vec::new(),
        };
        let mut threads = vec![thread::Builder::new()
            .name(format!("{name}-state"))
            .spawn(move || state.run(&receiver))
            .map_err(HttpError::Thread)?];
        let (announce_now, wake) = unbounded();
        if !settings.entries.is_empty() {
            let announcer = Announcer {
                settings: settings.clone(),
                address,
                shared: shared.clone(),
                agent: crate::caller::agent(Duration::from_secs(1)),
                entry_index: 0,
            };
            threads.push(
                thread::Builder::new()
                    .name(format!("{name}-announce"))
                    .spawn(move || announcer.run(&wake))
                    .map_err(HttpError::Thread)?,
            );
        }
        Ok(Target {
            settings,
            address,
            shared,
            messages,
            announce_now,
            threads,
        })
    }

    /// The listening address, with the port that the system chose if port 0 was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The name that it announces.
    pub fn name(&self) -> &TargetName {
        &self.settings.name
    }

    /// The incarnation of this process; [`Target::restart`] increases it.
    pub fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// The starts that arrived so far, in order of arrival.
    pub fn starts(&self) -> Vec<Start> {
        lock(&self.shared.starts).clone()
    }

    /// Counts of the calls that arrived so far.
    pub fn calls(&self) -> Calls {
        *lock(&self.shared.calls)
    }

    /// The number of running tasks.
    pub fn running_tasks(&self) -> usize {
        lock(&self.shared.status).running
    }

    /// Whether it has crashed because of [`Behaviour::Crash`].
    pub fn has_crashed(&self) -> bool {
        self.shared.stopped.load(Ordering::Relaxed)
    }

    /// Sets the fault that it injects from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let _ = self.messages.send(Message::SetBehaviour(behaviour));
    }

    /// Announces immediately that it is leaving; its tasks keep running.
    pub fn leave(&self) {
        lock(&self.shared.status).leaving = true;
        let _ = self.announce_now.send(());
    }

    /// Removes it from the cluster's list of targets; false if no entry VM accepted the request.
    /// The next announcement registers it again unless it is stopped before.
    pub fn deregister(&self) -> bool {
        let agent = crate::caller::agent(Duration::from_secs(1));
        self.settings.entries.iter().any(|entry| {
            let url = format!("http://{entry}/v1/targets/{}", self.settings.name);
            agent.delete(url).call().is_ok_and(|r| r.status() == 200)
        })
    }

    /// Stops it without announcing that it leaves: connections are reset, its state is lost, and
    /// all its threads have ended on return.
    pub fn stop(mut self) {
        self.shut_down();
    }

    /// Stops it and starts it again on the same address with the next incarnation.
    pub fn restart(mut self) -> Result<Target, HttpError> {
        self.shut_down();
        let mut settings = self.settings.clone();
        settings.incarnation = settings.incarnation.next();
        settings.listen = self.address;
        Target::start(settings)
    }

    fn shut_down(&mut self) {
        let _ = self.messages.send(Message::Stop);
        // Dropping the sender ends the announcing thread.
        self.announce_now = unbounded().0;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// State of an attempt, as reported to the dispatcher.
#[derive(Clone)]
enum Stage {
    Never,
    Running,
    Done { result: Value, service: Duration },
    Failed { message: String },
    Guard(GuardAction),
}

impl Stage {
    fn json(&self, attempt: &AttemptId) -> Value {
        let mut object = match self {
            Stage::Never => json!({"state": "never"}),
            Stage::Running => json!({"state": "running"}),
            Stage::Done { result, service } => json!({
                "state": "done",
                "result": result,
                "service_us": service.as_micros() as u64,
            }),
            Stage::Failed { message } => json!({"state": "failed", "message": message}),
            Stage::Guard(action) => json!({"state": "guard", "action": guard_name(*action)}),
        };
        object["attempt"] = attempt.to_string().into();
        object
    }
}

fn guard_name(action: GuardAction) -> &'static str {
    match action {
        GuardAction::Throttled => "throttled",
        GuardAction::Checkpointed => "checkpointed",
        GuardAction::Stopped => "stopped",
    }
}

struct Attempt {
    stage: Stage,
    zone: ZoneName,
    started_at: Instant,
    ended_at: Option<Instant>,
    demand: Demand,
    // The stage that the attempt takes when its timer fires.
    final_stage: Stage,
    // Held requests, each with the number of its hold timer.
    waiters: Vec<(u64, Responder)>,
}

enum Timer {
    Finish(AttemptId),
    HoldTimeout(AttemptId, u64),
    Deliver(Responder, Answer),
    Crash,
}

struct State {
    settings: TargetSettings,
    shared: Arc<Shared>,
    server: Option<Server>,
    log: Option<File>,
    behaviour: Behaviour,
    // Connections with lower numbers are never answered; 0 for none.
    silent_before: u64,
    attempts: BTreeMap<AttemptId, Attempt>,
    running: usize,
    fences: BTreeMap<ZoneName, Term>,
    timers: BTreeMap<(Instant, u64), Timer>,
    last_number: u64,
    // Responders that are never answered, kept so that their connections stay open.
    silent_responders: Vec<Responder>,
}

/// Connections accepted beyond the announced number. A connection closed by the peer counts until
/// the server reads its end, and the peer may open the next one before that.
const EXTRA_CONNECTIONS: usize = 8;

/// Longest sleep of the state thread, and the interval at which expired attempts are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time between an answer and its duplicate; long enough that the client may have sent the next
/// request on the connection.
const DUPLICATE_GAP: Duration = Duration::from_millis(2);

fn refusal_answer(attempt: &AttemptId, status: u16, reason: &str) -> Answer {
    let body = json!({"state": "refused", "reason": reason, "attempt": attempt.to_string()});
    Answer::json(status, body.to_string())
}

fn error_answer(status: u16, state: &str, reason: &str) -> Answer {
    Answer::json(
        status,
        json!({"state": state, "reason": reason}).to_string(),
    )
}

impl State {
    fn run(mut self, receiver: &Receiver<Message>) {
        let mut next_sweep = Instant::now() + SWEEP_INTERVAL;
        loop {
            let next_timer = self.timers.keys().next().map(|(at, _)| *at);
            match receiver.recv_deadline(next_timer.map_or(next_sweep, |at| at.min(next_sweep))) {
                Ok(Message::Request(request, responder)) => {
                    self.handle_request(&request, responder)
                }
                Ok(Message::SetBehaviour(behaviour)) => self.set_behaviour(behaviour),
                Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => (),
            }
            let now = Instant::now();
            while let Some(entry) = self.timers.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                match entry.remove() {
                    Timer::Finish(id) => self.finish(&id, now),
                    Timer::HoldTimeout(id, number) => self.end_hold(&id, number),
                    Timer::Deliver(responder, answer) => responder.send(answer),
                    Timer::Crash => self.crash(),
                }
            }
            if now >= next_sweep {
                next_sweep = now + SWEEP_INTERVAL;
                let retention = self.settings.retention;
                self.attempts.retain(|_, a| {
                    a.ended_at
                        .is_none_or(|at| now.duration_since(at) < retention)
                });
            }
        }
        self.crash();
    }

    fn set_behaviour(&mut self, behaviour: Behaviour) {
        self.behaviour = behaviour;
        self.silent_before = match (behaviour, &self.server) {
            (Behaviour::Silent, Some(server)) => server.next_connection(),
            _ => 0,
        };
    }

    /// Discards all state, resets the connections with held requests or delayed answers, and stops
    /// the server.
    fn crash(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        let attempts = std::mem::take(&mut self.attempts);
        for (_, responder) in attempts.into_values().flat_map(|a| a.waiters) {
            responder.reset();
        }
        for timer in std::mem::take(&mut self.timers).into_values() {
            if let Timer::Deliver(responder, _) = timer {
                responder.reset();
            }
        }
        self.silent_responders.clear();
        if let Some(server) = self.server.take() {
            server.stop();
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn add_timer(&mut self, at: Instant, timer: Timer) {
        let number = self.next_number();
        self.timers.insert((at, number), timer);
    }

    fn answer(&mut self, responder: Responder, answer: Answer) {
        if responder.connection() < self.silent_before {
            self.silent_responders.push(responder);
            return;
        }
        match self.behaviour {
            Behaviour::Delay(delay) => {
                self.add_timer(Instant::now() + delay, Timer::Deliver(responder, answer));
            }
            Behaviour::Duplicate => responder.send_twice(answer, DUPLICATE_GAP),
            Behaviour::Normal
            | Behaviour::Fail
            | Behaviour::Crash
            | Behaviour::Refuse
            | Behaviour::Silent
            | Behaviour::Straggle { .. } => responder.send(answer),
        }
    }

    fn answer_stage(&mut self, responder: Responder, id: &AttemptId) {
        let answer = match self.attempts.get(id) {
            Some(attempt) => Answer::json(200, attempt.stage.json(id).to_string()),
            None => {
                let mut body = json!({"state": "unknown", "reason": "no such attempt"});
                body["attempt"] = id.to_string().into();
                Answer::json(404, body.to_string())
            }
        };
        self.answer(responder, answer);
    }

    fn handle_request(&mut self, request: &Request, responder: Responder) {
        let segments = request.segments().unwrap_or_default();
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let params = request.params().unwrap_or_default();
        let param = |name: &str| {
            let found = params.iter().find(|(n, _)| n == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let post = request.method.as_str() == "POST";
        match segments.as_slice() {
            ["v1", "attempts"] if post => {
                lock(&self.shared.calls).starts += 1;
                return self.handle_start(&request.body, responder);
            }
            ["v1", "fence"] if post => {
                lock(&self.shared.calls).fences += 1;
                return self.handle_fence(&request.body, responder);
            }
            _ => (),
        }
        let (id, operation) = match segments.as_slice() {
            ["v1", "attempts", id @ .., "revoke"] if post => (id, "revoke"),
            ["v1", "attempts", id @ .., "stop"] if post => (id, "stop"),
            ["v1", "attempts", id @ ..] if !post => (id, "poll"),
            _ => return self.answer(responder, error_answer(404, "unknown", "no such path")),
        };
        {
            let mut calls = lock(&self.shared.calls);
            match operation {
                "poll" => calls.polls += 1,
                "revoke" => calls.revokes += 1,
                _ => calls.stops += 1,
            }
        }
        let Some(id) = parse_attempt(&id.join("/")) else {
            return self.answer(
                responder,
                error_answer(400, "malformed", "the path holds no valid attempt id"),
            );
        };
        if param("incarnation").is_some_and(|i| i != self.settings.incarnation.0) {
            let mut body =
                json!({"state": "restarted", "reason": "the target has another incarnation"});
            body["attempt"] = id.to_string().into();
            return self.answer(responder, Answer::json(409, body.to_string()));
        }
        match operation {
            "poll" => {
                let wait = Duration::from_millis(param("wait_ms").unwrap_or(0));
                self.hold_request(&id, responder, wait.min(self.settings.hold_limit));
            }
            "revoke" => {
                self.attempts
                    .entry(id.clone())
                    .or_insert_with(|| revoked_attempt(&id));
                self.answer_stage(responder, &id);
            }
            _ => {
                let attempt = self
                    .attempts
                    .entry(id.clone())
                    .or_insert_with(|| revoked_attempt(&id));
                if let Stage::Running = attempt.stage {
                    attempt.final_stage = Stage::Failed {
                        message: "stopped".to_string(),
                    };
                    self.finish(&id, Instant::now());
                }
                self.answer_stage(responder, &id);
            }
        }
    }

    /// Holds the request until the attempt ends, for at most `wait`, then answers with its state.
    fn hold_request(&mut self, id: &AttemptId, responder: Responder, wait: Duration) {
        let number = self.next_number();
        match self.attempts.get_mut(id) {
            Some(attempt) if matches!(attempt.stage, Stage::Running) => {
                attempt.waiters.push((number, responder));
                let timer = Timer::HoldTimeout(id.clone(), number);
                self.timers.insert((Instant::now() + wait, number), timer);
            }
            _ => self.answer_stage(responder, id),
        }
    }

    fn end_hold(&mut self, id: &AttemptId, number: u64) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if let Some(at) = attempt.waiters.iter().position(|(n, _)| *n == number) {
            let (_, responder) = attempt.waiters.swap_remove(at);
            self.answer_stage(responder, id);
        }
    }

    fn handle_start(&mut self, body: &[u8], responder: Responder) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let id = body["attempt"].as_str().and_then(parse_attempt);
        let zone = body["zone"].as_str().and_then(|z| ZoneName::new(z).ok());
        let (Some(id), Some(zone), Some(term)) = (id, zone, body["term"].as_u64()) else {
            return self.answer(
                responder,
                error_answer(400, "malformed", "the body is not a start request"),
            );
        };
        let term = Term(term);
        let refusal = self.refusal(&body, &id, &zone, term);
        let known = self
            .attempts
            .get(&id)
            .is_some_and(|a| !matches!(a.stage, Stage::Never));
        self.record_start(
            &id,
            term,
            refusal.is_none() && !known,
            body["task"]["echo"].clone(),
        );
        match refusal {
            Some((status, reason)) => self.answer(responder, refusal_answer(&id, status, reason)),
            None => {
                if !known {
                    self.run_task(&id, zone, &body["task"]);
                }
                self.hold_request(&id, responder, self.settings.hold_limit);
            }
        }
    }

    /// Status and reason if a start is refused.
    fn refusal(
        &self,
        body: &Value,
        id: &AttemptId,
        zone: &ZoneName,
        term: Term,
    ) -> Option<(u16, &'static str)> {
        if body["incarnation"].as_u64() != Some(self.settings.incarnation.0) {
            return Some((409, "the target has another incarnation"));
        }
        if self.fences.get(zone).is_some_and(|fence| term < *fence) {
            return Some((409, "the term is fenced off"));
        }
        match self.attempts.get(id).map(|a| &a.stage) {
            Some(Stage::Never) => return Some((409, "the attempt was revoked")),
            Some(_) => return None,
            None => (),
        }
        if self.behaviour == Behaviour::Refuse {
            return Some((503, "this target refuses new starts"));
        }
        match self.settings.capacity {
            Capacity::Executor { slots, .. } if self.running >= slots as usize => {
                Some((429, "no free slot"))
            }
            Capacity::Executor { .. } | Capacity::Worker(_) => None,
        }
    }

    fn record_start(&mut self, attempt: &AttemptId, term: Term, executed: bool, echo: Value) {
        let start = Start {
            at_ms: unix_ms(),
            received_at: Instant::now(),
            attempt: attempt.clone(),
            term,
            executed,
            echo,
        };
        if let Some(log) = &mut self.log {
            let outcome = if executed { "run" } else { "refused" };
            let line = format!("{} {attempt} {term} {outcome}\n", start.at_ms);
            if let Err(e) = log.write_all(line.as_bytes()) {
                log::error!("can't write the start log: {e}");
            }
        }
        lock(&self.shared.starts).push(start);
    }

    fn run_task(&mut self, id: &AttemptId, zone: ZoneName, task: &Value) {
        let task_ms = task["sleep_ms"].as_f64().unwrap_or(0.0).max(0.0);
        let mut service = Duration::from_secs_f64(task_ms / 1000.0 / self.settings.speed);
        let fails = task["fail"].as_bool().unwrap_or(false);
        let mut final_stage = match (fails, task["guard"].as_str()) {
            (true, _) => Stage::Failed {
                message: "the task asked to fail".to_string(),
            },
            (false, Some("throttled")) => Stage::Guard(GuardAction::Throttled),
            (false, Some("checkpointed")) => Stage::Guard(GuardAction::Checkpointed),
            (false, Some(_)) => Stage::Guard(GuardAction::Stopped),
            (false, None) => Stage::Done {
                result: json!({"echo": task["echo"], "target": self.settings.name.as_str()}),
                service: Duration::ZERO,
            },
        };
        let now = Instant::now();
        match self.behaviour {
            Behaviour::Fail => {
                service = Duration::ZERO;
                final_stage = Stage::Failed {
                    message: "this target fails every task".to_string(),
                };
            }
            Behaviour::Straggle { percent, factor } => {
                if rand::rng().random_range(0..100) < percent {
                    service *= factor;
                }
            }
            Behaviour::Crash => self.add_timer(now + service / 2, Timer::Crash),
            Behaviour::Normal
            | Behaviour::Delay(_)
            | Behaviour::Duplicate
            | Behaviour::Refuse
            | Behaviour::Silent => (),
        }
        let number = |name: &str| task["uses"][name].as_u64().unwrap_or(0) as u32;
        let attempt = Attempt {
            stage: Stage::Running,
            zone,
            started_at: now,
            ended_at: None,
            demand: Demand {
                milli_cores: number("milli_cores"),
                memory_mib: number("memory_mib"),
                accelerators: number("accelerators"),
            },
            final_stage,
            waiters: Vec::new(),
        };
        self.running += 1;
        {
            let mut status = lock(&self.shared.status);
            status.running = self.running;
            status.usage = status.usage.saturating_add(&attempt.demand);
        }
        self.attempts.insert(id.clone(), attempt);
        self.add_timer(now + service, Timer::Finish(id.clone()));
    }

    fn finish(&mut self, id: &AttemptId, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if !matches!(attempt.stage, Stage::Running) {
            return;
        }
        attempt.stage = attempt.final_stage.clone();
        if let Stage::Done { service, .. } = &mut attempt.stage {
            *service = now.duration_since(attempt.started_at);
        }
        attempt.ended_at = Some(now);
        let waiters = std::mem::take(&mut attempt.waiters);
        self.running -= 1;
        {
            let mut status = lock(&self.shared.status);
            status.running = self.running;
            status.usage = status.usage.saturating_sub(&attempt.demand);
        }
        for (_, responder) in waiters {
            self.answer_stage(responder, id);
        }
    }

    fn handle_fence(&mut self, body: &[u8], responder: Responder) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let zone = body["zone"].as_str().and_then(|z| ZoneName::new(z).ok());
        let (Some(zone), Some(term)) = (zone, body["term"].as_u64()) else {
            return self.answer(
                responder,
                error_answer(400, "malformed", "the body is not a fence request"),
            );
        };
        let fence = self.fences.entry(zone.clone()).or_default();
        if Term(term) < *fence {
            let answer = error_answer(409, "refused", "a higher term has fenced this one off");
            return self.answer(responder, answer);
        }
        *fence = Term(term);
        let attempts: Vec<Value> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.zone == zone)
            .map(|(id, attempt)| attempt.stage.json(id))
            .collect();
        let body = json!({
            "incarnation": self.settings.incarnation.0,
            "zone": zone.as_str(),
            "term": term,
            "attempts": attempts,
        });
        self.answer(responder, Answer::json(200, body.to_string()));
    }
}

/// The record of an attempt that was revoked before any start arrived. Its zone comes from its key,
/// so that a fence of the zone lists it too.
fn revoked_attempt(id: &AttemptId) -> Attempt {
    let now = Instant::now();
    Attempt {
        stage: Stage::Never,
        zone: id.key.zone.clone(),
        started_at: now,
        ended_at: Some(now),
        demand: Demand::default(),
        final_stage: Stage::Never,
        waiters: Vec::new(),
    }
}

struct Announcer {
    settings: TargetSettings,
    address: SocketAddr,
    shared: Arc<Shared>,
    agent: ureq::Agent,
    entry_index: usize,
}

impl Announcer {
    fn run(mut self, wake: &Receiver<()>) {
        let mut usage = Demand::default();
        while !self.shared.stopped.load(Ordering::Relaxed) {
            let announced_at = Instant::now();
            let status = lock(&self.shared.status).clone();
            // The usage at the previous announcement, because real usage reports lag.
            self.announce(&status, &usage);
            usage = status.usage;
            match wake.recv_deadline(announced_at + self.settings.announce_interval) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => (),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Announces to the current entry VM; a failed call or a status of 500 or more moves on to the
    /// next one.
    fn announce(&mut self, status: &Status, usage: &Demand) {
        let body = self.body(status, usage);
        for _ in 0..self.settings.entries.len() {
            let entry = self.settings.entries[self.entry_index % self.settings.entries.len()];
            let url = format!("http://{entry}/v1/targets");
            match self.agent.post(url).send(body.as_bytes()) {
                Ok(mut response) => {
                    // The body is read in full so that the connection can be reused.
                    let text = response.body_mut().read_to_string().unwrap_or_default();
                    let code = response.status().as_u16();
                    if code < 500 {
                        if code != 200 {
                            log::warn!(
                                "announcement of {} was answered with {code}: {text}",
                                self.settings.name
                            );
                        }
                        return;
                    }
                }
                Err(e) => log::debug!(
                    "{} can't announce itself to {entry}: {e}",
                    self.settings.name
                ),
            }
            self.entry_index += 1;
        }
    }

    fn body(&self, status: &Status, usage: &Demand) -> String {
        let settings = &self.settings;
        let work: Vec<&str> = settings.work.iter().map(|w| w.as_str()).collect();
        let mut body = json!({
            "target": settings.name.as_str(),
            "incarnation": settings.incarnation.0,
            "address": settings.advertised.unwrap_or(self.address).to_string(),
            "zone": settings.zone.as_str(),
            "work": work,
            "fencing": settings.fencing,
            "leaving": status.leaving,
        });
        if let Some(rack) = &settings.rack {
            body["rack"] = rack.as_str().into();
        }
        match &settings.capacity {
            Capacity::Executor { slots, connections } => {
                body["capacity"] =
                    json!({"executor": {"slots": slots, "connections": connections}});
            }
            Capacity::Worker(capacity) => {
                body["capacity"] = json!({"worker": resources(capacity)});
                body["usage"] = resources(usage);
            }
        }
        body.to_string()
    }
}

fn resources(demand: &Demand) -> Value {
    json!({
        "milli_cores": demand.milli_cores,
        "memory_mib": demand.memory_mib,
        "accelerators": demand.accelerators,
    })
}
