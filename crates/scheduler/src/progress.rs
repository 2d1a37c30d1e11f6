//! Lower bound on the end of a run, from its progress.
//!
//! Targets list the progress of each run in whole percent, rounded down. After some time this is a
//! lower bound on the run time, whatever the caller declared. A run that can't end before its job's
//! deadline is stopped early, which frees its resources and lets the caller have its answer at
//! once.

use std::time::Duration;

use greengage_core::Time;

/// Part of a run's age that isn't work: the trip to the target and the start.
const START_OVERHEAD: Duration = Duration::from_millis(15);
/// Percentage of the bound that is used at little progress, since targets report rough figures and
/// runs may start slowly.
const EARLY_CONFIDENCE_PERCENT: u32 = 75;
/// Like `EARLY_CONFIDENCE_PERCENT`, from [`LATE_PROGRESS_PERCENT`] on.
const LATE_CONFIDENCE_PERCENT: u32 = 95;
/// Progress from which the bound is nearly exact.
const LATE_PROGRESS_PERCENT: u32 = 12;
/// Age of a run before which there is no bound.
const MIN_AGE: Duration = Duration::from_millis(60);

/// Earliest end of a run that was sent at `sent` and had done `percent` at `observed`; `None` while
/// the run is too young to tell.
pub fn earliest_end(sent: Time, observed: Time, percent: u32) -> Option<Time> {
    let age = observed.since(sent);
    if age < MIN_AGE {
        return None;
    }
    let worked = age.saturating_sub(START_OVERHEAD);
    let total = worked * 100 / (percent + 1);
    let confidence = match percent < LATE_PROGRESS_PERCENT {
        true => EARLY_CONFIDENCE_PERCENT,
        false => LATE_CONFIDENCE_PERCENT,
    };
    Some(sent + total * confidence / 100)
}
