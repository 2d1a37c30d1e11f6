//! Tests of the membership state machine.

mod random;
mod rules;

use std::time::Duration;

use greengage_core::{Address, Capacity, Incarnation, TargetName, TemplateName, Time, ZoneName};
use greengage_membership::{
    Announcement, AttemptResult, Effect, Event, Limits, Membership, Standing,
};

fn target(name: &str) -> TargetName {
    TargetName::new(name).unwrap()
}

/// An executor that runs `tours`.
fn announcement(name: &str, incarnation: u64) -> Announcement {
    Announcement {
        target: target(name),
        incarnation: Incarnation(incarnation),
        address: Address::new("127.0.0.1:9000").unwrap(),
        zone: ZoneName::new("east").unwrap(),
        rack: None,
        work: vec![TemplateName::new("tours").unwrap()],
        capacity: Capacity::Executor {
            slots: 8,
            connections: 60,
        },
        usage: None,
        fencing: true,
        leaving: false,
    }
}

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn up(name: &str, incarnation: u64) -> Effect {
    Effect::TargetUp(announcement(name, incarnation))
}

fn gone(name: &str, incarnation: u64) -> Effect {
    Effect::TargetGone {
        target: target(name),
        incarnation: Incarnation(incarnation),
    }
}

fn standing_is(name: &str, standing: Standing) -> Effect {
    Effect::Standing {
        target: target(name),
        standing,
    }
}

fn announce(name: &str, incarnation: u64) -> Event {
    Event::Announce(announcement(name, incarnation))
}

fn attempt(name: &str, result: AttemptResult) -> Event {
    Event::Attempt {
        target: target(name),
        result,
    }
}

/// A state machine with virtual time.
struct Harness {
    machine: Membership,
    now: Time,
    /// Targets that renew every second, with their incarnations.
    renewing: Vec<(&'static str, u64)>,
}

impl Harness {
    fn new() -> Harness {
        Harness::with(Limits::default())
    }

    fn with(limits: Limits) -> Harness {
        Harness {
            machine: Membership::new(limits, ms(0)),
            now: ms(0),
            renewing: Vec::new(),
        }
    }

    /// Creates a state machine with live targets that renew every second.
    fn live(names: &[&'static str]) -> Harness {
        let mut harness = Harness::new();
        for name in names {
            harness.step(announce(name, 1));
            harness.renewing.push((name, 1));
        }
        harness
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.machine.step(self.now, event)
    }

    /// Advances the time to `end`, with a step at each deadline and each renewal.
    fn run_until(&mut self, end: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.now < end {
            let second = ms((self.now.0 / 1_000_000 + 1) * 1000);
            let wake = self.machine.next_wake().unwrap_or(end);
            self.now = second.min(wake.max(self.now)).min(end);
            effects.extend(self.step(Event::Tick));
            if self.now == second {
                for (name, incarnation) in self.renewing.clone() {
                    effects.extend(self.step(announce(name, incarnation)));
                }
            }
        }
        effects
    }

    fn run_for(&mut self, span: Duration) -> Vec<Effect> {
        self.run_until(self.now + span)
    }

    /// `count` attempts with the same result.
    fn attempts(&mut self, name: &str, result: AttemptResult, count: usize) -> Vec<Effect> {
        (0..count)
            .flat_map(|_| self.step(attempt(name, result)))
            .collect()
    }

    fn standing(&self, name: &str) -> Option<Standing> {
        self.machine.target(&target(name)).map(|t| t.standing)
    }
}
