//! Recovery by a new leader of the jobs that an earlier leader began.
//!
//! An earlier leader can only have sent starts to target incarnations that the ledger registers.
//! Each of them is fenced: from its answer on it refuses starts of lower terms, and the answer
//! lists the attempts that it knows. Once all have answered, a task that none of them knows was
//! never started and never will be by an earlier leader, so it may be started now. If one can't
//! answer, such a task may have run there, and its job fails.

use std::collections::BTreeMap;

use greengage_core::{
    AttemptId, Failure, Incarnation, JobNumber, Outcome, SortedMap, TargetName, Time,
};
use greengage_dispatch as dispatch;
use greengage_dispatch::{Attempt, JobMode, RunningAttempt};
use greengage_ledger::{Command, Stage};

use super::requests::job_spec;
use super::{ActiveJob, Context, JobStage, Zone};
use crate::call::AttemptState;

/// State of a recovery, from the start of a leader until all begun jobs are resolved.
pub(crate) struct Recovery {
    /// Registered target incarnations that have not answered their fence.
    unanswered: SortedMap<(TargetName, Incarnation), ()>,
    /// Whether a registered incarnation is lost, so that an unknown task may have run.
    any_lost: bool,
    /// Attempts that the targets know, by job.
    attempts: BTreeMap<JobNumber, Vec<FoundAttempt>>,
    /// Incarnations to deregister once the jobs are resolved.
    to_deregister: Vec<(TargetName, Incarnation)>,
    /// When targets that have not answered count as lost.
    deadline: Time,
}

/// An attempt that a target knows.
struct FoundAttempt {
    id: AttemptId,
    target: TargetName,
    incarnation: Incarnation,
    state: AttemptState,
}

impl Zone {
    /// Loads the open submissions of the ledger and starts the recovery of begun ones.
    pub(crate) fn load_open_jobs(&mut self, cx: &mut Context<'_>) {
        let open: Vec<_> = cx
            .ledger
            .open()
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect();
        for (key, entry) in open {
            let submission = entry.submission.expect("an open entry has its content");
            let resolved = cx.policy.resolve(&submission.template, &submission.account);
            let begun = matches!(entry.stage, Stage::Begun);
            let resolved = match resolved {
                Ok(resolved) => resolved,
                Err(_) => {
                    // The template was removed after the submission was accepted.
                    let failure = match begun {
                        true => Failure::MayHaveRun {
                            task: 0,
                            target: None,
                        },
                        false => Failure::NoTarget,
                    };
                    let outcome = Outcome::Failed(failure).into();
                    self.propose(cx, Command::Close { key, outcome });
                    continue;
                }
            };
            let number = self.next_job();
            let mut spec = job_spec(number, &submission, &resolved, cx.now);
            spec.mode = JobMode::Recorded { begun };
            self.insert_job(ActiveJob {
                key,
                caller: None,
                digest: entry.digest,
                results: vec![None; submission.tasks.len()],
                submission,
                values: resolved.values,
                stage: match begun {
                    true => JobStage::Recovering,
                    false => JobStage::Queued,
                },
                spec: spec.clone(),
                cancel_requested: false,
                ran_on: Vec::new(),
            });
            if !begun {
                self.dispatch_step(cx, dispatch::Event::Submit(spec));
            }
        }
        let deadline = cx.now.time + self.limits.fence_timeout;
        self.recovery = Some(Recovery {
            unanswered: cx
                .ledger
                .registered_incarnations()
                .map(|(target, incarnation)| ((target.clone(), incarnation), ()))
                .collect(),
            any_lost: false,
            attempts: BTreeMap::new(),
            to_deregister: Vec::new(),
            deadline,
        });
        self.set_recovery_timer(deadline);
    }

    /// Handles a target's answer to a fence.
    pub(crate) fn fence_answered(
        &mut self,
        cx: &mut Context<'_>,
        target: &TargetName,
        incarnation: Incarnation,
        attempts: Vec<(AttemptId, AttemptState)>,
    ) {
        let mut unknown_attempts = Vec::new();
        for (id, state) in attempts {
            let number = self.keys.get(&id.key).copied();
            let recovering = number
                .is_some_and(|number| self.active_jobs[&number].stage == JobStage::Recovering);
            match (&mut self.recovery, number) {
                (Some(recovery), Some(number)) if recovering => {
                    recovery
                        .attempts
                        .entry(number)
                        .or_default()
                        .push(FoundAttempt {
                            id,
                            target: target.clone(),
                            incarnation,
                            state,
                        });
                }
                _ if matches!(state, AttemptState::Running) => unknown_attempts.push(id),
                _ => {}
            }
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.unanswered.remove(&(target.clone(), incarnation));
        }
        for id in unknown_attempts {
            self.stop_unknown_attempt(cx, target, id);
        }
    }

