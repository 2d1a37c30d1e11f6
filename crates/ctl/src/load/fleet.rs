//! The stand-in targets of a run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Report;
use greengage_core::{Capacity, ZoneName};
use greengage_standin::{Behaviour, Calls, Target, TargetSettings};

use super::scenario::Plan;

/// Connections that each target announces.
const CONNECTIONS_PER_TARGET: u32 = 60;

/// A start that reached a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// Index of the target.
    pub target: usize,
    /// When, from the start of the run.
    pub received_at: Duration,
    /// Index of the arrival.
    pub arrival: usize,
    /// Index of the task.
    pub task: usize,
    /// Whether the task was run; else the start was refused.
    pub accepted: bool,
}

/// Running targets.
pub struct Fleet {
    targets: Vec<Target>,
}

impl Fleet {
    /// Starts a plan's targets, spread over the zones; `entries` are the VMs of each zone.
    pub fn start(
        plan: &Plan,
        run_id: &str,
        zones: &[ZoneName],
        entries: &[Vec<SocketAddr>],
    ) -> Result<Fleet, Report> {
        let work: Vec<&str> = plan.kinds.iter().map(|kind| kind.name).collect();
        let mut targets = Vec::new();
        for (i, spec) in plan.targets.iter().enumerate() {
            let zone = (i / 2) % zones.len();
            let name = format!("{run_id}-{i}");
            let mut settings =
                TargetSettings::new(&name, zones[zone].as_str(), &work, &entries[zone]);
            settings.speed = spec.speed;
            settings.capacity = Capacity::Executor {
                slots: plan.slots,
                connections: CONNECTIONS_PER_TARGET,
            };
            if spec.fails {
                settings.behaviour = Behaviour::Fail;
            }
            targets.push(Target::start(settings)?);
        }
        Ok(Fleet { targets })
    }

    /// The names of the targets.
    pub fn names(&self) -> Vec<&str> {
        self.targets.iter().map(|t| t.name().as_str()).collect()
    }

    /// The last target announces that it is leaving.
    pub fn leave_last(&self) {
        if let Some(target) = self.targets.last() {
            target.leave();
        }
    }

    /// All calls that the targets received.
    pub fn calls(&self) -> Calls {
        let mut total = Calls::default();
        for calls in self.targets.iter().map(Target::calls) {
            total.starts += calls.starts;
            total.polls += calls.polls;
            total.revokes += calls.revokes;
            total.stops += calls.stops;
            total.fences += calls.fences;
        }
        total
    }

    /// All starts that reached the targets, in the order of targets.
    pub fn starts(&self, run_start: Instant) -> Vec<StartRecord> {
        let mut records = Vec::new();
        for (target, standin) in self.targets.iter().enumerate() {
            for start in standin.starts() {
                let index = |i: usize| start.echo[i].as_u64().map(|n| n as usize);
                if let (Some(arrival), Some(task)) = (index(0), index(1)) {
                    records.push(StartRecord {
                        target,
                        received_at: start.at.saturating_duration_since(run_start),
                        arrival,
                        task,
                        accepted: start.run,
                    });
                }
            }
        }
        records
    }

    /// Waits until no task runs, at most `limit`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.targets.iter().any(|t| t.running() > 0) {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Leaves, deregisters and stops all targets.
    pub fn stop(self) {
        for target in &self.targets {
            target.leave();
        }
        for target in self.targets {
            target.deregister();
            target.stop();
        }
    }
}
