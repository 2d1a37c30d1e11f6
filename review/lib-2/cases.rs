//! The cases. Each returns how the rule was broken; nothing if it held.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{configuration, Deployment, Signal, HOST};
use crate::http::{self, Response};
use crate::record::{Record, Start};
use crate::target::TASK_CPU;

const PREFIX: &str = "/pule252/";

/// Bounds of the deployment, in seconds, as in its settings.
const CONTACT_TIMEOUT: f64 = 3.0;
const CANCEL: f64 = 3.0;
const ACK_TIMEOUT: f64 = 4.0;
const DRAIN: f64 = 2.0;
/// Time after which a client sends a job again, in seconds, as in `retransmit-ms`.
const RETRANSMIT: f64 = 1.3;
const CONFIG_APPLY: f64 = 2.0;
/// Slack for the delays of real sockets, added to each bound.
const SLACK: f64 = 0.3;

type Verdict = Result<Vec<String>, String>;

pub fn run(case: &str, folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    record.line(&format!("case {case}, disruption {trouble}"));
    let mut verdict = match case {
        "frozen-cancel" => frozen_cancel(folder, record, trouble),
        "pipelined" => pipelined(folder, record, trouble),
        "removed-route" => removed_route(folder, record, trouble),
        "restart-copy" => restart_copy(folder, record, trouble),
        "new-kind" => new_kind(folder, record, trouble),
        "prefix" => prefix(folder, record, trouble),
        "foreign-report" => foreign_report(folder, record, trouble),
        _ => Err(format!("no case is named {case}")),
    }?;
    verdict.truncate(5);
    Ok(verdict)
}

