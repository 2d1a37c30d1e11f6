//! How much of its demand each queue and priority was served.
//!
//! In lasting overload each priority is served nearly the same part of its demand, a higher one
//! more. Among the queues of one priority, the one that was admitted most work gives way, so that
//! a queue that offers more doesn't take the share of another one. Demand counts only as far as it
//! is usual: a burst of one priority doesn't raise its share at once.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::{SortedMap, Time};

use crate::window::Windows;

/// Window of recent work: several times as long as jobs wait.
const RECENT_SPAN: Duration = Duration::from_secs(1);
/// Window of usual work: longer than most bursts.
const USUAL_SPAN: Duration = Duration::from_secs(10);

/// Part of its demand that a priority is served in comparison with the highest one, in percent.
const PREFERENCE_PERCENT: [u32; 3] = [100, 97, 94];

/// Limit on the work of one record, so that sums don't overflow.
const MAX_RECORD: Duration = Duration::from_secs(1 << 20);

/// Work of a queue, in microseconds.
#[derive(Default)]
struct Flow {
    priority: u32,
    offered: Windows<u64>,
    usual: Windows<u64>,
    admitted: Windows<u64>,
}

/// Offered and admitted work by queue.
#[derive(Default)]
pub struct Shares {
    flows: SortedMap<Arc<str>, Flow>,
}

fn micros(work: Duration) -> u64 {
    work.min(MAX_RECORD).as_micros() as u64
}

fn rate(windows: &Windows<u64>, now: Time, span: Duration) -> f64 {
    windows.rate(now, span, windows.values().into_iter().sum())
}

impl Shares {
    /// Counts the work of an admitted job.
    pub fn record_admission(&mut self, now: Time, queue: &Arc<str>, priority: u32, work: Duration) {
        let flow = self.flows.get_or_insert_with(queue.clone(), Flow::default);
        flow.priority = priority;
        *flow.offered.record(now, RECENT_SPAN) += micros(work);
        *flow.usual.record(now, USUAL_SPAN) += micros(work);
        *flow.admitted.record(now, RECENT_SPAN) += micros(work);
    }

    /// Takes back the admission of a job that got no room.
    pub fn record_refusal(&mut self, now: Time, queue: &str, work: Duration) {
        if let Some(flow) = self.flows.get_mut(queue) {
            let admitted = flow.admitted.record(now, RECENT_SPAN);
            *admitted = admitted.saturating_sub(micros(work));
        }
    }

    /// Removes the queues that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.flows.retain(|queue, _| keep(queue));
    }

    /// Work of a queue that was admitted recently, in cores.
    pub fn admitted(&self, now: Time, queue: &str) -> f64 {
        let flow = self.flows.get(queue);
        flow.map_or(0.0, |flow| rate(&flow.admitted, now, RECENT_SPAN))
    }

    /// Part of its usual demand that a priority was admitted recently, divided by its preference.
    /// The priority with the highest quotient gives way first.
    pub fn quotient(&self, now: Time, priority: u32) -> f64 {
        let (mut offered, mut usual, mut admitted) = (0.0, 0.0, 0.0);
        for flow in self.flows.values().filter(|f| f.priority == priority) {
            offered += rate(&flow.offered, now, RECENT_SPAN);
            usual += rate(&flow.usual, now, USUAL_SPAN);
            admitted += rate(&flow.admitted, now, RECENT_SPAN);
        }
        let demand = f64::min(offered, usual);
        if demand <= 0.0 {
            return 0.0;
        }
        let level = (priority as usize).min(PREFERENCE_PERCENT.len() - 1);
        admitted / demand * 100.0 / f64::from(PREFERENCE_PERCENT[level])
    }
}
