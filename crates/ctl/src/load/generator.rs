//! The open-loop load generator: carries out the actions of a schedule when they are due, whether
//! or not earlier submissions have been answered.
//!
//! Each thread takes the next action, sleeps until it is due, and carries it out. When all threads
//! wait for answers, the next action starts late; its response time is still counted from when it
//! was due, and `send_lag` records the delay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Report, WrapErr};
use greengage_core::{AccountName, JobKey, Name, TemplateName, ZoneName};
use greengage_standin::{Answer, Caller, CallerError, CallerSettings, Job, SingleRequest};
use serde_json::{json, Value};

use super::scenario::{Plan, SubmitMode};
use super::schedule::{Action, Arrival, Schedule};

/// How long after the end of the requested wait a caller gives up.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// How long after the deadline a caller still waits, so that late answers are observed.
const LATE_WINDOW: Duration = Duration::from_secs(1);

/// Outcome of a submission as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All results arrived, each for its own task.
    Complete,
    /// Reported as complete, but a result is missing or belongs to another task.
    WrongResults,
    /// Ended as failed.
    Failed {
        /// Reason given in the answer.
        reason: String,
        /// Whether the answer states that no task ran.
        not_run: bool,
    },
    /// Answered with an error.
    Refused {
        /// Kind of the error.
        kind: String,
        /// Whether the answer states that no task ran.
        not_run: bool,
    },
    /// Still open at the end of the requested wait.
    Pending,
    /// No valid answer arrived.
    NoAnswer,
}

/// An arrival that was submitted, and its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Index of the arrival in the schedule.
    pub arrival: usize,
    /// Time from when it was due to when it was sent.
    pub send_lag: Duration,
    /// Time from when it was due to when the call ended.
    pub response_time: Duration,
    /// Outcome for the caller.
    pub outcome: Outcome,
}

/// What the callers of a run observed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// One submission for each arrival, in no particular order.
    pub submissions: Vec<Submission>,
    /// Index of the entry VM and of the home zone of each call, including cancellations.
    pub calls: Vec<(usize, usize)>,
    /// Time at which the last target announced that it is leaving, from the start of the run;
    /// `None` if it didn't.
    pub left_at: Option<Duration>,
}

/// The deployment under test, as its callers use it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Caller address of each VM.
    pub entries: Vec<SocketAddr>,
    /// Index in `zones` of the zone of each VM, in the order of `entries`.
    pub entry_zones: Vec<usize>,
    /// Availability zones, sorted.
    pub zones: Vec<ZoneName>,
    /// Prefix of job ids, different for each run.
    pub run_id: String,
}

struct Generator<'a> {
    plan: &'a Plan,
    schedule: &'a Schedule,
    deployment: &'a Deployment,
    leave_last: &'a (dyn Fn() + Sync),
    run_start: Instant,
    next_action: AtomicUsize,
    // Whether each arrival has ended; an ended one is not cancelled any more.
    ended: Vec<AtomicBool>,
    // Indexed by account, then by entry VM.
    callers: Vec<Vec<Caller>>,
    templates: Vec<TemplateName>,
    observations: Mutex<Observations>,
}

/// Carries out a schedule that starts at `run_start`, with `connections` caller threads. Calls
/// `leave_last` when the last target is due to leave. Returns when all submissions have ended.
pub fn run_schedule(
    plan: &Plan,
    schedule: &Schedule,
    deployment: &Deployment,
    connections: usize,
    run_start: Instant,
    leave_last: &(dyn Fn() + Sync),
) -> Result<Observations, Report> {
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
                answer_margin: ANSWER_MARGIN,
            })
        };
        callers.push(deployment.entries.iter().map(caller).collect());
    }
    let generator = Generator {
        plan,
        schedule,
        deployment,
        leave_last,
        run_start,
        next_action: AtomicUsize::new(0),
        ended: schedule
            .arrivals
            .iter()
            .map(|_| AtomicBool::new(false))
            .collect(),
        callers,
        templates: templates?,
        observations: Mutex::default(),
    };
    thread::scope(|scope| {
        for i in 0..connections {
            thread::Builder::new()
                .name(format!("caller-{i}"))
                .spawn_scoped(scope, || generator.run_thread())
                .wrap_err("can't spawn a caller thread: lower --connections")?;
        }
        Ok::<(), Report>(())
    })?;
    Ok(generator
        .observations
        .into_inner()
        .expect("no caller panics"))
}

/// The tag that identifies a task; it comes back in the task's result and in the target's records.
pub fn task_tag(arrival: usize, task: usize) -> Value {
    json!([arrival, task])
}

