//! The control group: membership without an operator, and what must never be lost or go back.

mod autopilot;
mod faults;
mod support;
