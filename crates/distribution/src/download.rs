//! The download of a newer document.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use greengage_config::{Document, Queue, Service};
use greengage_core::{value, Payload, SortedMap, Time, Version, VmName};

use crate::message::Part;

/// Time after which a part is requested again, from another VM if there is one. It doubles with each
/// request that the same VM leaves unanswered.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time after which a part is requested again.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_millis(1600);
/// How long a VM waits for an offer from its own zone, which spreads downloads over the control VMs.
/// About the time until a member of the control group knows what its leader has committed.
const ZONE_WAIT: Duration = Duration::from_millis(100);

/// A document that a VM has offered.
struct Offer {
    version: Version,
    /// Whether the VM is in this VM's zone.
    in_zone: bool,
    /// When the VM first offered this version.
    at: Time,
    /// Number of requests for this version that it has not answered in time.
    failures: u32,
}

impl Offer {
    /// When the offer may be used on a VM that has a configuration.
    fn usable_at(&self) -> Time {
        match self.in_zone {
            true => self.at,
            false => self.at + ZONE_WAIT,
        }
    }
}

/// A request that waits for its part.
struct Request {
    source: VmName,
    deadline: Time,
}

/// The document that is being downloaded.
struct Progress {
    version: Version,
    services: Vec<Service>,
    queues: Vec<Queue>,
    started: Time,
    request: Request,
}

impl Progress {
    fn items(&self) -> usize {
        self.services.len() + self.queues.len()
    }
}

/// A request of a download, to be sent to another VM.
#[value]
pub struct PartRequest {
    /// The receiver.
    pub to: VmName,
    /// Version of the document.
    pub version: Version,
    /// Number of items that are known.
    pub first: usize,
}

/// The effect of a part that has arrived.
#[value]
pub enum Received {
    /// The part was not waited for.
    Ignored,
    /// The next part is to be requested.
    Next(PartRequest),
    /// The document is complete.
    Document(Arc<Document>),
}

/// The state of a VM that downloads documents. Its methods take the version in force, if there is
/// one: only newer documents are downloaded.
#[derive(Default)]
pub struct Download {
    offers: SortedMap<VmName, Offer>,
    progress: Option<Progress>,
}

impl Download {
    /// Records that a VM has a document, and returns the request that is due.
    pub fn offered(
        &mut self,
        now: Time,
        in_force: Option<Version>,
        from: &VmName,
        in_zone: bool,
        version: Version,
    ) -> Option<PartRequest> {
        let known = self.offers.get(from).is_some_and(|o| o.version == version);
        if !known {
            let offer = Offer {
                version,
                in_zone,
                at: now,
                failures: 0,
            };
            self.offers.insert(from.clone(), offer);
        }
        self.tick(now, in_force)
    }

    /// Handles the answer of a VM that doesn't have the requested version, but another one.
    pub fn unavailable(
        &mut self,
        now: Time,
        in_force: Option<Version>,
        from: &VmName,
        requested: Version,
        newest: Version,
    ) -> Option<PartRequest> {
        let progress = self.progress.as_ref();
        if progress.is_some_and(|p| p.version == requested && p.request.source == *from) {
            self.progress = None;
        }
        let in_zone = self.offers.remove(from).is_some_and(|o| o.in_zone);
        self.offered(now, in_force, from, in_zone, newest)
    }

    /// Adds a part that a VM has sent.
    pub fn receive(
        &mut self,
        now: Time,
        in_force: Option<Version>,
        from: &VmName,
        part: Part,
    ) -> Received {
        if Some(part.version) <= in_force {
            return Received::Ignored;
        }
        if part.is_whole() {
            return Received::Document(document(part));
        }
        let progress = self.progress.as_mut();
        // A part that arrives twice must not lead to a second request for the next one.
        let expected = progress.filter(|p| p.version == part.version && p.items() == part.first);
        let Some(progress) = expected else {
            return Received::Ignored;
        };
        progress.services.extend(part.services);
        progress.queues.extend(part.queues);
        if progress.items() < part.total {
            return Received::Next(self.request(now, from.clone(), part.version));
        }
        log::info!(event = "configuration-downloaded", version = part.version.0,
            items = part.total, took_ms = now.since(progress.started).as_millis() as u64;
            "downloaded a configuration");
        let whole = Part {
            services: std::mem::take(&mut progress.services),
            queues: std::mem::take(&mut progress.queues),
            ..part
        };
        self.progress = None;
        Received::Document(document(whole))
    }

    /// When [`Download::tick`] is due; `None` while nothing is waited for.
    pub fn next_wake(&self) -> Option<Time> {
        match &self.progress {
            Some(progress) => Some(progress.request.deadline),
            None => self.offers.values().map(Offer::usable_at).min(),
        }
    }

    /// Returns the request that is due: the first one of a download, or one for a part that is late.
    pub fn tick(&mut self, now: Time, in_force: Option<Version>) -> Option<PartRequest> {
        self.offers.retain(|_, o| Some(o.version) > in_force);
        self.progress
            .take_if(|progress| Some(progress.version) <= in_force);
        if let Some(progress) = &self.progress {
            if now < progress.request.deadline {
                return None;
            }
            log::info!(event = "configuration-part-late", version = progress.version.0,
                from = progress.request.source.as_str(), items = progress.items();
                "a part of the configuration has not arrived");
            if let Some(offer) = self.offers.get_mut(&progress.request.source) {
                offer.failures += 1;
            }
        }
        let Some((source, version)) = self.best_offer(now, in_force) else {
            self.progress = None;
            return None;
        };
        Some(self.request(now, source, version))
    }

    /// The VM to request from and its version. Of the VMs with the fewest unanswered requests, one with
    /// the document that is being downloaded, else with the newest one, goes first; then one of this
    /// VM's zone, and the one that made its offer first.
    fn best_offer(&self, now: Time, in_force: Option<Version>) -> Option<(VmName, Version)> {
        let current = self.progress.as_ref().map(|p| p.version);
        let may_wait = current.is_none() && in_force.is_some();
        let usable = |o: &Offer| !may_wait || now >= o.usable_at();
        let offers = self.offers.iter().filter(|(_, o)| usable(o));
        let best = offers.max_by_key(|(_, o)| {
            let is_current = Some(o.version) == current;
            (
                Reverse(o.failures),
                is_current,
                o.version,
                o.in_zone,
                Reverse(o.at),
            )
        });
        best.map(|(vm, offer)| (vm.clone(), offer.version))
    }

    /// Requests the next part of a document; a download of another version is dropped.
    fn request(&mut self, now: Time, source: VmName, version: Version) -> PartRequest {
        let failures = self.offers.get(&source).map_or(0, |o| o.failures);
        let timeout = REQUEST_TIMEOUT * 2_u32.saturating_pow(failures.min(8));
        let request = Request {
            source: source.clone(),
            deadline: now + timeout.min(MAX_REQUEST_TIMEOUT),
        };
        let progress = match self.progress.take() {
            Some(progress) if progress.version == version => Progress {
                request,
                ..progress
            },
            _ => Progress {
                version,
                services: Vec::new(),
                queues: Vec::new(),
                started: now,
                request,
            },
        };
        let first = progress.items();
        self.progress = Some(progress);
        PartRequest {
            to: source,
            version,
            first,
        }
    }
}

/// The document with the contents of a whole part.
fn document(part: Part) -> Arc<Document> {
    Arc::new(Document {
        version: part.version,
        queues: part.queues,
        services: part.services,
        limits: part.limits,
        source: Payload::new(Vec::new()),
    })
}
