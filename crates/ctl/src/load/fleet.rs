//! The stand-in targets of a run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Report;
use greengage_core::{Capacity, ZoneName};
use greengage_standin::{Behaviour, Calls, Target, TargetSettings};

use super::scenario::Plan;

/// Limit of connections that each target announces.
const CONNECTIONS_PER_TARGET: u32 = 60;

/// A request to start a task that a target received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// Index of the target in the plan.
    pub target: usize,
    /// Time of receipt, from the start of the run; zero if earlier.
    pub received_at: Duration,
    /// Index of the arrival in the schedule.
    pub arrival: usize,
    /// Index of the task in the arrival.
    pub task: usize,
    /// Whether the target ran the task; otherwise it refused the start.
    pub accepted: bool,
}

/// The running stand-in targets of a plan, in the order of the plan.
pub struct Fleet {
    targets: Vec<Target>,
}

impl Fleet {
    /// Starts a plan's targets, assigned to the zones in pairs. `entries` holds the addresses of
    /// the VMs of each zone.
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

    /// Names of the targets, in the order of the plan.
    pub fn names(&self) -> Vec<&str> {
        self.targets.iter().map(|t| t.name().as_str()).collect()
    }

    /// Makes the last target announce that it is leaving.
    pub fn leave_last(&self) {
        if let Some(target) = self.targets.last() {
            target.leave();
        }
    }

    /// Sums the calls that the targets received, by kind.
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

    /// Returns the starts that the targets received, grouped by target. Tasks without a tag of the
    /// load generator are left out.
    pub fn starts(&self, run_start: Instant) -> Vec<StartRecord> {
        let mut records = Vec::new();
        for (target, standin) in self.targets.iter().enumerate() {
            for start in standin.starts() {
                let index = |i: usize| start.echo[i].as_u64().map(|n| n as usize);
                if let (Some(arrival), Some(task)) = (index(0), index(1)) {
                    records.push(StartRecord {
                        target,
                        received_at: start.received_at.saturating_duration_since(run_start),
                        arrival,
                        task,
                        accepted: start.executed,
                    });
                }
            }
        }
        records
    }

    /// Waits until no task runs. Returns `false` if one still runs after `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.targets.iter().any(|t| t.running_tasks() > 0) {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Makes all targets announce that they are leaving, then deregisters and stops each.
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
