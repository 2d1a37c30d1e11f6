//! A stand-in target, as PROTOCOL.md describes executors.
//!
//! The spec of a job lists the run times of its steps in milliseconds: `ms=1500,1500`. As on the bench, a
//! target knows what the tasks of a job need; here all need the same.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connections, Request};
use crate::json::Json;
use crate::record::{Record, Start};

/// Longest lease, as in `max-hold-ms`.
const MAX_LEASE_MS: u64 = 1000;
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time after which a report goes to the next control VM.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

struct Run {
    number: u64,
    started: Instant,
    length: Duration,
}

/// One life of a target; a restart begins another one.
struct Life {
    up: bool,
    born: u64,
    began: Instant,
    kind: String,
    draining: bool,
    /// The highest generation that it has seen.
    fence: u64,
    /// End of the lease, on its own clock.
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    /// Ends that weren't observed: number, task, run and how.
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
}

impl Life {
    fn new(kind: &str) -> Life {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Life {
            up: true,
            born: born.as_millis() as u64,
            began: Instant::now(),
            kind: kind.to_string(),
            draining: false,
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            sequence: 0,
        }
    }

    fn clock(&self) -> u64 {
        1000 + self.began.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, deadline: Option<u64>) {
        let most = self.clock() + MAX_LEASE_MS;
        if let Some(deadline) = deadline {
            self.lease_end = self.lease_end.max(deadline.min(most));
        }
    }
}

pub struct Target {
    pub id: String,
    zone: String,
    service: String,
    /// In thousandths of a core, of which each task needs `TASK_CPU`.
    cpu: u64,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    record: Arc<Record>,
    life: Mutex<Life>,
    changed: Condvar,
    connections: OnceLock<Connections>,
    /// When a control VM acknowledged that it drains.
    drained: OnceLock<f64>,
}

/// Need of each task, in thousandths of a core.
pub const TASK_CPU: u64 = 1000;

pub struct Setup<'a> {
    pub id: &'a str,
    pub zone: &'a str,
    pub service: &'a str,
    pub kind: &'a str,
    /// Number of tasks that fit on it.
    pub tasks: u64,
    pub listener: TcpListener,
    pub controls: Vec<SocketAddr>,
    /// Delay of its first report, so that targets don't report in step.
    pub phase: Duration,
}

impl Target {
    pub fn start(setup: Setup<'_>, record: Arc<Record>) -> Arc<Target> {
        let target = Arc::new(Target {
            id: setup.id.to_string(),
            zone: setup.zone.to_string(),
            service: setup.service.to_string(),
            cpu: setup.tasks * TASK_CPU,
            address: setup.listener.local_addr().expect("the listener is bound"),
            controls: setup.controls,
            record,
            life: Mutex::new(Life::new(setup.kind)),
            changed: Condvar::new(),
            connections: OnceLock::new(),
            drained: OnceLock::new(),
        });
        let server = target.clone();
        let connections = http::serve(setup.listener, move |request| server.answer(&request));
        let _ = target.connections.set(connections);
        let ticker = target.clone();
        thread::spawn(move || loop {
            ticker.end_due(&mut ticker.life.lock().unwrap());
            thread::sleep(Duration::from_millis(2));
        });
        let (reporter, phase) = (target.clone(), setup.phase);
        thread::spawn(move || {
            thread::sleep(phase);
            reporter.report()
        });
        target
    }

