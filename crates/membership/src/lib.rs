//! Which targets may be sent work, and which VMs of the system are alive.

mod event;

pub use event::{
    Announcement, Effect, Event, Limits, Result, Standing, TargetView, VmStatus, VmView,
};
