//! Tests of one node and of whole groups.

mod basic;
mod election;
mod faults;
mod membership;
mod node;
mod support;
mod traffic;
mod transfer;
mod witness;
