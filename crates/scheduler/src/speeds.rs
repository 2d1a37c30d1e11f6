//! Speeds of targets that other VMs have learned, for when this VM becomes their owner.
//!
//! The load that this answers: targets differ in speed, and a target that changes hands would be
//! taken for one of usual speed until some runs have ended there, so that long work is put on slow
//! targets after each restart of a VM. Its owner tells the VMs that may own it next what it has
//! learned. What is told counts only when the target is claimed, and only for the boot of the target
//! in which it was learned: a later one may be of another kind.

use std::time::Duration;

use greengage_core::{value, Incarnation, SortedMap, TargetName, Time, VmName};

use crate::estimate::LearnedFactor;
use crate::event::Effect;
use crate::peer::PeerMessage;
use crate::scheduler::Scheduler;
use crate::target::Ownership;

/// Number of broadcasts of offers after which the speeds are told again. A speed changes seldom.
pub(crate) const SPEED_BROADCASTS: u32 = 8;
/// Number of runs from which a speed is told: as many as outweigh the usual speed.
const MIN_RUNS: u32 = 5;
/// Age at which a told speed is dropped: a target that was cut off for longer may have changed.
const SPEED_LIFETIME: Duration = Duration::from_secs(60);
/// Limit on the targets whose speeds are kept, a few times as many as a deployment has.
const MAX_SPEEDS: usize = 20_000;

/// The speed of a target, as its owner has learned it.
#[value]
pub struct TargetSpeed {
    /// The target.
    pub target: TargetName,
    /// The boot of the target in which it was learned.
    pub incarnation: Incarnation,
    /// Speed in percent of one on which tasks take as long as declared.
    pub percent: u32,
    /// Number of runs that it was learned from.
    pub runs: u32,
    /// Time since the last of them, from when the message was sent.
    pub age: Duration,
}

impl TargetSpeed {
    fn new(
        target: &TargetName,
        incarnation: Incarnation,
        factor: &LearnedFactor,
        age: Duration,
    ) -> TargetSpeed {
        TargetSpeed {
            target: target.clone(),
            incarnation,
            percent: factor.percent(),
            runs: factor.runs(),
            age,
        }
    }
}

/// A speed that another VM has told.
#[derive(Debug)]
pub struct ToldSpeed {
    incarnation: Incarnation,
    factor: LearnedFactor,
    from: VmName,
    /// The earliest time at which the last run that it was learned from may have ended.
    learned: Time,
}

impl ToldSpeed {
    /// The speed in percent of one on which tasks take as long as declared.
    pub fn percent(&self) -> u32 {
        self.factor.percent()
    }
}

/// The speeds that other VMs have told.
#[derive(Debug, Default)]
pub struct ToldSpeeds {
    targets: SortedMap<TargetName, ToldSpeed>,
}

impl ToldSpeeds {
    /// Keeps speeds that a VM has sent, unless they were overtaken by later ones.
    pub fn record(&mut self, from: &VmName, sent: Time, speeds: Vec<TargetSpeed>) {
        for speed in speeds {
            let known = self.targets.get(&speed.target);
            let is_full = known.is_none() && self.targets.len() >= MAX_SPEEDS;
            let learned = sent - speed.age;
            let is_overtaken = |known: &ToldSpeed| {
                (known.incarnation, known.learned) > (speed.incarnation, learned)
            };
            if is_full || known.is_some_and(is_overtaken) {
                continue;
            }
            let told = ToldSpeed {
                incarnation: speed.incarnation,
                factor: LearnedFactor::from_percent(speed.percent, speed.runs),
                from: from.clone(),
                learned,
            };
            self.targets.insert(speed.target, told);
        }
    }

    /// The speed of a target in one of its boots, if it was learned after `since`.
    pub fn speed(
        &self,
        target: &TargetName,
        incarnation: Incarnation,
        since: Time,
    ) -> Option<&ToldSpeed> {
        let told = self.targets.get(target);
        told.filter(|told| told.incarnation == incarnation && told.learned > since)
    }

