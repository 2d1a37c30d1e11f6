//! Simulation of several entry VMs and targets in virtual time, with faults.

mod answers;
mod callers;
mod cancel;
mod evacuations;
mod faults;
mod load;
mod lost_targets;
mod owners;
mod pauses;
mod refusals;
mod shutdown;
mod support;
mod targets;
