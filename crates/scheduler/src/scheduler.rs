//! The state machine of an entry VM's scheduler.

use std::sync::Arc;
use std::time::Duration;

use greengage_config::Document;
use greengage_contention::Shares;
use greengage_core::{
    value, Address, Demand, Incarnation, RequestId, SortedMap, TargetName, Time, VmName, WallTime,
    ZoneName,
};

use crate::assignment::Candidate;
use crate::cancel::{Cancellations, RemovedQueues};
use crate::departures::Departures;
use crate::ends::EndedCall;
use crate::estimate::Estimates;
use crate::event::{Effect, Event, Reply, TargetCall};
use crate::job::{Job, JobCaller, TaskState};
use crate::peer::{OffloadOutcome, PeerMessage, ResourceOffer};
use crate::refusals::{Reason, RefusalCounts};
use crate::renewal::OffloadRecord;
use crate::submit::RETRY_AFTER;
use crate::target::Ownership;
use crate::targets::Targets;

/// Interval between checks of leases, deadlines and stalled runs.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a scheduler.
#[value]
pub struct Setup {
    /// This VM as a possible owner of targets.
    pub candidate: Candidate,
    /// Incarnation of this VM's process.
    pub incarnation: Incarnation,
    /// Longest time for which a run continues after its target has confirmed a stop.
    pub stop_limit: Duration,
    /// Interval at which targets report.
    pub report_interval: Duration,
}

/// Another live entry VM.
#[value]
pub struct Peer {
    /// The VM as a possible owner of targets.
    pub candidate: Candidate,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it is shutting down and hands over its targets.
    pub leaving: bool,
}

/// Last known state of another entry VM.
pub(crate) struct PeerView {
    pub(crate) peer: Peer,
    /// When this incarnation became a peer.
    pub(crate) joined: Time,
    /// The earliest time at which its last offers may have been sent; at first, when it became a
    /// peer.
    pub(crate) last_offers: Time,
    /// The targets that it owns; `None` before its first message about them.
    pub(crate) owned: Option<Vec<TargetName>>,
    pub(crate) offers: Vec<ResourceOffer>,
    /// When its shutdown ends, by its last offers; `None` if it doesn't shut down.
    pub(crate) end: Option<Time>,
    /// Whether it recently lacked free resources.
    pub(crate) shortage: bool,
    /// Whether it exchanges updates of offers with this VM although it is of another zone.
    pub(crate) partner: bool,
    /// Whether it gets a renewal: runs were offloaded to it, and no renewal has said since that
    /// none of them is needed any more.
    pub(crate) renewal_due: bool,
}

/// A shutdown of this VM.
#[value(copy)]
pub(crate) struct Leaving {
    pub(crate) since: Time,
    /// When the last caller must have its answer.
    pub(crate) end: Time,
}

/// The state machine of one entry VM.
pub struct Scheduler {
    pub(crate) setup: Setup,
    pub(crate) document: Option<Arc<Document>>,
    /// The evacuated zones, sorted.
    pub(crate) evacuated: Vec<ZoneName>,
    /// When they changed last.
    pub(crate) evacuated_at: Time,
    pub(crate) targets: Targets,
    pub(crate) departures: Departures,
    /// When the first of the known targets became known; `None` before.
    pub(crate) first_target: Option<Time>,
    pub(crate) peers: SortedMap<VmName, PeerView>,
    pub(crate) jobs: SortedMap<u64, Job>,
    /// Job id by the request of the caller that waits for it.
    pub(crate) requests: SortedMap<RequestId, u64>,
    /// Job id of each offloaded run, by offload id.
    pub(crate) offloaded: SortedMap<u64, u64>,
    /// Until when all callers that have left are known to have been reported.
    pub(crate) callers_checked: Time,
    /// Whether that was too long ago for the current jobs, as last logged.
    pub(crate) callers_unknown: bool,
    pub(crate) cancellations: Cancellations,
    pub(crate) removed_queues: RemovedQueues,
    pub(crate) refusals: RefusalCounts,
    /// Work that was offered and admitted, by queue.
    pub(crate) shares: Shares,
    pub(crate) last_job_id: u64,
    pub(crate) last_offload_id: u64,
    pub(crate) estimates: Estimates,
    /// The shutdown of this VM; `None` before it begins.
    pub(crate) leaving: Option<Leaving>,
    /// When silent targets were last looked for.
    pub(crate) silence_reviewed: Time,
    /// Whether the targets or the VMs to which they are assigned have changed.
    pub(crate) reassign: bool,
    /// When a peer was last added.
    pub(crate) last_join: Time,
    /// When offers were last sent to the VMs that want updates, and to all VMs.
    pub(crate) offers_sent: Time,
    pub(crate) offers_broadcast: Time,
    /// End of this VM's shortage of resources, and whether it was broadcast.
    pub(crate) shortage_until: Time,
    pub(crate) shortage_sent: bool,
    pub(crate) offers_changed: bool,
    /// Whether targets were claimed or released since the VMs of this zone were told.
    pub(crate) owners_changed: bool,
    pub(crate) last_renewal: Time,
    /// Outcomes of runs for other VMs, which are sent at the end of this step.
    pub(crate) offload_outcomes: SortedMap<VmName, Vec<(u64, OffloadOutcome)>>,
    /// State of the runs for other VMs.
    pub(crate) offload_records: SortedMap<VmName, OffloadRecord>,
    next_review: Time,
    /// Whether waiting tasks may fit now.
    pub(crate) dispatch_due: bool,
    /// The least amount of each resource that a task needs which found no place in the last round of
    /// placement; `None` if all did.
    pub(crate) least_waiting: Option<Demand>,
    /// Paths of the jobs that have ended with an unknown outcome since the shutdown began.
    unfinished: Vec<Arc<str>>,
    /// Id of the job that was accepted in this step.
    pub(crate) accepted_job: Option<u64>,
}

