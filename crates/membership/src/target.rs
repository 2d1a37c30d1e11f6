//! One target name: its present incarnation, if any, and its history.

use std::sync::Arc;

use greengage_core::{Incarnation, TemplateName, Time};

use crate::ejection_budget::Availability;
use crate::event::{Announcement, Standing};
use crate::health::{Health, HealthState};

/// Unreachable attempts in a row that make a target suspect before its lease runs out.
const UNREACHABLE_LIMIT: u32 = 3;

/// What is known of a name.
pub(crate) struct Record {
    /// The target, while it isn't gone.
    pub(crate) active: Option<ActiveTarget>,
    pub(crate) health: Health,
    /// The newest incarnation that was seen.
    pub(crate) incarnation: Incarnation,
    /// Whether that incarnation left; then it doesn't come back.
    pub(crate) has_left: bool,
    /// When the lease or the grace ends, or the record is forgotten.
    pub(crate) deadline: Time,
    /// How it was counted among the targets that run the same work.
    pub(crate) counted: Option<(Arc<[TemplateName]>, Availability)>,
}

/// A target that isn't gone.
pub(crate) struct ActiveTarget {
    pub(crate) announcement: Announcement,
    /// The kinds of work that it announced, each once; shared, because each event reads them.
    pub(crate) work: Arc<[TemplateName]>,
    /// When it announced itself last.
    pub(crate) last_heard: Time,
    /// Whether its lease ran out.
    pub(crate) lease_expired: bool,
    /// Unreachable attempts in a row since it announced itself.
    pub(crate) unreachable: u32,
    /// The standing that was told in an effect; an `Up` of a new incarnation stands for `Live`.
    pub(crate) emitted: Standing,
}

impl ActiveTarget {
    pub(crate) fn new(announcement: Announcement, now: Time) -> ActiveTarget {
        ActiveTarget {
            work: distinct_work(&announcement),
            announcement,
            last_heard: now,
            lease_expired: false,
            unreachable: 0,
            emitted: Standing::Live,
        }
    }

    /// Replaces the announcement by one of the same incarnation.
    pub(crate) fn update(&mut self, announcement: Announcement) {
        self.work = distinct_work(&announcement);
        self.announcement = announcement;
    }
}

fn distinct_work(announcement: &Announcement) -> Arc<[TemplateName]> {
    let mut work = announcement.work.clone();
    work.sort_unstable();
    work.dedup();
    work.into()
}

impl Record {
    /// The target's standing, if it isn't gone.
    pub(crate) fn standing(&self) -> Option<Standing> {
        let active = self.active.as_ref()?;
        if active.announcement.leaving {
            return Some(Standing::Leaving);
        }
        if active.lease_expired || active.unreachable >= UNREACHABLE_LIMIT {
            return Some(Standing::Suspect);
        }
        Some(match self.health.state {
            HealthState::Healthy => Standing::Live,
            HealthState::Probation { .. } => Standing::Probation,
            HealthState::Ejected { .. } => Standing::Ejected,
        })
    }

    /// How the target counts among those that run the same work.
    pub(crate) fn availability(&self) -> Option<Availability> {
        match (self.standing()?, self.health.state) {
            (Standing::Live | Standing::Probation, _) => Some(Availability::Usable),
            (Standing::Ejected, HealthState::Ejected { until }) => {
                Some(Availability::Ejected(until))
            }
            (Standing::Ejected | Standing::Suspect | Standing::Leaving, _) => None,
        }
    }
}
