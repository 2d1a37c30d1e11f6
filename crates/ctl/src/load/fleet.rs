//! The stand-in targets of a run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Report;
use greengage_core::{Capacity, ZoneName};
use greengage_standin::{Behaviour, Calls, Target, TargetSettings};

use super::scenario::Plan;

/// Connections that each target announces.
const CONNECTIONS: u32 = 60;

/// A start that reached a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// Index of the target.
    pub target: usize,
    /// When, from the start of the run.
    pub at: Duration,
    /// Index of the arrival.
    pub arrival: usize,
    /// Index of the task.
    pub task: usize,
    /// Whether the task was run; else the start was refused.
    pub run: bool,
}

/// Running targets.
pub struct Fleet {
    targets: Vec<Target>,
}

impl Fleet {
    /// Starts a plan's targets, spread over the zones; `entries` are the VMs of each zone.
    pub fn start(
        plan: &Plan,
        run: &str,
        zones: &[ZoneName],
        entries: &[Vec<SocketAddr>],
    ) -> Result<Fleet, Report> {
        let work: Vec<&str> = plan.kinds.iter().map(|kind| kind.name).collect();
        let mut targets = Vec::new();
        for (i, machine) in plan.machines.iter().enumerate() {
            let zone = (i / 2) % zones.len();
            let name = format!("{run}-{i}");
            let mut settings =
                TargetSettings::new(&name, zones[zone].as_str(), &work, &entries[zone]);
            settings.speed = machine.speed;
            settings.capacity = Capacity::Executor {
                slots: plan.slots,
                connections: CONNECTIONS,
            };
            if machine.fails {
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
        let mut sum = Calls::default();
        for calls in self.targets.iter().map(Target::calls) {
            sum.starts += calls.starts;
            sum.polls += calls.polls;
            sum.revokes += calls.revokes;
            sum.stops += calls.stops;
            sum.fences += calls.fences;
        }
        sum
    }

    /// All starts that reached the targets, in the order of targets.
    pub fn starts(&self, began: Instant) -> Vec<Started> {
        let mut all = Vec::new();
        for (target, standin) in self.targets.iter().enumerate() {
            for start in standin.starts() {
                let number = |i: usize| start.echo[i].as_u64().map(|n| n as usize);
                if let (Some(arrival), Some(task)) = (number(0), number(1)) {
                    all.push(Started {
                        target,
                        at: start.at.saturating_duration_since(began),
                        arrival,
                        task,
                        run: start.run,
                    });
                }
            }
        }
        all
    }

    /// Waits until no task runs, at most `limit`.
    pub fn settle(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.targets.iter().any(|t| t.running() > 0) {
            if Instant::now() > until {
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
