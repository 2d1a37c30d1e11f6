//! Scheduling of tasks on targets: admission, fair queueing, placement, retries, cancellation.
//!
//! `Dispatch::step` takes the current time and one event and returns effects. It identifies jobs
//! by number and never sees payloads, keys or sockets. `Dispatch::admit` decides whether a job is
//! accepted, and `Dispatch::next_wake` returns the time at which the next `Event::Tick` is due.
//!
//! - `event`: inputs, outputs and tuning.
//! - `dispatch`: the state machine, which composes the other modules.
//! - `jobs`: jobs and the state of their tasks; `queue`: the order of jobs in one lane.
//! - `fair`: accounts, their limits and shares; `pools`: kinds of work that share targets.
//! - `targets`: capacities, grants and the index of free targets; `placement`: the choice
//!   of a target; `reserve`: capacity reserved for short work.
//! - `estimate`: run times; `admission`: expected completion times; `budget`: retries.
//! - `timers`: deadlines and backoff; `load`: counts for metrics; `verify`: checks of all counters.

mod admission;
mod budget;
mod dispatch;
mod estimate;
mod event;
mod fair;
mod ids;
mod jobs;
mod load;
mod placement;
mod pools;
mod queue;
mod reserve;
mod targets;
mod timers;
mod verify;

pub use dispatch::Dispatch;
pub use event::{
    Admission, Attempt, AttemptOutcome, Effect, Event, Job, JobMode, Limits, Placement,
    RunningAttempt, Share, TargetSpec, Tuning,
};
pub use load::AccountLoad;
