//! Tests of whole groups of nodes.

mod basic;
mod election;
mod faults;
mod membership;
mod support;
