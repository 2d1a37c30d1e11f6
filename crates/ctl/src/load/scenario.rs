//! Scenarios: kinds of work, client accounts, targets and the load over time.
//!
//! The scenarios are scaled down to one machine: about a fifth of a customer's targets, and shorter
//! runs. Loads are relative to the capacity of the targets, so they don't depend on the number of
//! targets.

use clap::ValueEnum;

/// A workload with the targets that serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Bursts of jobs with many parallel tasks, up to twice the capacity.
    Lampang,
    /// Short checks beside long estimates, with reservations that are not repeatable.
    Bigorna,
    /// Half the capacity, to compare response times with the ideal.
    Half,
}

/// The request with which a kind of work is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitMode {
    /// A job, which has a key.
    Job,
    /// A single request without a key, of a repeatable template.
    Repeatable,
    /// A single request with a key, of a template that is not repeatable.
    Keyed,
}

/// The role of a kind of work in measuring how long short tasks wait beside long ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurationClass {
    /// Its waiting time is measured.
    Short,
    /// Left out of the run without long tasks.
    Long,
    /// Offered in both runs, and not measured.
    Other,
}

/// A kind of work, which has a template of its own.
#[derive(Clone, Debug)]
pub struct WorkKind {
    /// Name of the template.
    pub name: &'static str,
    /// Request with which it is submitted.
    pub mode: SubmitMode,
    /// Role in the comparison with and without long tasks.
    pub duration_class: DurationClass,
    /// Share of the offered run time; the shares of all kinds sum to 1.
    pub load_share: f64,
    /// Fewest and most tasks of a submission.
    pub tasks: (u32, u32),
    /// Shortest and longest run time of a task on a target of speed 1, in milliseconds.
    pub service_ms: (u32, u32),
    /// Deadline that the template declares, in milliseconds. An answer is in time if it arrives
    /// within it after the submission was due.
    pub deadline_ms: u64,
    /// Run time of a task that the template declares, in milliseconds.
    pub expected_ms: u64,
}

/// A client account. All accounts of a scenario offer the same load.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Name of the account.
    pub name: &'static str,
    /// Weight in the fair sharing of capacity.
    pub weight: u32,
}

/// A stand-in target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpec {
    /// Speed; run times of tasks are divided by it.
    pub speed: f64,
    /// Whether it fails every task.
    pub fails: bool,
}

/// The workload and the targets of a scenario. Times within a run are fractions of its length.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Kinds of work.
    pub kinds: Vec<WorkKind>,
    /// Client accounts, among which submissions are spread evenly.
    pub accounts: Vec<Account>,
    /// Targets. The last one leaves during the run.
    pub targets: Vec<TargetSpec>,
    /// Tasks that each target runs at once.
    pub slots: u32,
    /// Load over time, as points (time, load relative to the capacity) with linear interpolation
    /// between them.
    pub load_curve: Vec<(f64, f64)>,
    /// Peak intervals (start, end), over which the `crest` figures are computed.
    pub peaks: Vec<(f64, f64)>,
    /// Time of a mass cancellation; `None` for a run without one.
    pub cancel_at: Option<f64>,
    /// Fraction of the tasks that are stragglers.
    pub straggler_ratio: f64,
    /// Time at which the last target announces that it is leaving.
    pub leave_at: f64,
}

/// Run time of a straggler as a multiple of the run time drawn for its task.
pub const STRAGGLER_FACTOR: f64 = 10.0;

impl Plan {
    /// Returns the plan of a scenario.
    pub fn new(scenario: Scenario) -> Plan {
        match scenario {
            Scenario::Lampang => lampang(),
            Scenario::Bigorna => bigorna(),
            Scenario::Half => half(),
        }
    }

    /// Returns the plan without the long kinds of work; the other kinds keep their load.
    pub fn without_long(&self) -> Plan {
        let mut plan = self.clone();
        plan.kinds
            .iter_mut()
            .filter(|kind| kind.duration_class == DurationClass::Long)
            .for_each(|kind| kind.load_share = 0.0);
        plan
    }

    /// Run time on a target of speed 1 that all targets complete per second, in seconds. Targets
    /// that fail every task don't count.
    pub fn capacity(&self) -> f64 {
        let working = self.targets.iter().filter(|t| !t.fails);
        working.map(|t| t.speed * f64::from(self.slots)).sum()
    }

    /// The mean speed of the targets that don't fail every task.
    pub fn mean_speed(&self) -> f64 {
        let working = self.targets.iter().filter(|t| !t.fails).count();
        self.capacity() / (working as f64 * f64::from(self.slots))
    }

    /// The load at a time of the run, relative to the capacity.
    pub fn load_at(&self, fraction: f64) -> f64 {
        let mut previous = self.load_curve[0];
        for &point in &self.load_curve {
            if fraction < point.0 {
                let progress = (fraction - previous.0) / (point.0 - previous.0);
                return previous.1 + progress * (point.1 - previous.1);
            }
            previous = point;
        }
        previous.1
    }