/// Size of the id range of one incarnation. The next incarnation is at least 1 ms later, so ids
/// don't overlap.
const OFFLOAD_IDS_PER_INCARNATION: u64 = 1 << 20;

/// The id before the first one of an incarnation. Outcomes of an earlier incarnation's offloaded
/// runs must not match the ids of new ones.
fn first_offload_id(incarnation: Incarnation) -> u64 {
    incarnation.0.wrapping_mul(OFFLOAD_IDS_PER_INCARNATION)
}

/// Number of unfinished tasks that are logged for a job.
const MAX_LOGGED_TASKS: usize = 4;

/// Logs tasks that weren't done when their job ended, and where they were.
fn log_unfinished(now: Time, job: &Job) {
    let unfinished = job.tasks.iter().filter(|t| t.state != TaskState::Done);
    for task in unfinished.take(MAX_LOGGED_TASKS) {
        let (place, name) = match &task.state {
            TaskState::Local(target) => ("target", target.as_str()),
            TaskState::Remote { vm, .. } => ("vm", vm.as_str()),
            TaskState::Waiting | TaskState::Done => ("queue", ""),
        };
        log::info!(event = "task-unfinished", job = job.id.as_str(), task = &*task.name,
            place = place, name = name, run = task.number, failures = task.failures,
            overruns = task.overruns, left_ms = job.deadline.since(now).as_millis() as u64;
            "a task was not done when its job ended");
    }
}

impl Scheduler {
    /// Creates a scheduler without targets and without a configuration.
    pub fn new(now: Time, setup: Setup) -> Scheduler {
        Scheduler {
            document: None,
            evacuated: Vec::new(),
            evacuated_at: now,
            targets: Targets::default(),
            departures: Departures::default(),
            first_target: None,
            peers: SortedMap::new(),
            jobs: SortedMap::new(),
            requests: SortedMap::new(),
            offloaded: SortedMap::new(),
            callers_checked: now,
            callers_unknown: false,
            cancellations: Cancellations::default(),
            removed_queues: RemovedQueues::default(),
            refusals: RefusalCounts::default(),
            shares: Shares::default(),
            last_job_id: 0,
            last_offload_id: first_offload_id(setup.incarnation),
            estimates: Estimates::default(),
            leaving: None,
            silence_reviewed: now,
            reassign: true,
            last_join: now,
            offers_sent: now,
            offers_broadcast: now,
            shortage_until: now,
            shortage_sent: false,
            offers_changed: true,
            owners_changed: false,
            last_renewal: now,
            offload_outcomes: SortedMap::new(),
            offload_records: SortedMap::new(),
            next_review: now,
            dispatch_due: false,
            least_waiting: None,
            unfinished: Vec::new(),
            accepted_job: None,
            setup,
        }
    }

    /// The configuration in force; `None` before the first one.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Number of callers that wait for an answer.
    pub fn callers(&self) -> usize {
        self.requests.len()
    }

    /// Paths of the jobs that have ended with an unknown outcome since the shutdown began.
    pub fn unfinished(&self) -> &[Arc<str>] {
        &self.unfinished
    }

