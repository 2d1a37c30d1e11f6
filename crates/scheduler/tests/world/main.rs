//! Several entry VMs and targets in virtual time, with faults.

mod faults;
mod load;
mod support;
