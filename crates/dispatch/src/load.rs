//! Figures for metrics.

use greengage_core::{AccountName, TemplateName};

use crate::dispatch::Dispatch;
use crate::ids::AccountId;

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
    pub fn accounts(&self) -> Vec<AccountLoad> {
        let busy = |l: &crate::fair::Limit| l.queued > 0 || l.running > 0;
        let limits = self.fair.limits.iter().filter(|(_, l)| busy(l));
        limits
            .map(|((account, work), limit)| AccountLoad {
                account: self.name(*account),
                work: self.kinds.name(work.at()).0.clone(),
                queued: limit.queued,
                running: limit.running,
            })
            .collect()
    }

    fn name(&self, account: AccountId) -> AccountName {
        self.accounts.name(account.at()).clone()
    }
}