    /// Number of targets that this VM has claimed or owns.
    pub fn owned(&self) -> usize {
        let targets = self.targets.used();
        targets
            .filter(|(_, target)| target.ownership != Ownership::Unowned)
            .count()
    }

    /// Number of known targets, whoever owns them.
    pub fn known(&self) -> usize {
        self.targets.len()
    }

    /// When the next `Event::Tick` is due.
    pub fn next_wake(&self) -> Time {
        self.next_review
    }

    /// Processes one event and returns the resulting effects in order.
    pub fn step(&mut self, now: Time, wall: WallTime, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, wall, &mut out),
            Event::Configuration(document) => self.on_configuration(now, document, &mut out),
            Event::Evacuations(zones) => self.on_evacuations(now, zones),
            Event::Submit(submission) => self.submit(now, submission, &mut out),
            Event::Count {
                request,
                host,
                path,
            } => self.count_pending(request, &host, &path, &mut out),
            Event::CallerGone(request) => self.on_caller_gone(now, request, &mut out),
            Event::CallersChecked { until } => self.on_callers_checked(now, until),
            Event::TargetReported(report) => self.on_target_report(now, report, &mut out),
            Event::TargetLeft(departure) => self.on_target_left(now, &departure, &mut out),
            Event::Peers(peers) => self.set_peers(now, peers, &mut out),
            Event::Peer {
                from,
                sent,
                message,
            } => self.on_peer_message(now, (from, sent, message), &mut out),
            Event::StartEnded {
                target,
                task,
                number,
                generation,
                result,
            } => {
                let call = EndedCall {
                    target: &target,
                    task: &task,
                    number,
                    generation,
                };
                self.on_start_result(now, call, result, &mut out)
            }
            Event::StopEnded {
                target,
                task,
                number,
                generation,
                result,
            } => {
                let call = EndedCall {
                    target: &target,
                    task: &task,
                    number,
                    generation,
                };
                self.on_stop_result(now, call, result, &mut out)
            }
            Event::HoldEnded {
                target,
                generation,
                result,
            } => self.on_hold_result(now, &target, generation, result, &mut out),
            Event::Leave { end } => self.leave(now, end),
        }
        if self.dispatch_due {
            self.dispatch_due = false;
            self.dispatch(now, &mut out);
        }
        if let Some(job) = self.accepted_job.take() {
            if self.refuse_if_backlogged(now, job, &mut out) {
                // Another job was refused in its place.
                self.dispatch_due = false;
                self.dispatch(now, &mut out);
            }
        }
        self.send_outcomes(&mut out);
        self.send_offers(now, &mut out);
        out
    }

    fn send_outcomes(&mut self, out: &mut Vec<Effect>) {
        for (to, ends) in std::mem::take(&mut self.offload_outcomes) {
            let message = PeerMessage::Ended(ends);
            out.push(Effect::Send { to, message });
        }
    }

    fn leave(&mut self, now: Time, end: Time) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(Leaving { since: now, end });
        self.reassign = true;
        self.offers_changed = true;
        for job in self.jobs.values_mut() {
            job.limit_end(end);
        }
    }

    /// Ends all jobs, answers their callers and reports the runs for other VMs, because the process
    /// is about to exit.
    pub fn answer_all(&mut self, now: Time) -> Vec<Effect> {
        let mut out = Vec::new();
        let jobs: Vec<(u64, bool)> = self
            .jobs
            .iter()
            .map(|(id, job)| (*id, job.may_have_run()))
            .collect();
        for (job_id, may_have_run) in jobs {
            let reply = match may_have_run {
                true => Reply::TimedOut,
                false => Reply::Refused { after: RETRY_AFTER },
            };
            self.finish(now, job_id, reply, &mut out);
        }
        self.report_remaining(now, &mut out);
        self.send_outcomes(&mut out);
        out
    }

    fn tick(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if now < self.next_review {
            return;
        }
        self.next_review = now + REVIEW_INTERVAL;
        self.review_callers(now);
        self.review_lost_targets(now, out);
        self.review_ownership(now, wall, out);
        self.review_runs(now, out);
        self.review_unplaceable(now, out);
        self.review_jobs(now, out);
        self.review_offloads(now, out);
        self.dispatch_due = true;
    }

    fn on_configuration(&mut self, now: Time, document: Arc<Document>, out: &mut Vec<Effect>) {
        let version = self.document.as_ref().map(|d| d.version);
        if Some(document.version) > version {
            log::info!(event = "configuration", version = document.version.0,
                queues = document.queues.len(); "a configuration was applied");
            if let Some(old) = &self.document {
                self.removed_queues.update(old, &document);
            }
            let has_queue = |name: &str| document.queues.iter().any(|q| *q.name == *name);
            self.refusals.retain(has_queue);
            self.shares.retain(has_queue);
            self.document = Some(document);
        }
        if version.is_none() {
            self.drop_foreign(now, out);
        }
    }

    fn count_pending(&self, request: RequestId, host: &str, path: &str, out: &mut Vec<Effect>) {
        let document = self.document.as_ref();
        let reply = match (document, document.and_then(|d| d.queue(host, path))) {
            (None, _) => Reply::Refused {
                after: Duration::from_secs(1),
            },
            (Some(_), None) => Reply::NoQueue,
            (Some(_), Some(queue)) if *queue.prefix != *path => Reply::NoJob,
            (Some(_), Some(queue)) => {
                let jobs = self.jobs.values();
                let waiting = jobs.filter(|job| !job.may_have_run() && job.queue == queue.name);
                Reply::Pending(waiting.count() as u64)
            }
        };
        out.push(Effect::Answer { request, reply });
    }

    /// Ends a job, answers its callers and stops its remaining runs.
    pub(crate) fn finish(&mut self, now: Time, job_id: u64, reply: Reply, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.remove(&job_id) else {
            return;
        };
        log::info!(event = "job-ended", job = job.id.as_str(), queue = &*job.queue,
            outcome:? = reply, tasks = job.tasks.len(), begun = job.may_have_run(),
            age_ms = now.since(job.arrival).as_millis() as u64,
            version = self.document.as_ref().map_or(0, |d| d.version.0); "a job has ended");
        if reply != Reply::Completed && job.started {
            log_unfinished(now, &job);
        }
        if reply == Reply::TimedOut && job.may_have_run() && self.leaving.is_some() {
            self.unfinished.push(job.path.clone());
        }
        for JobCaller { request, .. } in &job.callers {
            self.requests.remove(request);
            out.push(Effect::Answer {
                request: *request,
                reply: reply.clone(),
            });
        }
        let mut remote_stops: SortedMap<VmName, Vec<u64>> = SortedMap::new();
        for task in &job.tasks {
            match &task.state {
                TaskState::Local(target) => {
                    self.stop_run(now, &target.clone(), &task.name, task.number, out);
                }
                TaskState::Remote { vm, offload_id } => {
                    self.offloaded.remove(offload_id);
                    remote_stops
                        .get_or_insert_with(vm.clone(), Vec::new)
                        .push(*offload_id);
                }
                TaskState::Waiting | TaskState::Done => {}
            }
        }
        for (to, offload_ids) in remote_stops {
            let message = PeerMessage::Stop(offload_ids);
            out.push(Effect::Send { to, message });
        }
        self.dispatch_due = true;
    }

    /// Ends jobs that have reached their deadline or didn't start in time, and answers callers
    /// that wait no longer for a job that goes on for others.
    fn review_jobs(&mut self, now: Time, out: &mut Vec<Effect>) {
        for job in self.jobs.values_mut().filter(|job| now < job.deadline) {
            while let Some(caller) = job.callers.iter().find(|c| now >= c.deadline) {
                let request = caller.request;
                job.remove_caller(request);
                self.requests.remove(&request);
                out.push(Effect::Answer {
                    request,
                    reply: Reply::TimedOut,
                });
            }
        }
        // Callers that are refused together return in the order of their jobs.
        let over: Vec<(u64, bool, Duration)> = self
            .jobs
            .iter()
            .filter(|(_, job)| now >= job.deadline || (now >= job.start_by && !job.may_have_run()))
            .map(|(job_id, job)| (*job_id, job.may_have_run(), self.room_after(now, job)))
            .collect();
        for (job_id, may_have_run, room_after) in over {
            if may_have_run {
                self.finish(now, job_id, Reply::TimedOut, out);
            } else if !self.start_late(now, job_id, out) {
                let reason = (Reason::LongestWait, room_after);
                self.refuse_for_room(now, job_id, reason, out);
            }
        }
    }

    /// Emits a call to a known target, with the generation of this VM's claim.
    pub(crate) fn call(&self, target: &TargetName, call: TargetCall, out: &mut Vec<Effect>) {
        if let Some(found) = self.targets.get(target) {
            let address: Address = found.report.address.clone();
            out.push(Effect::Call {
                target: target.clone(),
                address,
                generation: found.generation,
                call,
            });
        }
    }

    pub(crate) fn zone(&self) -> &ZoneName {
        &self.setup.candidate.zone
    }
}
