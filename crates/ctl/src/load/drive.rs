//! Sends a schedule's submissions when they are due, whether or not earlier ones were answered.
//!
//! Each thread takes the next action, sleeps until it is due, and carries it out. When all threads
//! wait for answers the next action is late, and its time still counts from when it was due.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Report, WrapErr};
use greengage_core::{AccountName, JobKey, Name, TemplateName, ZoneName};
use greengage_standin::{Answer, Caller, CallerError, CallerSettings, Job, Single};
use serde_json::{json, Value};

use super::scenario::{Form, Plan};
use super::schedule::{Action, Arrival, Schedule};

/// How long an answer may take beyond the deadline before the caller gives up.
const MARGIN: Duration = Duration::from_secs(2);
/// How much longer than its deadline a caller asks to be held, to see answers that are late.
const LATE: Duration = Duration::from_secs(1);

/// How a submission ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// All results, and each is the one of its task.
    Complete,
    /// Complete, but with a result of another task or a missing one.
    Wrong,
    /// Failed, with the reason.
    Failed {
        /// The kind of failure.
        reason: String,
        /// Whether the answer says that nothing ran.
        not_run: bool,
    },
    /// Refused, with the kind of error.
    Refused {
        /// The kind of error.
        kind: String,
        /// Whether the answer says that nothing ran.
        not_run: bool,
    },
    /// Not ended when the caller gave up.
    Pending,
    /// No answer.
    NoAnswer,
}

/// What came of an arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Index of the arrival.
    pub arrival: usize,
    /// From the time when it was due to its sending.
    pub lag: Duration,
    /// From the time when it was due to its answer.
    pub response: Duration,
    /// How it ended.
    pub end: End,
}

/// What a run's callers saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// One for each arrival, in any order.
    pub outcomes: Vec<Outcome>,
    /// Entry number and zone number of each call that was sent, cancellations included.
    pub calls: Vec<(usize, usize)>,
    /// When the last target announced that it is leaving, from the start of the run.
    pub left: Option<Duration>,
}

/// The deployment as callers use it.
#[derive(Clone, Debug)]
pub struct Site {
    /// Entry VMs.
    pub entries: Vec<SocketAddr>,
    /// Index in `zones` of each entry VM's zone.
    pub entry_zones: Vec<usize>,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Prefix of keys, different for each run.
    pub run: String,
}

struct Driver<'a> {
    plan: &'a Plan,
    schedule: &'a Schedule,
    site: &'a Site,
    leave: &'a (dyn Fn() + Sync),
    began: Instant,
    next: AtomicUsize,
    // For each arrival whether it has ended, so that a cancellation of it is left out.
    ended: Vec<AtomicBool>,
    // By account, then by entry.
    callers: Vec<Vec<Caller>>,
    templates: Vec<TemplateName>,
    seen: Mutex<Seen>,
}

/// Runs a schedule from `began` on with at most `threads` connections of callers.
pub fn drive(
    plan: &Plan,
    schedule: &Schedule,
    site: &Site,
    threads: usize,
    began: Instant,
    leave: &(dyn Fn() + Sync),
) -> Result<Seen, Report> {
    let templates: Result<Vec<TemplateName>, _> = plan
        .kinds
        .iter()
        .map(|k| TemplateName::new(k.name))
        .collect();
    let mut callers = Vec::new();
    for account in &plan.accounts {
        let account = AccountName::new(account.name)?;
        let caller = |entry: &SocketAddr| {
            Caller::new(CallerSettings {
                entries: vec![*entry],
                account: account.clone(),
                margin: MARGIN,
            })
        };
        callers.push(site.entries.iter().map(caller).collect());
    }
    let driver = Driver {
        plan,
        schedule,
        site,
        leave,
        began,
        next: AtomicUsize::new(0),
        ended: schedule
            .arrivals
            .iter()
            .map(|_| AtomicBool::new(false))
            .collect(),
        callers,
        templates: templates?,
        seen: Mutex::default(),
    };
    thread::scope(|scope| {
        for i in 0..threads {
            thread::Builder::new()
                .name(format!("caller-{i}"))
                .spawn_scoped(scope, || driver.work())
                .wrap_err("a thread of callers can't be started: lower --connections")?;
        }
        Ok::<(), Report>(())
    })?;
    Ok(driver.seen.into_inner().expect("no caller panics"))
}

/// The mark of a task, which its result and the targets' logs repeat.
pub fn mark(arrival: usize, task: usize) -> Value {
    json!([arrival, task])
}

