//! What each scenario offers: kinds of work, client accounts, targets and the shape of the load.
//!
//! The scenarios are scaled to one machine: about a fifth of the targets of a customer, with
//! shorter runs. Loads are relative to the capacity of the targets, so they don't depend on the
//! number of targets.

use clap::ValueEnum;

/// The scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Bursts of parallel jobs up to twice the capacity.
    Lampang,
    /// Short checks beside long estimates, and reservations that aren't repeatable.
    Bigorna,
    /// Half the capacity, for response time over the ideal.
    Half,
}

/// How work is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitMode {
    /// A job with a key.
    Job,
    /// A single request without a key.
    Repeatable,
    /// A single request with a key.
    Keyed,
}

/// The part that a kind of work has in the wait of short tasks beside long ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DurationClass {
    /// Its wait is measured.
    Short,
    /// It is left out of the run without long tasks.
    Long,
    /// Neither.
    Other,
}

/// A kind of work.
#[derive(Clone, Debug)]
pub struct WorkKind {
    /// The template.
    pub name: &'static str,
    /// How it is submitted.
    pub mode: SubmitMode,
    /// Whether it is short or long beside others.
    pub duration_class: DurationClass,
    /// Its part of the load, of all kinds together 1.
    pub load_share: f64,
    /// Least and most tasks of a job.
    pub tasks: (u32, u32),
    /// Least and most run time of a task on a target of speed 1, in milliseconds.
    pub service_ms: (u32, u32),
    /// From the scheduled time to the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Run time that the template declares, in milliseconds.
    pub expected_ms: u64,
}

/// A client account; all of them offer the same load.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Its name.
    pub name: &'static str,
    /// Its weight.
    pub weight: u32,
}

/// A target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpec {
    /// How fast it is; tasks take their time divided by this.
    pub speed: f64,
    /// Whether it fails each task.
    pub fails: bool,
}

/// What a scenario offers, and to which targets.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Kinds of work.
    pub kinds: Vec<WorkKind>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Targets.
    pub targets: Vec<TargetSpec>,
    /// Slots of each target.
    pub slots: u32,
    /// Load over the run, as points (part of the run, load relative to the capacity) between which
    /// it is interpolated.
    pub load_curve: Vec<(f64, f64)>,
    /// Parts of the run that count as its crest.
    pub peaks: Vec<(f64, f64)>,
    /// When a wave of cancellations is sent, as a part of the run.
    pub cancel_at: Option<f64>,
    /// Part of the tasks that straggle.
    pub straggler_ratio: f64,
    /// When the last target announces that it is leaving, as a part of the run.
    pub leave_at: f64,
}

/// How many times as long a straggler takes.
pub const STRAGGLER_FACTOR: f64 = 10.0;

impl Plan {
    /// The plan of a scenario.
    pub fn new(scenario: Scenario) -> Plan {
        match scenario {
            Scenario::Lampang => lampang(),
            Scenario::Bigorna => bigorna(),
            Scenario::Half => half(),
        }
    }

    /// Without the long kinds; the other kinds keep their load.
    pub fn without_long(&self) -> Plan {
        let mut plan = self.clone();
        plan.kinds
            .iter_mut()
            .filter(|kind| kind.duration_class == DurationClass::Long)
            .for_each(|kind| kind.load_share = 0.0);
        plan
    }

    /// Seconds of work on a target of speed 1 that the targets do in a second.
    pub fn capacity(&self) -> f64 {
        let working = self.targets.iter().filter(|t| !t.fails);
        working.map(|t| t.speed * f64::from(self.slots)).sum()
    }

    /// The mean speed of the targets that don't fail everything.
    pub fn mean_speed(&self) -> f64 {
        let working = self.targets.iter().filter(|t| !t.fails).count();
        self.capacity() / (working as f64 * f64::from(self.slots))
    }

    /// The load at a part of the run, relative to the capacity.
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

    /// Whether a part of the run belongs to its crest.
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

/// `count` speeds, evenly spaced on a logarithmic scale from `1/most` to `most`. Slow and fast ones
/// alternate, and zones get targets by pairs, so that each zone has about the same capacity.
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
            // Work that is cut into more tasks has shorter ones.
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
    // The last one leaves; the faulty ones stay for the whole run.
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
        // Beyond the capacity, so that long work always waits for slots.
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
        // Equal speeds: with differing ones the fastest targets would be faster than the ideal,
        // and hide what the system adds.
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
