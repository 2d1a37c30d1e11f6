//! A target name: its current incarnation, if any, and its history.

use std::sync::Arc;

use greengage_core::{Incarnation, TemplateName, Time};

use crate::ejection_budget::Availability;
use crate::event::{Announcement, Standing};
use crate::health::{Health, HealthState};

/// Consecutive unreachable attempts after which a target is suspect although its lease is valid.
const UNREACHABLE_LIMIT: u32 = 3;

/// State of a target name.
pub(crate) struct Record {
    /// The current incarnation; `None` once it is gone.
    pub(crate) active: Option<ActiveTarget>,
    pub(crate) health: Health,
    /// The newest incarnation that announced itself.
    pub(crate) incarnation: Incarnation,
    /// Whether that incarnation left and is gone; its announcements are ignored from then on.
    pub(crate) has_left: bool,
    /// When the lease or the grace period ends, or the record expires.
    pub(crate) deadline: Time,
    /// How it is currently counted in the ejection budget; `None` if it is not.
    pub(crate) counted: Option<(Arc<[TemplateName]>, Availability)>,
}

/// A target that is not gone.
pub(crate) struct ActiveTarget {
    pub(crate) announcement: Announcement,
    /// The announced kinds of work without duplicates; shared, because every event reads them.
    pub(crate) work: Arc<[TemplateName]>,
    /// Time of its last announcement.
    pub(crate) last_heard: Time,
    pub(crate) lease_expired: bool,
    /// Consecutive unreachable attempts since its last announcement.
    pub(crate) unreachable: u32,
    /// The standing last reported in an effect; `TargetUp` of a new incarnation implies `Live`.
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

    /// Replaces the announcement by a newer one of the same incarnation.
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
    /// Standing of the target; `None` if it is gone.
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

    /// How the target counts in the ejection budget; `None` if it is gone, suspect or leaving.
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