/// A job of chained steps, one for each run time in `steps`, with `count` tasks each.
fn job(count: u32, steps: &[u32], label: Option<&str>) -> String {
    let label = label.map_or(String::new(), |label| {
        format!(r#","requirements":"{label}""#)
    });
    let phases: Vec<String> = steps
        .iter()
        .enumerate()
        .map(|(i, ms)| {
            let after = match i {
                0 => String::new(),
                _ => format!(r#","depends-on":[{}]"#, i - 1),
            };
            format!(
                r#"{{"count":{count},"cpu":{TASK_CPU},"mem-mb":64,"estimated-ms":{ms}{after}{label}}}"#
            )
        })
        .collect();
    let times: Vec<String> = steps.iter().map(u32::to_string).collect();
    format!(
        r#"{{"spec":"ms={}","phases":[{}],"best-effort":true}}"#,
        times.join(","),
        phases.join(",")
    )
}

/// A request of a client, recorded with its answer.
fn request(
    record: &Record,
    to: std::net::SocketAddr,
    (method, path): (&str, &str),
    deadline: Duration,
    body: &str,
) -> Result<Response, String> {
    record.line(&format!("{method} {path} to {}", to.ip()));
    let ms = deadline.as_millis().to_string();
    let headers = [("Host", HOST), ("Greengageproxy-Deadline-Ms", ms.as_str())];
    let answer = http::send(to, method, path, &headers, body, deadline);
    match &answer {
        Ok(answer) => {
            record.line(&format!(
                "{method} {path}: {} {}",
                answer.status, answer.body
            ));
        }
        Err(error) => record.line(&format!("{method} {path}: no answer, {error}")),
    }
    answer
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A started deployment with `count` targets of `tasks` tasks, all of kind `a`.
fn small(
    folder: &Path,
    record: &Arc<Record>,
    count: usize,
    tasks: u64,
) -> Result<Deployment, String> {
    let mut deployment = Deployment::new(folder, record.clone(), 3)?;
    let controls = deployment.control_addresses();
    for i in 0..count {
        let mut order = controls.clone();
        order.rotate_left(i % 3);
        deployment.add_target(i, "a", tasks, order);
    }
    deployment.bring_up(&configuration(7, &[("r-73hh2b9", PREFIX)]))?;
    Ok(deployment)
}

/// Starts of a job later than `bound`.
fn late_starts(record: &Record, job: &str, bound: f64) -> Vec<Start> {
    let starts = record.starts().into_iter();
    starts
        .filter(|start| start.job == job && start.at > bound)
        .collect()
}

/// Cancels a job at a VM, and repeats the request after a 503, as clients do. Returns when it was
/// acknowledged.
fn cancel(record: &Record, to: std::net::SocketAddr, path: &str) -> Result<f64, String> {
    for _ in 0..8 {
        match request(record, to, ("DELETE", path), Duration::from_secs(2), "") {
            Ok(answer) if matches!(answer.status, 200 | 410) => return Ok(record.now()),
            _ => sleep(0.5),
        }
    }
    Err("the cancelling wasn't acknowledged".to_string())
}

/// A job is cancelled while the VM that has it is frozen.
fn frozen_cancel(folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    let deployment = small(folder, &record, 12, 4)?;
    let (holder, other) = (deployment.entry(0), deployment.entry(1));
    let (id, body) = ("5c0e7a21d94b36f8", job(2, &[1500; 8], None));
    let path = format!("{PREFIX}{id}");
    let client = {
        let (record, path) = (record.clone(), path.clone());
        let to = deployment.vms[holder].address(8161);
        thread::spawn(move || request(&record, to, ("POST", &path), Duration::from_secs(45), &body))
    };
    sleep(1.0);
    if late_starts(&record, id, 0.0).is_empty() {
        return Err("the job didn't begin".to_string());
    }
    let freeze = record.now();
    if trouble {
        deployment.signal(holder, Signal::Stop);
    }
    // The platform takes the VM out of rotation after two checks, one each second.
    sleep(2.3);
    if trouble && deployment.is_ready(holder) {
        return Err("the frozen VM answers".to_string());
    }
    let acknowledged = cancel(&record, deployment.vms[other].address(8161), &path)?;
    sleep((freeze + 3.5 - record.now()).max(0.0));
    if trouble {
        deployment.signal(holder, Signal::Continue);
    }
    let thaw = record.now();
    sleep(CONTACT_TIMEOUT + 7.0);
    // From here on all VMs are in touch, also the one that was frozen.
    let bound = (acknowledged + CANCEL).max(thaw + CONTACT_TIMEOUT) + SLACK;
    let late = late_starts(&record, id, bound);
    drop(deployment);
    let _ = client.join();
    Ok(late
        .iter()
        .map(|start| {
            format!(
                "UNASKED: {} was started {:.1} s after the cancelling of its job was acknowledged",
                start.task,
                start.at - acknowledged
            )
        })
        .collect())
}

/// The channel of a client is reset that has sent the next request behind its submission.
fn pipelined(folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    let deployment = small(folder, &record, 12, 4)?;
    let (first, second) = (deployment.entry(0), deployment.entry(1));
    let (id, body) = ("7de4015b9ac2f863", job(2, &[5000], None));
    let path = format!("{PREFIX}{id}");
    let deadline = Duration::from_secs(20);
    let submission = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nGreengageproxy-Deadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    let count = format!("GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
    let to = deployment.vms[first].address(8161);
    let mut channel = http::Channel::open(to)?;
    record.line(&format!(
        "POST {path} and GET {PREFIX} on one channel to {}",
        to.ip()
    ));
    channel.send(&(submission + &count))?;
    sleep(1.0);
    if late_starts(&record, id, 0.0).is_empty() {
        return Err("the job didn't begin".to_string());
    }
    if trouble {
        record.line("the channel is reset");
        channel.reset();
        sleep(RETRANSMIT);
        let to = deployment.vms[second].address(8161);
        let _ = request(&record, to, ("POST", &path), deadline, &body);
    } else {
        for what in ["POST", "GET"] {
            let answer = channel.receive(deadline)?;
            record.line(&format!("{what}: {} {}", answer.status, answer.body));
        }
    }
    sleep(1.0);
    let runs = record.runs();
    let mut broken = Vec::new();
    for (i, a) in runs.iter().enumerate() {
        for b in runs[i + 1..].iter().filter(|b| b.task == a.task) {
            let until = a.to.unwrap_or(f64::MAX).min(b.to.unwrap_or(record.now()));
            if b.from < until {
                broken.push(format!(
                    "TWICE: {} ran on {} and on {} for {:.2} s at the same time",
                    a.task,
                    a.target,
                    b.target,
                    until - b.from
                ));
            }
        }
    }
    Ok(broken)
}

/// A job is cancelled at another VM after a change of the configuration has removed its route.
fn removed_route(folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    let deployment = small(folder, &record, 12, 4)?;
    let holder = deployment.entry(0);
    let (id, body) = ("0b7d31fa42c8e960", job(2, &[1500; 16], None));
    let path = format!("{PREFIX}{id}");
    let client = {
        let (record, path) = (record.clone(), path.clone());
        let to = deployment.vms[holder].address(8161);
        thread::spawn(move || request(&record, to, ("POST", &path), Duration::from_secs(60), &body))
    };
    sleep(1.0);
    if late_starts(&record, id, 0.0).is_empty() {
        return Err("the job didn't begin".to_string());
    }
    let other_route = ("r-wrr6x73", "/lohu930/");
    let changed = match trouble {
        true => configuration(9, &[other_route]),
        false => configuration(9, &[("r-73hh2b9", PREFIX), other_route]),
    };
    deployment.put(&changed, Duration::from_secs(8))?;
    sleep(CONFIG_APPLY + SLACK);
    // The client's retries reach other nodes.
    let first = record.now();
    let mut acknowledged = None;
    for attempt in 0..8 {
        let to = deployment.vms[deployment.entry(1 + attempt % 2)].address(8161);
        let answer = request(&record, to, ("DELETE", &path), Duration::from_secs(1), "");
        if answer.is_ok_and(|answer| matches!(answer.status, 200 | 410)) {
            acknowledged = Some(record.now());
            break;
        }
        sleep(0.5);
    }
    sleep((first + ACK_TIMEOUT + CANCEL + 5.0 - record.now()).max(0.0));
    let bound = acknowledged.unwrap_or(first + ACK_TIMEOUT) + CANCEL + SLACK;
    let late = late_starts(&record, id, bound);
    drop(deployment);
    let _ = client.join();
    let since = match acknowledged {
        Some(_) => "was acknowledged",
        None => "was first sent, without an ack in ack-timeout-ms",
    };
    Ok(late
        .iter()
        .map(|start| {
            format!(
                "UNASKED: {} was started {:.1} s after the cancelling of its job {since}",
                start.task,
                start.at - acknowledged.unwrap_or(first)
            )
        })
        .collect())
}

/// A copy of the submission of a cancelled job arrives at a VM that was restarted since.
fn restart_copy(folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    let mut deployment = small(folder, &record, 12, 4)?;
    let (holder, restarted) = (deployment.entry(0), deployment.entry(2));
    let (id, body) = ("141e8b0a93f27c55", job(2, &[1500; 4], None));
    let path = format!("{PREFIX}{id}");
    let client = {
        let (record, path, body) = (record.clone(), path.clone(), body.clone());
        let to = deployment.vms[holder].address(8161);
        thread::spawn(move || request(&record, to, ("POST", &path), Duration::from_secs(20), &body))
    };
    sleep(1.0);
    let acknowledged = cancel(&record, deployment.vms[holder].address(8161), &path)?;
    match client.join() {
        Ok(Ok(answer)) if answer.status == 200 => {}
        _ => return Err("the cancelled job wasn't answered with 2xx".to_string()),
    }
    if trouble {
        deployment.signal(restarted, Signal::Terminate);
        deployment.wait_exit(restarted, Duration::from_secs(7))?;
        deployment.start(restarted)?;
        deployment.wait_ready(restarted, Duration::from_secs(10))?;
    } else {
        sleep(4.0);
    }
    // The restarted VM is in touch.
    sleep(CONTACT_TIMEOUT + SLACK);
    let to = deployment.vms[restarted].address(8161);
    let _ = request(&record, to, ("POST", &path), Duration::from_secs(20), &body);
    let late = late_starts(&record, id, acknowledged + CANCEL + SLACK);
    Ok(late
        .iter()
        .map(|start| {
            format!(
                "UNASKED: {} was started {:.1} s after the cancelling of its job was acknowledged",
                start.task,
                start.at - acknowledged
            )
        })
        .collect())
}

/// Clients that submit jobs at a steady rate to all entry VMs in turn, until stopped.
struct Load {
    stopped: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<(String, u16)>>>,
    thread: thread::JoinHandle<()>,
}

impl Load {
    fn start(deployment: &Deployment, record: &Arc<Record>, per_second: f64, body: String) -> Load {
        let fronts: Vec<_> = (0..deployment.entries())
            .map(|i| deployment.vms[deployment.entry(i)].address(8161))
            .collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
        let (flag, list, record) = (stopped.clone(), answers.clone(), record.clone());
        let thread = thread::spawn(move || {
            let number = AtomicU64::new(0);
            let mut clients = Vec::new();
            while !flag.load(Ordering::Relaxed) {
                let n = number.fetch_add(1, Ordering::Relaxed);
                let to = fronts[n as usize % fronts.len()];
                let (list, record, body) = (Arc::clone(&list), record.clone(), body.clone());
                clients.push(thread::spawn(move || {
                    let id = format!("{:016x}", 0xa000_0000_0000_0000 + n);
                    let path = format!("{PREFIX}{id}");
                    let limit = Duration::from_millis(1500);
                    let answer = request(&record, to, ("POST", &path), limit, &body);
                    let status = answer.map_or(0, |answer| answer.status);
                    list.lock().unwrap().push((id, status));
                }));
                sleep(1.0 / per_second);
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Load {
            stopped,
            answers,
            thread,
        }
    }

    /// Ends the load; returns how many jobs were answered with 200, of how many.
    fn stop(self) -> (usize, usize) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        let answers = self.answers.lock().unwrap();
        (
            answers.iter().filter(|(_, status)| *status == 200).count(),
            answers.len(),
        )
    }
}

/// Targets crash and start again under their ids and addresses, as another kind, while the control VM to
/// which they report first is frozen.
fn new_kind(folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(folder, record.clone(), 6)?;
    let controls = deployment.control_addresses();
    // Every second target is of kind `a`; those that will crash report to the first control VM first.
    for i in 0..48 {
        let mut order = controls.clone();
        order.rotate_left(if i < 14 { 0 } else { i % 3 });
        deployment.add_target(i, if i % 2 == 0 { "a" } else { "b" }, 2, order);
    }
    deployment.bring_up(&configuration(7, &[("r-73hh2b9", PREFIX)]))?;
    // 24 targets of kind `a` with room for two tasks each.
    let load = Load::start(&deployment, &record, 45.0, job(4, &[170], Some("a")));
    sleep(3.0);
    let crashed = [0, 2, 4, 6, 8, 10, 12];
    if trouble {
        crashed.iter().for_each(|i| deployment.targets[*i].crash());
    }
    sleep(4.0);
    if trouble {
        deployment.signal(0, Signal::Stop);
    }
    sleep(0.5);
    if trouble {
        crashed
            .iter()
            .for_each(|i| deployment.targets[*i].restart("b"));
    }
    sleep(3.0);
    if trouble {
        deployment.signal(0, Signal::Continue);
    }
    sleep(2.0);
    let (served, sent) = load.stop();
    record.line(&format!("{served} of {sent} jobs were answered with 200"));
    if served * 2 < sent {
        return Err("less than half of the jobs were served".to_string());
    }
    let wrong = record
        .starts()
        .into_iter()
        .filter(|start| start.kind != "a");
    Ok(wrong
        .map(|start| {
            format!(
                "ROUTE: {} requires label a and was started on {}, which is of kind {}",
                start.task, start.target, start.kind
            )
        })
        .collect())
}

/// A change of the configuration adds a route whose prefix doesn't end with a slash.
fn prefix(folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    let deployment = small(folder, &record, 6, 4)?;
    let added = if trouble {
        "/lohu930/desk-"
    } else {
        "/lohu930/desk/"
    };
    let routes = [("r-73hh2b9", PREFIX), ("r-wrr6x73", added)];
    deployment.put(&configuration(9, &routes), Duration::from_secs(8))?;
    sleep(CONFIG_APPLY + SLACK + 1.0);
    let mut broken = Vec::new();
    for entry in 0..deployment.entries() {
        let to = deployment.vms[deployment.entry(entry)].address(8161);
        for (route, prefix) in routes {
            let id = format!("{:016x}", 0x73a9_0000_0000_0000_u64 + broken.len() as u64);
            let path = format!("{prefix}{id}");
            let body = job(2, &[100], None);
            let answer = request(&record, to, ("POST", &path), Duration::from_secs(3), &body)?;
            if answer.status == 404 {
                broken.push(format!(
                    "CONFIG: {path} is refused with 404, though {route} is there"
                ));
            }
        }
    }
    Ok(broken)
}

/// A report of another writer names a target in use and a service that isn't configured.
fn foreign_report(folder: &Path, record: Arc<Record>, trouble: bool) -> Verdict {
    let deployment = small(folder, &record, 6, 4)?;
    let load = Load::start(&deployment, &record, 30.0, job(4, &[100], None));
    sleep(2.0);
    let target = deployment.targets[0].clone();
    let control = deployment.control_addresses()[0];
    if trouble {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis();
        let body = format!(
            r#"{{"service":"other77","address":"127.0.0.1:9","zone":"lampang-a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"capacity":{{"cpu":4000,"mem-mb":4096,"gpu":0}},"labels":["a"],"clock-ms":5,"born":{born},"sequence":1}}"#
        );
        let path = format!("/greengageproxy/Instances.Heartbeat/{}", target.id);
        let answer = http::send(control, "POST", &path, &[], &body, Duration::from_secs(1))?;
        record.line(&format!(
            "report of another writer for {}: {}",
            target.id, answer.status
        ));
    }
    sleep(4.0);
    let begun: HashSet<String> = record.starts().into_iter().map(|s| s.target).collect();
    if !begun.contains(&target.id) {
        return Err("the target got no tasks".to_string());
    }
    target.drain();
    sleep(1.0);
    let Some(acknowledged) = target.drain_acknowledged() else {
        return Err("the draining wasn't acknowledged".to_string());
    };
    sleep(DRAIN + 3.0);
    let (served, sent) = load.stop();
    record.line(&format!("{served} of {sent} jobs were answered with 200"));
    let bound = acknowledged + DRAIN + SLACK;
    let late = record.starts().into_iter();
    let late = late.filter(|start| start.target == target.id && start.at > bound);
    Ok(late
        .map(|start| {
            format!(
                "DRAIN: {} was started on {} {:.1} s after its draining was acknowledged",
                start.task,
                start.target,
                start.at - acknowledged
            )
        })
        .collect())
}
