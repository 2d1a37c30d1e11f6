//! Tests of the control group: automatic membership changes, and durability and consistency of the
//! configuration under faults.

mod autopilot;
mod evacuations;
mod faults;
mod support;