impl Generator<'_> {
    fn run_thread(&self) {
        let mut observations = Observations::default();
        loop {
            let next = self.next_action.fetch_add(1, Ordering::Relaxed);
            let Some((due, action)) = self.schedule.actions.get(next) else {
                break;
            };
            let now = self.run_start.elapsed();
            thread::sleep(due.saturating_sub(now));
            match *action {
                Action::Submit(arrival) => self.submit(arrival, *due, &mut observations),
                Action::Cancel(arrival) => self.cancel(arrival, &mut observations),
                Action::Leave => {
                    (self.leave_last)();
                    observations.left_at = Some(self.run_start.elapsed());
                }
            }
        }
        let mut merged = self.observations.lock().expect("no caller panics");
        merged.submissions.append(&mut observations.submissions);
        merged.calls.append(&mut observations.calls);
        merged.left_at = merged.left_at.or(observations.left_at);
    }

    /// Returns the index of the entry VM and of the home zone of an arrival.
    fn route(&self, arrival: &Arrival) -> (usize, usize) {
        let entry = arrival.entry % self.deployment.entries.len();
        let zone = match self.plan.kinds[arrival.kind].mode {
            // A request without a key has the zone of its entry VM as home zone.
            SubmitMode::Repeatable => self.deployment.entry_zones[entry],
            SubmitMode::Job | SubmitMode::Keyed => arrival.zone % self.deployment.zones.len(),
        };
        (entry, zone)
    }

    fn submission_id(&self, index: usize) -> Name {
        Name::new(&format!("{}-{index}", self.deployment.run_id)).expect("a valid name")
    }

    fn submit(&self, index: usize, due: Duration, observations: &mut Observations) {
        let arrival = &self.schedule.arrivals[index];
        let kind = &self.plan.kinds[arrival.kind];
        let (entry, zone) = self.route(arrival);
        let template = self.templates[arrival.kind].clone();
        let task =
            |(i, millis): (usize, &u32)| json!({"sleep_ms": millis, "echo": task_tag(index, i)});
        let tasks: Vec<Value> = arrival.tasks.iter().enumerate().map(task).collect();
        let send_lag = self.run_start.elapsed().saturating_sub(due);
        let wait = (Duration::from_millis(kind.deadline_ms) + LATE_WINDOW).saturating_sub(send_lag);
        let caller = &self.callers[arrival.account][entry];
        observations.calls.push((entry, zone));
        let answer = match kind.mode {
            SubmitMode::Job => {
                let job = Job {
                    id: self.submission_id(index),
                    zone: Some(self.deployment.zones[zone].clone()),
                    template,
                    tasks,
                };
                caller.submit(&job, wait)
            }
            SubmitMode::Repeatable | SubmitMode::Keyed => {
                let keyed = kind.mode == SubmitMode::Keyed;
                let single = SingleRequest {
                    id: keyed.then(|| self.submission_id(index)),
                    zone: Some(self.deployment.zones[zone].clone()),
                    template,
                    task: tasks[0].clone(),
                };
                caller.request(&single, wait)
            }
        };
        let response_time = self.run_start.elapsed().saturating_sub(due);
        self.ended[index].store(true, Ordering::Relaxed);
        observations.submissions.push(Submission {
            arrival: index,
            send_lag,
            response_time,
            outcome: classify(answer, index, arrival.tasks.len()),
        });
    }

    fn cancel(&self, index: usize, observations: &mut Observations) {
        if self.ended[index].load(Ordering::Relaxed) {
            return;
        }
        let arrival = &self.schedule.arrivals[index];
        let (entry, zone) = self.route(arrival);
        let key = JobKey {
            zone: self.deployment.zones[zone].clone(),
            account: AccountName::new(self.plan.accounts[arrival.account].name)
                .expect("a valid name"),
            id: self.submission_id(index),
        };
        observations.calls.push((entry, zone));
        // The outcome is taken from the answer to the submission.
        let _ = self.callers[arrival.account][entry].cancel(&key, Duration::from_secs(2));
    }
}

fn classify(answer: Result<Answer, CallerError>, index: usize, tasks: usize) -> Outcome {
    match answer {
        Ok(Answer::Complete { results, .. }) => {
            let matches = |(i, result): (usize, &Value)| result["echo"] == task_tag(index, i);
            match results.len() == tasks && results.iter().enumerate().all(matches) {
                true => Outcome::Complete,
                false => Outcome::WrongResults,
            }
        }
        Ok(Answer::Failed {
            reason, not_run, ..
        }) => Outcome::Failed { reason, not_run },
        Ok(Answer::Pending { .. }) => Outcome::Pending,
        Ok(Answer::Error { kind, not_run, .. }) => Outcome::Refused { kind, not_run },
        Err(CallerError::NoAnswer { .. } | CallerError::Malformed(_)) => Outcome::NoAnswer,
    }
}

/// The ideal response time of an arrival, in seconds: its longest task on an idle target of mean
/// speed, plus one round trip.
pub fn ideal_seconds(plan: &Plan, arrival: &Arrival, round_trip: Duration) -> f64 {
    let longest_ms = arrival.tasks.iter().copied().max().unwrap_or(0);
    f64::from(longest_ms) / 1000.0 / plan.mean_speed() + round_trip.as_secs_f64()
}
