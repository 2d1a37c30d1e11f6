//! Order of competing jobs.

use std::time::Duration;

use greengage_contention::Claim;
use greengage_core::Time;

fn claim(latest_ms: u64, arrival_ms: u64) -> Claim {
    Claim {
        priority: 0,
        latest_start: Time(latest_ms * 1000),
        work: Duration::from_millis(100),
        arrival: Time(arrival_ms * 1000),
    }
}

#[test]
fn job_with_less_time_left_is_not_overtaken() {
    let mut claims = [claim(30, 0), claim(20, 5), claim(20, 1)];
    claims.sort_by_key(Claim::rank);
    assert_eq!(claims, [claim(20, 1), claim(20, 5), claim(30, 0)]);
}

#[test]
fn low_priority_is_not_deferred_beyond_its_bound() {
    let urgent = |arrival_ms| claim(arrival_ms + 100, arrival_ms);
    let deferred = Claim {
        priority: 9,
        ..claim(400, 0)
    };
    assert!(urgent(350).rank() < deferred.rank());
    assert!(deferred.rank() < urgent(550).rank());
}
