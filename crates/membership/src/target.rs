//! One target name: its present incarnation, if any, and its history.

use std::sync::Arc;

use greengage_core::{Incarnation, TemplateName, Time};

use crate::event::{Announcement, Standing};
use crate::health::{Fitness, Health};
use crate::shares::Seat;

/// Unreachable attempts in a row that make a target suspect before its lease runs out.
const SUSPECT_STREAK: u32 = 3;

/// What is known of a name.
pub(crate) struct Record {
    /// The target, while it isn't gone.
    pub(crate) present: Option<Present>,
    pub(crate) health: Health,
    /// The newest incarnation that was seen.
    pub(crate) incarnation: Incarnation,
    /// Whether that incarnation left; then it doesn't come back.
    pub(crate) left: bool,
    /// When the lease or the grace ends, or the record is forgotten.
    pub(crate) deadline: Time,
    /// How it was counted among the targets that run the same work.
    pub(crate) counted: Option<(Arc<[TemplateName]>, Seat)>,
}

/// A target that isn't gone.
pub(crate) struct Present {
    pub(crate) announcement: Announcement,
    /// The kinds of work that it announced, each once; shared, because each event reads them.
    pub(crate) work: Arc<[TemplateName]>,
    /// When it announced itself last.
    pub(crate) heard: Time,
    /// Whether its lease ran out.
    pub(crate) overdue: bool,
    /// Unreachable attempts in a row since it announced itself.
    pub(crate) unreachable: u32,
    /// The standing that was told in an effect; an `Up` of a new incarnation stands for `Live`.
    pub(crate) told: Standing,
}

impl Present {
    pub(crate) fn new(announcement: Announcement, now: Time) -> Present {
        Present {
            work: kinds(&announcement),
            announcement,
            heard: now,
            overdue: false,
            unreachable: 0,
            told: Standing::Live,
        }
    }

    /// Replaces the announcement by one of the same incarnation.
    pub(crate) fn change(&mut self, announcement: Announcement) {
        self.work = kinds(&announcement);
        self.announcement = announcement;
    }
}

fn kinds(announcement: &Announcement) -> Arc<[TemplateName]> {
    let mut work = announcement.work.clone();
    work.sort_unstable();
    work.dedup();
    work.into()
}

impl Record {
    /// The target's standing, if it isn't gone.
    pub(crate) fn standing(&self) -> Option<Standing> {
        let present = self.present.as_ref()?;
        if present.announcement.leaving {
            return Some(Standing::Leaving);
        }
        if present.overdue || present.unreachable >= SUSPECT_STREAK {
            return Some(Standing::Suspect);
        }
        Some(match self.health.fitness {
            Fitness::Fit => Standing::Live,
            Fitness::Probation { .. } => Standing::Probation,
            Fitness::Ejected { .. } => Standing::Ejected,
        })
    }

    /// How the target counts among those that run the same work.
    pub(crate) fn seat(&self) -> Option<Seat> {
        match (self.standing()?, self.health.fitness) {
            (Standing::Live | Standing::Probation, _) => Some(Seat::Usable),
            (Standing::Ejected, Fitness::Ejected { until }) => Some(Seat::Ejected(until)),
            (Standing::Ejected | Standing::Suspect | Standing::Leaving, _) => None,
        }
    }
}
