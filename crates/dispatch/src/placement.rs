//! Choice of the target for a task.

use rand::Rng;

use greengage_core::{SortedMap, Spread};

use crate::event::Placement;
use crate::ids::{RackId, TargetId};
use crate::targets::Shape;

/// Racks compared for one task of a job that is spread over racks. Zones usually have fewer; in a
/// larger one the search begins at a random rack for each task and takes the best of this many.
const RACKS_COMPARED: usize = 64;

/// Chooses a target with room, and `avoid` only if the choice offers no other.
pub(crate) fn choose(
    shape: &Shape,
    placement: Placement,
    rack_starts: &SortedMap<RackId, u32>,
    avoid: Option<TargetId>,
    rng: &mut impl Rng,
) -> Option<TargetId> {
    match shape.key.spread {
        Spread::Any => choose_in_rack(shape, RackId(0), placement, avoid, rng),
        Spread::Racks => {
            let rack = choose_rack(shape, rack_starts, rng)?;
            let target = choose_in_rack(shape, rack, placement, avoid, rng)?;
            if Some(target) != avoid {
                return Some(target);
            }
            // The rack has no other target with room: use the next rack instead.
            let next = shape.free_targets.range(rack..).nth(1);
            match next.or_else(|| shape.free_targets.first_key_value()) {
                Some((rack, _)) => choose_in_rack(shape, *rack, placement, avoid, rng),
                None => Some(target),
            }
        }
    }
}

/// Chooses the rack with the fewest starts of the job among those compared.
fn choose_rack(
    shape: &Shape,
    rack_starts: &SortedMap<RackId, u32>,
    rng: &mut impl Rng,
) -> Option<RackId> {
    let last = shape.free_targets.last_key_value()?.0;
    let from = RackId(rng.random_range(0..=last.0));
    let mut best = None;
    let wrapped = shape
        .free_targets
        .range(from..)
        .chain(shape.free_targets.range(..from));
    for (rack, _) in wrapped.take(RACKS_COMPARED) {
        let count = rack_starts.get(rack).copied().unwrap_or(0);
        if best.is_none_or(|(least, _)| count < least) {
            best = Some((count, *rack));
        }
        if count == 0 {
            break;
        }
    }
    best.map(|(_, rack)| rack)
}

fn choose_in_rack(
    shape: &Shape,
    rack: RackId,
    placement: Placement,
    avoid: Option<TargetId>,
    rng: &mut impl Rng,
) -> Option<TargetId> {
    let free_targets = shape.free_targets.get(&rack)?;
    match placement {
        Placement::Fastest => {
            let mut order = free_targets.iter().map(|(_, _, target)| *target);
            let first = order.next()?;
            match Some(first) == avoid {
                true => order.next().or(Some(first)),
                false => Some(first),
            }
        }
        Placement::Random => {
            // The order leaves out speed here, and tie-breakers are drawn anew with each start, so
            // that the first target from a random tie-breaker on is a random choice.
            let from = (0, rng.random(), TargetId(0));
            let mut order = free_targets
                .range(from..)
                .chain(free_targets.range(..from))
                .map(|o| o.2);
            let first = order.next()?;
            match Some(first) == avoid {
                true => order.next().or(Some(first)),
                false => Some(first),
            }
        }
    }
}