    /// Whether a time of the run lies in a peak interval.
    pub fn in_peak(&self, fraction: f64) -> bool {
        self.peaks.iter().any(|p| fraction >= p.0 && fraction < p.1)
    }
}

fn job_kind(name: &'static str, tasks: (u32, u32), service_ms: (u32, u32)) -> WorkKind {
    WorkKind {
        name,
        mode: SubmitMode::Job,
        duration_class: DurationClass::Other,
        load_share: 0.25,
        tasks,
        service_ms,
        deadline_ms: 5000,
        expected_ms: u64::from(service_ms.0 + service_ms.1) / 2,
    }
}

/// Returns `count` targets with speeds evenly spaced on a logarithmic scale from `1 / max_speed` to
/// `max_speed`. Slow and fast ones alternate, and targets are assigned to zones in pairs, so each
/// zone has about the same capacity.
fn log_spaced_targets(count: usize, max_speed: f64) -> Vec<TargetSpec> {
    let mut targets = Vec::new();
    for i in 0..count {
        let rank = if i % 2 == 0 { i / 2 } else { count - 1 - i / 2 };
        let exponent = 2.0 * rank as f64 / (count - 1) as f64 - 1.0;
        targets.push(TargetSpec {
            speed: max_speed.powf(exponent),
            fails: false,
        });
    }
    targets
}

fn lampang() -> Plan {
    Plan {
        kinds: vec![
            // The more tasks a job may have, the shorter they are.
            job_kind("fares", (1, 40), (50, 100)),
            job_kind("seats", (1, 24), (100, 250)),
            job_kind("routes", (1, 12), (250, 500)),
            job_kind("packages", (1, 6), (500, 1000)),
        ],
        accounts: vec![
            Account {
                name: "chiang",
                weight: 1,
            },
            Account {
                name: "phayao",
                weight: 2,
            },
            Account {
                name: "nan",
                weight: 4,
            },
        ],
        targets: log_spaced_targets(12, 2.0),
        slots: 8,
        load_curve: vec![
            (0.0, 0.4),
            (0.15, 0.4),
            (0.2, 2.0),
            (0.45, 2.0),
            (0.48, 0.4),
            (0.6, 0.4),
            (0.63, 2.0),
            (0.78, 2.0),
            (0.81, 0.4),
            (1.0, 0.4),
        ],
        peaks: vec![(0.2, 0.45), (0.63, 0.78)],
        cancel_at: Some(0.35),
        straggler_ratio: 0.01,
        leave_at: 0.7,
    }
}

fn bigorna() -> Plan {
    let mut targets = log_spaced_targets(8, 1.25);
    let slow = TargetSpec {
        speed: 0.2,
        fails: false,
    };
    let failing = TargetSpec {
        speed: 1.0,
        fails: true,
    };
    // The faulty targets come first: the last target leaves, and these stay for the whole run.
    targets.splice(0..0, [slow, failing]);
    let single =
        |name, mode, duration_class, load_share, service_ms: (u32, u32), deadline_ms| WorkKind {
            name,
            mode,
            duration_class,
            load_share,
            tasks: (1, 1),
            service_ms,
            deadline_ms,
            expected_ms: u64::from(service_ms.0 + service_ms.1) / 2,
        };
    Plan {
        kinds: vec![
            single(
                "availability",
                SubmitMode::Repeatable,
                DurationClass::Short,
                0.15,
                (20, 20),
                2000,
            ),
            single(
                "estimate",
                SubmitMode::Repeatable,
                DurationClass::Long,
                0.8,
                (1000, 5000),
                30_000,
            ),
            single(
                "reservation",
                SubmitMode::Keyed,
                DurationClass::Other,
                0.05,
                (100, 200),
                5000,
            ),
        ],
        accounts: vec![
            Account {
                name: "portal",
                weight: 1,
            },
            Account {
                name: "agency",
                weight: 1,
            },
        ],
        targets,
        slots: 8,
        // Above the capacity, so that long tasks always wait for slots.
        load_curve: vec![(0.0, 1.1), (1.0, 1.1)],
        peaks: Vec::new(),
        cancel_at: None,
        straggler_ratio: 0.0,
        leave_at: 0.8,
    }
}

fn half() -> Plan {
    let kind = |name, mode| WorkKind {
        name,
        mode,
        duration_class: DurationClass::Other,
        load_share: 0.5,
        tasks: (1, 1),
        service_ms: (100, 100),
        deadline_ms: 5000,
        expected_ms: 100,
    };
    Plan {
        kinds: vec![
            kind("repeatable", SubmitMode::Repeatable),
            kind("recorded", SubmitMode::Job),
        ],
        accounts: vec![Account {
            name: "desk",
            weight: 1,
        }],
        // The ideal response time assumes the mean speed. With different speeds the fastest targets
        // would be faster than the ideal and would hide the overhead of the system.
        targets: vec![
            TargetSpec {
                speed: 1.0,
                fails: false
            };
            8
        ],
        slots: 8,
        load_curve: vec![(0.0, 0.5), (1.0, 0.5)],
        peaks: Vec::new(),
        cancel_at: None,
        straggler_ratio: 0.0,
        leave_at: 0.9,
    }
}
