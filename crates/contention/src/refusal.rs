//! Choice of the jobs to refuse when not all that wait can start in time.
//!
//! The waiting jobs are gone through in rank order. Where one of them is expected to start its last
//! task too late, one of the jobs up to it gives way: of the priority that was served the largest
//! part of its demand, of the queue of that priority that was admitted most work, the smallest job
//! that makes enough room, or the largest if none does. This policy is for load above the capacity,
//! in which waiting longer would make most jobs late. A crest that the jobs' waits can absorb
//! refuses none.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use greengage_core::{value, SortedMap, Time};

use crate::rank::Claim;
use crate::share::Shares;

/// A job that waits for room.
#[value]
pub struct Contender {
    /// The id that its owner uses.
    pub id: u64,
    /// Its queue.
    pub queue: Arc<str>,
    /// What it asks for.
    pub claim: Claim,
    /// When it has to start; `None` if it has started and can't be refused any more.
    pub start_by: Option<Time>,
    /// Expected run time of its longest task.
    pub run_time: Duration,
}

/// A job to be refused.
#[value(copy)]
pub struct Refusal {
    /// The job.
    pub id: u64,
    /// The job that would have started too late.
    pub behind: u64,
    /// By how much.
    pub late: Duration,
    /// Time after which there is room for a job of its rank.
    pub room_after: Duration,
}

/// Time until `work` is served at a rate in cores.
fn drain(work: Duration, cores: f64) -> Duration {
    const MIN_CORES: f64 = 0.1;
    work.div_f64(cores.max(MIN_CORES))
}

/// A class of jobs that give way in the same place: a queue with its priority.
struct Class {
    quotient: f64,
    admitted: f64,
    /// Processor time and index of its jobs that may be refused, sorted.
    jobs: Vec<(Duration, usize)>,
}

/// Jobs to be refused so that the others start in time, if waiting jobs get `cores` cores.
pub fn choose_refusals(
    now: Time,
    contenders: &mut [Contender],
    cores: f64,
    shares: &Shares,
) -> Vec<Refusal> {
    // Started jobs get room first, since their completed runs are wasted if they end late.
    contenders.sort_by_key(|c| (c.start_by.is_some(), c.claim.rank()));
    let mut refusals = Vec::new();
    let mut classes: Vec<(&Arc<str>, u32, Class)> = Vec::new();
    let mut ahead = Duration::ZERO;
    for (i, contender) in contenders.iter().enumerate() {
        let claim = &contender.claim;
        ahead += claim.work;
        let Some(start_by) = contender.start_by else {
            continue;
        };
        let key = (&contender.queue, claim.priority);
        let class = match classes.iter().position(|(q, p, _)| (*q, *p) == key) {
            Some(found) => found,
            None => {
                let class = Class {
                    quotient: shares.quotient(now, claim.priority),
                    admitted: shares.admitted(now, &contender.queue),
                    jobs: Vec::new(),
                };
                classes.push((key.0, key.1, class));
                classes.len() - 1
            }
        };
        let jobs = &mut classes[class].2.jobs;
        let entry = (claim.work, i);
        jobs.insert(jobs.partition_point(|other| *other < entry), entry);
        let mut kept = true;
        while kept {
            // The last task starts when all but the last wave of the job's tasks is served.
            let before = ahead.saturating_sub(claim.work);
            let last_wave = drain(ahead, cores).saturating_sub(contender.run_time);
            let start = now + drain(before, cores).max(last_wave);
            let late = start.since(start_by);
            if late.is_zero() {
                break;
            }
            let Some(refused) = give_way(&mut classes, late.mul_f64(cores)) else {
                break;
            };
            kept = refused != i;
            let given_up = &contenders[refused];
            refusals.push(Refusal {
                id: given_up.id,
                behind: contender.id,
                late,
                room_after: drain(ahead, cores),
            });
            ahead = ahead.saturating_sub(given_up.claim.work);
        }
    }
    refusals
}

/// Part by which a class must be better served than the refused job's for one of its jobs to give
/// way, in percent. Counts of a second differ by as much at random.
const ADVANTAGE_PERCENT: f64 = 5.0;

/// Number of jobs that are tried in place of a refused one, since each trial takes a round of
/// placement.
const MAX_TRIALS: usize = 3;

/// The job that is refused in place of `refused`, if there is one that costs callers less, and without
/// which `refused` starts in time. The number of refusals stays the same.
///
/// A job of a lower priority that is clearly better served gives way, or of a queue of the same
/// priority that was admitted clearly more work; of these jobs, the smallest one that makes room. One
/// of a higher priority never does: callers raise the demand of their own priority, and so lower the
/// part of it that is served, by jobs that can't be served. Few are tried, from about the work of
/// `refused` on.
pub fn choose_substitute(
    now: Time,
    refused: &Contender,
    others: &[Contender],
    shares: &Shares,
    mut makes_room: impl FnMut(u64) -> bool,
) -> Option<u64> {
    // A quotient looks at all queues, of which there may be thousands, so each is computed once.
    let priorities = others.iter().chain([refused]).map(|c| c.claim.priority);
    let mut quotients: SortedMap<u32, f64> = SortedMap::new();
    for priority in priorities {
        quotients.get_or_insert_with(priority, || shares.quotient(now, priority));
    }
    let class = |c: &Contender| {
        let quotient = quotients.get(&c.claim.priority).copied();
        (quotient.unwrap_or_default(), shares.admitted(now, &c.queue))
    };
    let (quotient, admitted) = class(refused);
    let exceeds = |a: f64, b: f64| a > b * (1.0 + ADVANTAGE_PERCENT / 100.0);
    let open = others.iter().filter(|c| c.start_by.is_some());
    let classes = open.map(|c| (class(c), c));
    let mut cheaper: Vec<((f64, f64), &Contender)> = classes
        .filter(
            |(found, c)| match c.claim.priority.cmp(&refused.claim.priority) {
                Ordering::Less => false,
                Ordering::Equal => c.queue != refused.queue && exceeds(found.1, admitted),
                Ordering::Greater => exceeds(found.0, quotient),
            },
        )
        .collect();
    // Within a class those that may be too small come last, the largest of them first.
    let needed = refused.claim.work;
    let size = |c: &Contender| match c.claim.work >= needed {
        true => (false, c.claim.work),
        false => (true, needed - c.claim.work),
    };
    cheaper.sort_by(|(a, x), (b, y)| {
        let by_class = b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1));
        by_class.then_with(|| size(x).cmp(&size(y)))
    });
    let mut tried = cheaper.iter().take(MAX_TRIALS).map(|(_, c)| c.id);
    tried.find(|id| makes_room(*id))
}

/// Removes the job that gives way for `missing` processor time, and returns its index.
fn give_way(classes: &mut [(&Arc<str>, u32, Class)], missing: Duration) -> Option<usize> {
    let open = classes.iter_mut().filter(|(.., c)| !c.jobs.is_empty());
    let (_, _, class) = open.max_by(|(_, p, a), (_, q, b)| {
        let by_quotient = a.quotient.total_cmp(&b.quotient);
        by_quotient
            .then(p.cmp(q))
            .then(a.admitted.total_cmp(&b.admitted))
    })?;
    let enough = class.jobs.partition_point(|(work, _)| *work < missing);
    let chosen = enough.min(class.jobs.len() - 1);
    Some(class.jobs.remove(chosen).1)
}