    /// Records that a registered incarnation can't answer its fence.
    pub(crate) fn fence_failed(&mut self, target: &TargetName, incarnation: Incarnation) {
        if let Some(recovery) = &mut self.recovery {
            let key = (target.clone(), incarnation);
            if recovery.unanswered.remove(&key).is_some() {
                recovery.any_lost = true;
            }
        }
    }

    /// Deregisters earlier incarnations of a target that runs under a later one.
    pub(crate) fn deregister_earlier(
        &mut self,
        cx: &mut Context<'_>,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        if self.recovery.is_none() {
            return;
        }
        let earlier: Vec<Incarnation> = cx
            .ledger
            .registered_incarnations()
            .filter(|(known, old)| *known == target && *old < incarnation)
            .map(|(_, old)| old)
            .collect();
        for old in earlier {
            self.fence_failed(target, old);
            self.deregister(cx, target.clone(), old);
        }
    }

    /// Deregisters a lost incarnation after the jobs that it may have run are closed. Until then
    /// the next leader must know that the incarnation can't be asked any more.
    pub(crate) fn deregister(
        &mut self,
        cx: &mut Context<'_>,
        target: TargetName,
        incarnation: Incarnation,
    ) {
        match &mut self.recovery {
            Some(recovery) => recovery.to_deregister.push((target, incarnation)),
            None if self
                .dependent_jobs
                .contains_key(&(target.clone(), incarnation)) =>
            {
                self.lost_incarnations.insert((target, incarnation));
            }
            None => {
                let key = (target.clone(), incarnation);
                *self.pending_deregistrations.entry(key).or_default() += 1;
                let command = Command::Deregister {
                    target,
                    incarnation,
                };
                self.propose(cx, command);
            }
        }
    }

    /// Whether the ledger registers an incarnation and will keep it; cancels a deregistration that
    /// is not proposed yet.
    pub(super) fn stays_registered(
        &mut self,
        cx: &Context<'_>,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> bool {
        let key = (target.clone(), incarnation);
        self.lost_incarnations.remove(&key);
        if let Some(recovery) = &mut self.recovery {
            recovery.to_deregister.retain(|gone| *gone != key);
        }
        let mut all = cx.ledger.registered_incarnations();
        !self.pending_deregistrations.contains_key(&key)
            && all.any(|known| known == (target, incarnation))
    }

    /// Handles an applied deregistration.
    pub(super) fn apply_deregister(&mut self, target: &TargetName, incarnation: Incarnation) {
        let key = (target.clone(), incarnation);
        if let Some(count) = self.pending_deregistrations.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.pending_deregistrations.remove(&key);
            }
        }
        let same_incarnation = |entry: &super::TargetState| {
            entry.registered && entry.announcement.incarnation == incarnation
        };
        let used = self.targets.get(target).is_some_and(same_incarnation);
        assert!(!used, "a target that gets starts stays registered");
    }

    /// Records that a task of a recorded job ended on an incarnation.
    pub(super) fn add_dependent(
        &mut self,
        number: JobNumber,
        target: &TargetName,
        incarnation: Incarnation,
    ) {
        let key = (target.clone(), incarnation);
        let recorded =
            |job: &&mut ActiveJob| job.caller.is_none() && job.stage != JobStage::Closing;
        if let Some(job) = self.active_jobs.get_mut(&number).filter(recorded) {
            if !job.ran_on.contains(&key) {
                job.ran_on.push(key.clone());
                *self.dependent_jobs.entry(key).or_default() += 1;
            }
        }
    }

    /// Deregisters lost incarnations that no job needs any more, since the close of the last one is
    /// proposed.
    pub(super) fn release_incarnations(
        &mut self,
        cx: &mut Context<'_>,
        ran_on: Vec<(TargetName, Incarnation)>,
    ) {
        for key in ran_on {
            let dependent_jobs = self
                .dependent_jobs
                .get_mut(&key)
                .expect("counted by `add_dependent`");
            *dependent_jobs -= 1;
            if *dependent_jobs == 0 {
                self.dependent_jobs.remove(&key);
                if self.lost_incarnations.remove(&key) {
                    self.deregister(cx, key.0, key.1);
                }
            }
        }
    }

    /// Stops waiting for targets that have not answered.
    pub(crate) fn recovery_due(&mut self, cx: &mut Context<'_>) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if cx.now.time < recovery.deadline {
            return;
        }
        for (key, ()) in std::mem::take(&mut recovery.unanswered) {
            recovery.any_lost = true;
            // A target that still announces itself may answer later and then gets starts.
            let same_incarnation =
                |entry: &super::TargetState| entry.announcement.incarnation == key.1;
            if !self.targets.get(&key.0).is_some_and(same_incarnation) {
                recovery.to_deregister.push(key);
            }
        }
        self.check_recovery(cx);
    }

    /// Resolves the begun jobs once every registered incarnation has answered or is lost.
    pub(crate) fn check_recovery(&mut self, cx: &mut Context<'_>) {
        let answered = |recovery: &Recovery| recovery.unanswered.is_empty();
        if !self.recovery.as_ref().is_some_and(answered) {
            return;
        }
        let mut recovery = self.recovery.take().expect("checked above");
        let jobs: Vec<JobNumber> = self
            .active_jobs
            .iter()
            .filter(|(_, job)| job.stage == JobStage::Recovering)
            .map(|(number, _)| *number)
            .collect();
        for number in jobs {
            let found = recovery.attempts.remove(&number).unwrap_or_default();
            self.resolve(cx, number, found, recovery.any_lost);
        }
        for (target, incarnation) in recovery.to_deregister {
            self.deregister(cx, target, incarnation);
        }
    }

    /// Resolves one begun job from the attempts that the targets know.
    fn resolve(
        &mut self,
        cx: &mut Context<'_>,
        number: JobNumber,
        found: Vec<FoundAttempt>,
        any_lost: bool,
    ) {
        let job = self
            .active_jobs
            .get_mut(&number)
            .expect("listed by the caller");
        let tasks = job.submission.tasks.len() as u32;
        let mut best: Vec<Option<FoundAttempt>> = (0..tasks).map(|_| None).collect();
        for item in found {
            if item.id.task < tasks {
                let key = &mut best[item.id.task as usize];
                if key
                    .as_ref()
                    .is_none_or(|old| certainty(&old.state) < certainty(&item.state))
                {
                    *key = Some(item);
                }
            }
        }
        let mut done = Vec::new();
        let mut ended = Vec::new();
        let mut running = Vec::new();
        let mut failure = None;
        for (task, item) in best.into_iter().enumerate() {
            let task = task as u32;
            let Some(item) = item else {
                if any_lost {
                    failure.get_or_insert(Failure::MayHaveRun { task, target: None });
                }
                continue;
            };
            match item.state {
                AttemptState::Done { result, .. } => {
                    job.results[task as usize] = Some(result);
                    done.push(task);
                    ended.push((item.target, item.incarnation));
                }
                AttemptState::Running
                | AttemptState::Guard(greengage_core::GuardAction::Throttled) => {
                    let attempt = Attempt {
                        job: number,
                        task,
                        number: item.id.number,
                    };
                    running.push(RunningAttempt {
                        attempt,
                        target: item.target,
                    });
                }
                AttemptState::Failed { message } => {
                    failure.get_or_insert(Failure::TaskFailed { task, message });
                }
                AttemptState::Guard(action) => {
                    failure.get_or_insert(Failure::Guard { task, action });
                }
                AttemptState::Never => {
                    if any_lost {
                        failure.get_or_insert(Failure::MayHaveRun { task, target: None });
                    }
                }
            }
        }
        job.stage = JobStage::Begun;
        let spec = job.spec.clone();
        for (target, incarnation) in ended {
            self.add_dependent(number, &target, incarnation);
        }
        if let Some(failure) = failure {
            for item in running {
                let id = AttemptId {
                    key: self.active_jobs[&number].key.clone(),
                    task: item.attempt.task,
                    number: item.attempt.number,
                };
                self.stop_unknown_attempt(cx, &item.target, id);
            }
            return self.close(cx, number, Outcome::Failed(failure));
        }
        // A target that answered and then left is no longer known; its attempts are lost.
        let (followed, lost): (Vec<RunningAttempt>, Vec<RunningAttempt>) = running
            .into_iter()
            .partition(|item| self.targets.contains(&item.target));
        if let Some(item) = lost.first() {
            let failure = Failure::MayHaveRun {
                task: item.attempt.task,
                target: Some(item.target.clone()),
            };
            return self.close(cx, number, Outcome::Failed(failure));
        }
        for item in &followed {
            self.adopt(cx, item.attempt, &item.target);
        }
        self.dispatch_step(
            cx,
            dispatch::Event::Adopt {
                job: spec,
                done,
                running: followed,
            },
        );
    }
}

/// How much an answer about an attempt shows. A task may have been refused on one target and run on
/// another, so the most certain answer is used.
fn certainty(state: &AttemptState) -> u8 {
    match state {
        AttemptState::Never => 0,
        AttemptState::Failed { .. } | AttemptState::Guard(_) => 1,
        AttemptState::Running => 2,
        AttemptState::Done { .. } => 3,
    }
}
