//! System tests: the daemon as separate processes, with injected failures.

mod edits;
mod folder;
mod harness;
mod jobs;
mod leader;
mod network;
mod relay;
mod serve;
mod settings;
mod targets;

/// Name, zone and roles of each VM; the group of `north` has two voters and a witness.
pub(crate) const THREE_VMS: [(&str, &str, &str); 3] = [
    ("north-1", "north", "control+ledger"),
    ("north-2", "north", "control+ledger"),
    ("south-1", "south", "control+ledger+witness:north"),
];
/// Name, zone and roles of each VM; the group of either zone has two voters and a witness.
pub(crate) const FOUR_VMS: [(&str, &str, &str); 4] = [
    ("north-1", "north", "control+ledger+witness:south"),
    ("north-2", "north", "control+ledger"),
    ("south-1", "south", "control+ledger+witness:north"),
    ("south-2", "south", "ledger"),
];
