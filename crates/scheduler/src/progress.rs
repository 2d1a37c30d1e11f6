//! What a run's progress tells of its end.
//!
//! Targets list how far each run is, in whole percent rounded down. After some time that bounds
//! from below how long the run takes, whatever its caller declared: a run that can't end before its
//! job is given up is stopped early, so that its room serves others and its caller gets the answer
//! at once.

use std::time::Duration;

use greengage_core::Time;

/// Time of a run that isn't work: the way to the target and its start.
const START_OVERHEAD: Duration = Duration::from_millis(15);
/// The part of the bound, in percent, that is believed while a run has done little, since targets
/// give rough figures and runs may start slowly.
const EARLY_CONFIDENCE_PERCENT: u32 = 75;
/// The same from [`LATE_PROGRESS_PERCENT`] on.
const LATE_CONFIDENCE_PERCENT: u32 = 95;
/// Percent from which the bound is nearly exact.
const LATE_PROGRESS_PERCENT: u32 = 12;
/// No verdict is given before a run is this old.
const MIN_AGE: Duration = Duration::from_millis(60);

/// The earliest end of a run that was sent at `sent` and had done `percent` when it was seen at
/// `observed`; `None` while that tells nothing.
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