    /// Drops the speeds that are too old.
    pub fn prune(&mut self, now: Time) {
        self.targets
            .retain(|_, told| now.since(told.learned) < SPEED_LIFETIME);
    }

    /// Number of targets whose speed was told.
    pub(crate) fn len(&self) -> usize {
        self.targets.len()
    }
}

impl Scheduler {
    /// The speeds that this VM has learned and no other VM has since, for each target that has
    /// completed enough runs.
    fn own_speeds(&self, now: Time) -> Vec<TargetSpeed> {
        let mut speeds = Vec::new();
        let level = self.estimates.level();
        for (name, target) in self.targets.iter() {
            let Some(learned) = target.learned else {
                continue;
            };
            let age = now.since(learned);
            let incarnation = target.report.incarnation;
            let told = self.told_speeds.speed(name, incarnation, learned);
            if target.speed.runs() >= MIN_RUNS && age < SPEED_LIFETIME && told.is_none() {
                let speed = target.speed.scaled(1.0 / level);
                speeds.push(TargetSpeed::new(name, incarnation, &speed, age));
            }
        }
        speeds
    }

    /// Tells the VMs that may own this VM's targets next what speeds they have, if that is due.
    pub(crate) fn send_speeds(&mut self, now: Time, out: &mut Vec<Effect>) {
        let interval = self.broadcast_interval() * SPEED_BROADCASTS;
        if !self.speeds_due && now.since(self.speeds_sent) < interval {
            return;
        }
        (self.speeds_sent, self.speeds_due) = (now, false);
        self.told_speeds.prune(now);
        let near = self.peers.iter().filter(|(_, view)| self.is_near(view));
        send(near.map(|(vm, _)| vm), &self.own_speeds(now), out);
    }

    /// Tells VMs that have joined the speeds that this VM has learned, and those of targets without an
    /// owner: a VM that has restarted gets back what it has told before.
    pub(crate) fn send_speeds_to(&self, now: Time, joined: &[VmName], out: &mut Vec<Effect>) {
        let owned = self.peers.values().filter_map(|view| view.owned.as_ref());
        let mut owned: Vec<&TargetName> = owned.flatten().collect();
        owned.sort_unstable();
        let mut speeds = self.own_speeds(now);
        for (name, told) in self.told_speeds.targets.iter() {
            let target = self.targets.get(name);
            let is_own = target.is_some_and(|t| t.ownership != Ownership::Unowned);
            let learned = target.and_then(|target| target.learned);
            let is_overtaken = learned.is_some_and(|learned| learned >= told.learned);
            if !is_own && !is_overtaken && owned.binary_search(&name).is_err() {
                let age = now.since(told.learned);
                speeds.push(TargetSpeed::new(name, told.incarnation, &told.factor, age));
            }
        }
        let near = |vm: &&VmName| self.peers.get(vm).is_some_and(|view| self.is_near(view));
        send(joined.iter().filter(near), &speeds, out);
    }

    /// Gives a target that this VM claims the speed that other VMs have told since this one has last
    /// learned it.
    pub(crate) fn take_told_speed(&mut self, now: Time, name: &TargetName) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let since = target.learned.unwrap_or_default();
        let incarnation = target.report.incarnation;
        if let Some(told) = self.told_speeds.speed(name, incarnation, since) {
            log::info!(event = "target-speed-told", target = name.as_str(),
                vm = told.from.as_str(), percent = told.percent(),
                runs = told.factor.runs(), age_ms = now.since(told.learned).as_millis() as u64;
                "a claimed target begins with the speed that another VM has told");
            target.speed = told.factor.scaled(self.estimates.level());
        }
    }
}

fn send<'a>(
    receivers: impl Iterator<Item = &'a VmName>,
    speeds: &[TargetSpeed],
    out: &mut Vec<Effect>,
) {
    if speeds.is_empty() {
        return;
    }
    out.extend(receivers.map(|vm| Effect::Send {
        to: vm.clone(),
        message: PeerMessage::Speeds(speeds.to_vec()),
    }));
}
