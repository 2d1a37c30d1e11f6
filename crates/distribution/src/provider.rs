//! The documents that a VM provides to others.

use std::sync::Arc;
use std::time::Duration;

use greengage_config::Document;
use greengage_core::{SortedMap, Time, Version, VmName};

use crate::message::{DistributionMessage, Part};

/// Time since the last request after which a replaced document is dropped. Longer than a receiver
/// waits for a part before it asks again.
const RETENTION_TIME: Duration = Duration::from_secs(2);

struct Held {
    document: Arc<Document>,
    /// When a part of it was last requested.
    last_request: Option<Time>,
}

/// Time between two offers to a VM that has not reported the newest version.
const OFFER_INTERVAL: Duration = Duration::from_millis(300);

/// The newest document of a VM, and replaced ones that others are downloading.
#[derive(Default)]
pub struct Provider {
    newest: Option<Held>,
    replaced: Vec<Held>,
    /// The version that each receiver reported last.
    reported: SortedMap<VmName, Option<Version>>,
    offers_due: Time,
}

impl Provider {
    /// Provides a document instead of an older one.
    pub fn set_document(&mut self, now: Time, document: Arc<Document>) {
        let held = Held {
            document,
            last_request: None,
        };
        self.replaced.extend(self.newest.replace(held));
        self.drop_unused(now);
        self.offers_due = now + OFFER_INTERVAL;
    }

    /// Drops replaced documents that nobody downloads.
    fn drop_unused(&mut self, now: Time) {
        self.replaced.retain(|held| {
            held.last_request
                .is_some_and(|at| now.since(at) < RETENTION_TIME)
        });
    }

    /// The message that tells another VM of the newest document: the document itself if it fits in
    /// one part. `None` without a document.
    pub fn announcement(&self) -> Option<DistributionMessage> {
        let document = &self.newest.as_ref()?.document;
        let part = Part::new(document, 0);
        Some(match part.is_whole() {
            true => DistributionMessage::Part(part),
            false => DistributionMessage::Offer(document.version),
        })
    }

    /// Records the version in force on another VM.
    pub fn report(&mut self, vm: &VmName, version: Option<Version>) {
        self.reported.insert(vm.clone(), version);
    }

    /// The VMs among `receivers` to which the newest document is to be offered again. Offers may be
    /// lost, and under load the reports of versions are late.
    pub fn offers_due(&mut self, now: Time, receivers: &[VmName]) -> Vec<VmName> {
        if now < self.offers_due {
            return Vec::new();
        }
        self.offers_due = now + OFFER_INTERVAL;
        self.reported.retain(|vm, _| receivers.contains(vm));
        let version = |vm: &VmName| self.reported.get(vm).copied().flatten();
        let outdated = receivers
            .iter()
            .filter(|vm| self.offer(version(vm)).is_some());
        outdated.cloned().collect()
    }

    /// The offer of the newest document to a VM with an older version or none.
    pub fn offer(&self, version: Option<Version>) -> Option<DistributionMessage> {
        let newest = self.newest.as_ref()?.document.version;
        (version < Some(newest)).then_some(DistributionMessage::Offer(newest))
    }

    /// Answers a request with the part, or with the version of the newest document. `None` without
    /// a document.
    pub fn answer(
        &mut self,
        now: Time,
        version: Version,
        first: usize,
    ) -> Option<DistributionMessage> {
        self.drop_unused(now);
        let newest = self.newest.as_ref()?.document.version;
        let mut documents = self.newest.iter_mut().chain(&mut self.replaced);
        let Some(held) = documents.find(|held| held.document.version == version) else {
            return Some(DistributionMessage::Unavailable {
                requested: version,
                newest,
            });
        };
        held.last_request = Some(now);
        let part = Part::new(&held.document, first);
        Some(DistributionMessage::Part(part))
    }
}
