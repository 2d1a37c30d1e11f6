//! Value types that every other crate uses: names, ids, time, demands, payloads and outcomes.
//!
//! The crate makes no decisions, does no I/O and reads no clock. Names are shared immutable
//! strings, so a clone only increments a reference count.

mod demand;
mod id;
mod name;
mod outcome;
mod payload;
mod sorted;
mod time;

pub use demand::{Capacity, Demand, Spread, TargetKind};
pub use greengage_derive::value;
pub use id::{
    AttemptId, Digest, Incarnation, Index, JobKey, JobNumber, NodeId, OpId, RequestId, Revision,
    Term, Version,
};
pub use name::{
    AccountName, Address, Name, NameError, RackName, TargetName, TemplateName, VmName, ZoneName,
    MAX_NAME_BYTES,
};
pub use outcome::{Failure, GuardAction, Outcome, Refusal};
pub use payload::Payload;
pub use sorted::SortedMap;
pub use time::{Hlc, Time, WallTime};
