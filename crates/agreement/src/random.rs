//! A seeded random generator (splitmix64) for election timeouts.

use std::time::Duration;

use greengage_core::NodeId;

pub(crate) struct Random(u64);

impl Random {
    /// Mixes `node` into `seed`, so that nodes with equal seeds draw different timeouts.
    pub(crate) fn new(seed: u64, node: &NodeId) -> Random {
        let mut random = Random(seed ^ node.folder);
        for byte in node.vm.as_str().as_bytes() {
            random.0 ^= u64::from(*byte);
            random.0 = random.next();
        }
        random
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A random duration from `base` up to, but not including, twice `base`.
    pub(crate) fn timeout(&mut self, base: Duration) -> Duration {
        let base_us = (base.as_micros() as u64).max(1);
        Duration::from_micros(base_us + self.next() % base_us)
    }
}
