//! Counts for metrics.

use std::time::Duration;

use greengage_core::{AccountName, JobNumber, TemplateName};

use crate::dispatch::Dispatch;

/// Numbers of tasks of one account and kind of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountLoad {
    /// The account.
    pub account: AccountName,
    /// The kind of work.
    pub work: TemplateName,
    /// Tasks in the queue.
    pub queued: u32,
    /// Tasks with an attempt that hasn't ended.
    pub running: u32,
}

impl Dispatch {
    /// The number of tasks in the queue.
    pub fn queued_tasks(&self) -> u64 {
        self.queued_tasks
    }

    /// The size in bytes of all jobs with a task in the queue.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// The number of attempts that haven't ended, including those of jobs that have.
    pub fn running_tasks(&self) -> usize {
        self.attempts.len()
    }

    /// The number of free slots of executors that accept new tasks.
    pub fn free_slots(&self) -> u64 {
        self.targets.free_slots
    }

    /// The expected run time of one task of a job; zero if the job isn't known.
    pub fn expected_run_time(&self, number: JobNumber) -> Duration {
        let task_us = self
            .jobs
            .find(number)
            .map_or(0, |id| self.jobs.get(id).task_us);
        Duration::from_micros(task_us)
    }

    /// The number of jobs that haven't ended.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The load per account and kind of work, without those that have neither queued nor running
    /// tasks.
    pub fn account_loads(&self) -> Vec<AccountLoad> {
        let mut loads = Vec::new();
        for (work, limits) in self.fair.limits.iter() {
            let busy = limits.iter().filter(|(_, l)| l.queued > 0 || l.running > 0);
            loads.extend(busy.map(|(account, limit)| AccountLoad {
                account: self.accounts.name(account).clone(),
                work: self.works.name(work).0.clone(),
                queued: limit.queued,
                running: limit.running,
            }));
        }
        loads
    }
}
