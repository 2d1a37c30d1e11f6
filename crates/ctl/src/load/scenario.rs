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
pub enum Form {
    /// A job with a key.
    Job,
    /// A single request without a key.
    Repeatable,
    /// A single request with a key.
    Once,
}

/// The part that a kind of work has in the wait of short tasks beside long ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Its wait is measured.
    Short,
    /// It is left out of the run without long tasks.
    Long,
    /// Neither.
    Other,
}

/// A kind of work.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The template.
    pub name: &'static str,
    /// How it is submitted.
    pub form: Form,
    /// Whether it is short or long beside others.
    pub length: Length,
    /// Its part of the load, of all kinds together 1.
    pub part: f64,
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
pub struct Machine {
    /// How fast it is; tasks take their time divided by this.
    pub speed: f64,
    /// Whether it fails each task.
    pub fails: bool,
}

/// What a scenario offers, and to which targets.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Targets.
    pub machines: Vec<Machine>,
    /// Slots of each target.
    pub slots: u32,
    /// Load over the run, as points (part of the run, load relative to the capacity) between which
    /// it is interpolated.
    pub shape: Vec<(f64, f64)>,
    /// Parts of the run that count as its crest.
    pub crests: Vec<(f64, f64)>,
    /// When a wave of cancellations is sent, as a part of the run.
    pub wave: Option<f64>,
    /// Part of the tasks that straggle.
    pub stragglers: f64,
    /// When the last target announces that it is leaving, as a part of the run.
    pub leave: f64,
}

/// How many times as long a straggler takes.
pub const STRAGGLE_FACTOR: f64 = 10.0;

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
            .filter(|kind| kind.length == Length::Long)
            .for_each(|kind| kind.part = 0.0);
        plan
    }

    /// Seconds of work on a target of speed 1 that the targets do in a second.
    pub fn capacity(&self) -> f64 {
        let working = self.machines.iter().filter(|m| !m.fails);
        working.map(|m| m.speed * f64::from(self.slots)).sum()
    }

    /// The mean speed of the targets that don't fail everything.
    pub fn mean_speed(&self) -> f64 {
        let working = self.machines.iter().filter(|m| !m.fails).count();
        self.capacity() / (working as f64 * f64::from(self.slots))
    }

    /// The load at a part of the run, relative to the capacity.
    pub fn load(&self, part: f64) -> f64 {
        let mut before = self.shape[0];
        for &point in &self.shape {
            if part < point.0 {
                let way = (part - before.0) / (point.0 - before.0);
                return before.1 + way * (point.1 - before.1);
            }
            before = point;
        }
        before.1
    }

    /// Whether a part of the run belongs to its crest.
    pub fn in_crest(&self, part: f64) -> bool {
        self.crests.iter().any(|c| part >= c.0 && part < c.1)
    }
}

fn job(name: &'static str, tasks: (u32, u32), service_ms: (u32, u32)) -> Kind {
    Kind {
        name,
        form: Form::Job,
        length: Length::Other,
        part: 0.25,
        tasks,
        service_ms,
        deadline_ms: 5000,
        expected_ms: u64::from(service_ms.0 + service_ms.1) / 2,
    }
}

/// `count` speeds, evenly spaced on a logarithmic scale from `1/most` to `most`. Slow and fast ones
/// alternate, and zones get targets by pairs, so that each zone has about the same capacity.
fn speeds(count: usize, most: f64) -> Vec<Machine> {
    let mut machines = Vec::new();
    for i in 0..count {
        let place = if i % 2 == 0 { i / 2 } else { count - 1 - i / 2 };
        let exponent = 2.0 * place as f64 / (count - 1) as f64 - 1.0;
        machines.push(Machine {
            speed: most.powf(exponent),
            fails: false,
        });
    }
    machines
}

fn lampang() -> Plan {
    Plan {
        kinds: vec![
            // Work that is cut into more tasks has shorter ones.
            job("fares", (1, 40), (50, 100)),
            job("seats", (1, 24), (100, 250)),
            job("routes", (1, 12), (250, 500)),
            job("packages", (1, 6), (500, 1000)),
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
        machines: speeds(12, 2.0),
        slots: 8,
        shape: vec![
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
        crests: vec![(0.2, 0.45), (0.63, 0.78)],
        wave: Some(0.35),
        stragglers: 0.01,
        leave: 0.7,
    }
}

fn bigorna() -> Plan {
    let mut machines = speeds(8, 1.25);
    let slow = Machine {
        speed: 0.2,
        fails: false,
    };
    let failing = Machine {
        speed: 1.0,
        fails: true,
    };
    // The last one leaves; the faulty ones stay for the whole run.
    machines.splice(0..0, [slow, failing]);
    let single = |name, form, length, part, service_ms: (u32, u32), deadline_ms| Kind {
        name,
        form,
        length,
        part,
        tasks: (1, 1),
        service_ms,
        deadline_ms,
        expected_ms: u64::from(service_ms.0 + service_ms.1) / 2,
    };
    Plan {
        kinds: vec![
            single(
                "availability",
                Form::Repeatable,
                Length::Short,
                0.15,
                (20, 20),
                2000,
            ),
            single(
                "estimate",
                Form::Repeatable,
                Length::Long,
                0.8,
                (1000, 5000),
                30_000,
            ),
            single(
                "reservation",
                Form::Once,
                Length::Other,
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
        machines,
        slots: 8,
        // Beyond the capacity, so that long work always waits for slots.
        shape: vec![(0.0, 1.1), (1.0, 1.1)],
        crests: Vec::new(),
        wave: None,
        stragglers: 0.0,
        leave: 0.8,
    }
}

fn half() -> Plan {
    let kind = |name, form| Kind {
        name,
        form,
        length: Length::Other,
        part: 0.5,
        tasks: (1, 1),
        service_ms: (100, 100),
        deadline_ms: 5000,
        expected_ms: 100,
    };
    Plan {
        kinds: vec![
            kind("repeatable", Form::Repeatable),
            kind("recorded", Form::Job),
        ],
        accounts: vec![Account {
            name: "desk",
            weight: 1,
        }],
        // Equal speeds: with differing ones the fastest targets would be faster than the ideal,
        // and hide what the system adds.
        machines: vec![
            Machine {
                speed: 1.0,
                fails: false
            };
            8
        ],
        slots: 8,
        shape: vec![(0.0, 0.5), (1.0, 0.5)],
        crests: Vec::new(),
        wave: None,
        stragglers: 0.0,
        leave: 0.9,
    }
}