    /// Ends the process: what runs there ends, and connections break.
    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        life.up = false;
        for task in std::mem::take(&mut life.runs).keys() {
            self.record.end(task, &self.id);
        }
        self.record.line(&format!("crash of {}", self.id));
        self.changed.notify_all();
        drop(life);
        if let Some(connections) = self.connections.get() {
            connections.close();
        }
    }

    /// Starts it again under the same id and address, as a process of another kind if `kind` differs.
    pub fn restart(&self, kind: &str) {
        let mut life = self.life.lock().unwrap();
        *life = Life::new(kind);
        self.record.line(&format!(
            "start of {} again, kind {kind}, born {}",
            self.id, life.born
        ));
        self.changed.notify_all();
    }

    pub fn drain(&self) {
        self.life.lock().unwrap().draining = true;
        self.record.line(&format!("{} begins to drain", self.id));
        self.changed.notify_all();
    }

    /// When a control VM acknowledged that it drains.
    pub fn drain_acknowledged(&self) -> Option<f64> {
        self.drained.get().copied()
    }

    /// The fields of a report besides those that tell its writer.
    fn report_body(&self, life: &Life, service: &str, born: u64, sequence: u64) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{}","cold-remaining-ms":0,"capacity":{{"cpu":{},"mem-mb":65536,"gpu":0}},"labels":["{}","r-{}"],"clock-ms":{},"born":{born},"sequence":{sequence}}}"#,
            self.address,
            self.zone,
            if life.draining { "draining" } else { "ready" },
            self.cpu,
            life.kind,
            self.zone,
            life.clock(),
        )
    }

    /// Reports to one control VM, and to the next one after a failure. The first report of a process is
    /// sent as soon as it listens.
    fn report(&self) {
        let mut next = 0;
        let mut reported = (0, false);
        loop {
            let (born, draining, body) = {
                let mut life = self.life.lock().unwrap();
                while !life.up {
                    life = self.changed.wait(life).unwrap();
                }
                life.sequence += 1;
                let body = self.report_body(&life, &self.service, life.born, life.sequence);
                (life.born, life.draining, body)
            };
            let path = format!("/greengageproxy/Instances.Heartbeat/{}", self.id);
            let mut acknowledged = false;
            for _ in 0..self.controls.len() {
                let to = self.controls[next % self.controls.len()];
                let sent = http::send(to, "POST", &path, &[], &body, REPORT_TIMEOUT);
                if sent.is_ok_and(|response| response.status / 100 == 2) {
                    acknowledged = true;
                    break;
                }
                next += 1;
            }
            if acknowledged && draining {
                let _ = self.drained.set(self.record.now());
            }
            if acknowledged && reported != (born, draining) {
                reported = (born, draining);
                self.record.line(&format!(
                    "report of {} acknowledged, born {born}, draining {draining}",
                    self.id
                ));
            }
            // A change of its state is reported at once.
            let life = self.life.lock().unwrap();
            let (mut life, end) = (life, Instant::now() + HEARTBEAT);
            while life.up && life.born == born && life.draining == draining && Instant::now() < end
            {
                let left = end.saturating_duration_since(Instant::now());
                life = self.changed.wait_timeout(life, left).unwrap().0;
            }
        }
    }

    /// Ends the runs that are done, and all if the lease is over.
    fn end_due(&self, life: &mut Life) {
        let lapsed = life.clock() >= life.lease_end;
        let due = |run: &Run| run.started.elapsed() >= run.length;
        let ended: Vec<(String, &'static str)> = life
            .runs
            .iter()
            .filter_map(|(task, run)| match (due(run), lapsed) {
                (true, _) => Some((task.clone(), "done")),
                (false, true) => Some((task.clone(), "lapsed")),
                (false, false) => None,
            })
            .collect();
        for (task, how) in ended {
            self.end(life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.runs.remove(task) else {
            return;
        };
        life.last_end += 1;
        let closed = life.closed.entry(task.to_string()).or_default();
        *closed = (*closed).max(run.number);
        life.finished
            .push((life.last_end, task.to_string(), run.number, how));
        self.record.line(&format!(
            "end of {task} run {} on {}: {how}",
            run.number, self.id
        ));
        self.record.end(task, &self.id);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let body = Json::parse(&request.body);
        let mut life = self.life.lock().unwrap();
        if !life.up {
            return None;
        }
        if request.expected.as_ref().is_some_and(|id| *id != self.id) {
            return Some((421, "{}".to_string()));
        }
        let Some(body) = body else {
            return Some((400, "{}".to_string()));
        };
        self.end_due(&mut life);
        let refusal = |life: &Life, reason: &str| {
            Some((
                409,
                format!(r#"{{"clock-ms":{},"reason":"{reason}"}}"#, life.clock()),
            ))
        };
        let fence = body.number("fencing-token").unwrap_or(0);
        if fence < life.fence {
            return refusal(&life, "fence");
        }
        life.fence = fence;
        let (task, number) = (body.text("task"), body.number("run-number").unwrap_or(0));
        let deadline = body.number("deadline-ms");
        match request.path.as_str() {
            "/greengageproxy/run-start" => {
                if deadline.is_none_or(|deadline| deadline <= life.clock()) {
                    return refusal(&life, "late");
                }
                life.extend_lease(deadline);
                match life.runs.get(&task) {
                    Some(run) if run.number == number => {}
                    Some(_) => return refusal(&life, "old"),
                    None if life
                        .closed
                        .get(&task)
                        .is_some_and(|closed| number <= *closed) =>
                    {
                        return refusal(&life, "old")
                    }
                    None if (life.runs.len() as u64 + 1) * TASK_CPU > self.cpu => {
                        return refusal(&life, "room")
                    }
                    None => self.begin(&mut life, &task, number, &body.text("spec")),
                }
                Some((200, format!(r#"{{"clock-ms":{}}}"#, life.clock())))
            }
            "/greengageproxy/run-stop" => {
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(number);
                if life.runs.get(&task).is_some_and(|run| run.number <= number) {
                    self.end(&mut life, &task, "stopped");
                }
                Some((200, format!(r#"{{"clock-ms":{}}}"#, life.clock())))
            }
            "/greengageproxy/hold" => {
                life.extend_lease(deadline);
                let observed = body.number("observed").unwrap_or(0);
                life.finished.retain(|(number, ..)| *number > observed);
                let wait = Duration::from_millis(body.number("wait-ms").unwrap_or(0).min(2000));
                let (end, born) = (Instant::now() + wait, life.born);
                while life.up
                    && life.born == born
                    && life.finished.is_empty()
                    && Instant::now() < end
                {
                    let left = end.saturating_duration_since(Instant::now());
                    life = self.changed.wait_timeout(life, left).unwrap().0;
                }
                (life.up && life.born == born).then(|| (200, lists(&life)))
            }
            _ => Some((404, "{}".to_string())),
        }
    }

    fn begin(&self, life: &mut Life, task: &str, number: u64, spec: &str) {
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default().to_string();
        let step: usize = parts.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let times = spec
            .split(' ')
            .find_map(|word| word.strip_prefix("ms="))
            .unwrap_or("50");
        let ms = times.split(',').nth(step).or(times.split(',').last());
        let ms = ms.and_then(|ms| ms.parse().ok()).unwrap_or(50);
        self.record.start(Start {
            at: self.record.now(),
            target: self.id.clone(),
            kind: life.kind.clone(),
            task: task.to_string(),
            run: number,
            job,
        });
        life.runs.insert(
            task.to_string(),
            Run {
                number,
                started: Instant::now(),
                length: Duration::from_millis(ms),
            },
        );
    }
}

/// The answer to a hold.
fn lists(life: &Life) -> String {
    let running = life.runs.iter().map(|(task, run)| {
        let part = run.started.elapsed().as_secs_f64() / run.length.as_secs_f64().max(1e-3);
        let percent = (part * 100.0).min(99.0) as u64;
        format!(r#"["{task}",{},"",{percent},1000]"#, run.number)
    });
    let running: Vec<String> = running.collect();
    let finished = life.finished.iter().take(500);
    let finished: Vec<String> = finished
        .map(|(number, task, run, how)| format!(r#"[{number},"{task}",{run},"{how}",""]"#))
        .collect();
    format!(
        r#"{{"clock-ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
        life.clock(),
        life.born,
        running.join(","),
        finished.join(",")
    )
}
