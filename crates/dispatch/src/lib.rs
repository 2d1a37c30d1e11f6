//! Which task starts where and when: admission, fair queues, placement, retries, cancellation.
//!
//! `Dispatch::step` takes the present time and one event and returns effects. It knows jobs by
//! number and never sees payloads, keys or sockets. `Dispatch::admit` answers whether a job may
//! join, `Dispatch::wake` names the next time at which `Event::Tick` is due.
//!
//! - `event`: inputs, outputs and tuning.
//! - `dispatch`: the state machine, which composes the others.
//! - `jobs`: jobs and which of their tasks were started; `queue`: their order in one lane.
//! - `fair`: accounts, their limits and shares; `pools`: which kinds of work compete.
//! - `targets`: capacities, grants and the index of free targets; `placement`: the choice;
//!   `reserve`: slots kept for short work.
//! - `estimate`: run times; `admission`: expected ends; `budget`: retries; `timers`: deadlines.
//! - `load`: figures for metrics; `verify`: checks of all counters.

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
    Admission, Attempt, Effect, Event, Job, Limits, Mode, Placement, Running, Settled, Share,
    TargetSpec, Tuning,
};
pub use load::AccountLoad;
