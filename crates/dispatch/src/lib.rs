//! Which task starts where and when: admission, fair queues, placement, retries, cancellation.
//!
//! `Dispatch::step` takes the present time and one event and returns effects. It knows jobs by
//! number and never sees payloads, keys or sockets.

mod event;

pub use event::{
    Admission, Attempt, Effect, Event, Job, Limits, Mode, Placement, Running, Settled, Share,
    TargetSpec, Tuning,
};
