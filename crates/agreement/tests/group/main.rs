//! Tests of a single node and of simulated groups.

mod basic;
mod election;
mod faults;
mod membership;
mod node;
mod support;
mod traffic;
mod transfer;
mod witness;
