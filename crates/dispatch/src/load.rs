//! Figures for metrics.

use greengage_core::{AccountName, TemplateName};

use crate::dispatch::Dispatch;

/// Tasks of one account and kind of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountLoad {
    /// The account.
    pub account: AccountName,
    /// The kind of work.
    pub work: TemplateName,
    /// Queued tasks.
    pub queued: u32,
    /// Tasks whose attempt isn't settled.
    pub running: u32,
}

impl Dispatch {
    /// Tasks in the queue.
    pub fn queued_tasks(&self) -> u64 {
        self.queued_tasks
    }

    /// Bytes of jobs with tasks in the queue.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Attempts that aren't settled, also those of jobs that ended.
    pub fn running_tasks(&self) -> usize {
        self.attempts.len()
    }

    /// Free slots of executors that take work.
    pub fn free_slots(&self) -> u64 {
        self.targets.free_slots
    }

    /// Jobs that are queued or run.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The load of each account that has any.
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