impl Driver<'_> {
    fn work(&self) {
        let mut seen = Seen::default();
        loop {
            let next = self.next.fetch_add(1, Ordering::Relaxed);
            let Some((due, action)) = self.schedule.actions.get(next) else {
                break;
            };
            let now = self.began.elapsed();
            thread::sleep(due.saturating_sub(now));
            match *action {
                Action::Submit(arrival) => self.submit(arrival, *due, &mut seen),
                Action::Cancel(arrival) => self.cancel(arrival, &mut seen),
                Action::Leave => {
                    (self.leave)();
                    seen.left = Some(self.began.elapsed());
                }
            }
        }
        let mut all = self.seen.lock().expect("no caller panics");
        all.outcomes.append(&mut seen.outcomes);
        all.calls.append(&mut seen.calls);
        all.left = all.left.or(seen.left);
    }

    /// Entry number and zone number of an arrival.
    fn place(&self, arrival: &Arrival) -> (usize, usize) {
        let entry = arrival.entry % self.site.entries.len();
        let zone = match self.plan.kinds[arrival.kind].form {
            // Without a key, the zone of the VM that takes it.
            Form::Repeatable => self.site.entry_zones[entry],
            Form::Job | Form::Once => arrival.zone % self.site.zones.len(),
        };
        (entry, zone)
    }

    fn id(&self, index: usize) -> Name {
        Name::new(&format!("{}-{index}", self.site.run)).expect("a valid name")
    }

    fn submit(&self, index: usize, due: Duration, seen: &mut Seen) {
        let arrival = &self.schedule.arrivals[index];
        let kind = &self.plan.kinds[arrival.kind];
        let (entry, zone) = self.place(arrival);
        let template = self.templates[arrival.kind].clone();
        let task = |(i, millis): (usize, &u32)| json!({"sleep_ms": millis, "echo": mark(index, i)});
        let tasks: Vec<Value> = arrival.tasks.iter().enumerate().map(task).collect();
        let lag = self.began.elapsed().saturating_sub(due);
        let wait = (Duration::from_millis(kind.deadline_ms) + LATE).saturating_sub(lag);
        let caller = &self.callers[arrival.account][entry];
        seen.calls.push((entry, zone));
        let answer = match kind.form {
            Form::Job => {
                let job = Job {
                    id: self.id(index),
                    zone: Some(self.site.zones[zone].clone()),
                    template,
                    tasks,
                };
                caller.submit(&job, wait)
            }
            Form::Repeatable | Form::Once => {
                let once = kind.form == Form::Once;
                let single = Single {
                    id: once.then(|| self.id(index)),
                    zone: Some(self.site.zones[zone].clone()),
                    template,
                    task: tasks[0].clone(),
                };
                caller.request(&single, wait)
            }
        };
        let response = self.began.elapsed().saturating_sub(due);
        self.ended[index].store(true, Ordering::Relaxed);
        seen.outcomes.push(Outcome {
            arrival: index,
            lag,
            response,
            end: end(answer, index, arrival.tasks.len()),
        });
    }

    fn cancel(&self, index: usize, seen: &mut Seen) {
        if self.ended[index].load(Ordering::Relaxed) {
            return;
        }
        let arrival = &self.schedule.arrivals[index];
        let (entry, zone) = self.place(arrival);
        let key = JobKey {
            zone: self.site.zones[zone].clone(),
            account: AccountName::new(self.plan.accounts[arrival.account].name)
                .expect("a valid name"),
            id: self.id(index),
        };
        seen.calls.push((entry, zone));
        // The answer of the submission shows what came of it.
        let _ = self.callers[arrival.account][entry].cancel(&key, Duration::from_secs(2));
    }
}

fn end(answer: Result<Answer, CallerError>, index: usize, tasks: usize) -> End {
    match answer {
        Ok(Answer::Complete { results, .. }) => {
            let right = |(i, result): (usize, &Value)| result["echo"] == mark(index, i);
            match results.len() == tasks && results.iter().enumerate().all(right) {
                true => End::Complete,
                false => End::Wrong,
            }
        }
        Ok(Answer::Failed {
            reason, not_run, ..
        }) => End::Failed { reason, not_run },
        Ok(Answer::Pending { .. }) => End::Pending,
        Ok(Answer::Error { kind, not_run, .. }) => End::Refused { kind, not_run },
        Err(CallerError::NoAnswer { .. } | CallerError::Malformed(_)) => End::NoAnswer,
    }
}

/// The ideal response time of an arrival in seconds: its longest task on a free target of mean
/// speed, plus one round trip.
pub fn ideal(plan: &Plan, arrival: &Arrival, round_trip: Duration) -> f64 {
    let longest = arrival.tasks.iter().copied().max().unwrap_or(0);
    f64::from(longest) / 1000.0 / plan.mean_speed() + round_trip.as_secs_f64()
}
