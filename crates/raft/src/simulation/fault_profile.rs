//! Fault rates, delays and settings of a run, drawn from its seed, so that runs differ in the kind
//! of faults and not only in their order.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time units per tick of a replica without clock drift.
pub(crate) const TICK_UNITS: u64 = 10;

/// Rates of one run. Probabilities are per mille; times are in units, [`TICK_UNITS`] per tick.
#[derive(Debug, Clone)]
pub(crate) struct FaultProfile {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    /// Probability that a packet is delayed by up to `max_slow_delay` more.
    pub(crate) slow: u32,
    pub(crate) max_delay: u64,
    pub(crate) max_slow_delay: u64,
    pub(crate) max_sync: u64,
    pub(crate) crash: u32,
    pub(crate) partition: u32,
    pub(crate) freeze: u32,
    pub(crate) lose_disk: u32,
    pub(crate) change_members: u32,
    pub(crate) compact: u32,
    pub(crate) transfer: u32,
    /// Probability that a new leader crashes or is partitioned within `max_leader_uptime` units.
    pub(crate) leader_failure: u32,
    pub(crate) max_leader_uptime: u64,
    /// Maximum number of units between two client requests.
    pub(crate) max_request_interval: u64,
    pub(crate) max_downtime: u64,
    pub(crate) max_partition: u64,
    pub(crate) max_freeze: u64,
    /// Raft settings of the replicas, which determine how entries are grouped into appends.
    pub(crate) max_append_bytes: u32,
    pub(crate) max_inflight: u32,
    /// Minimum and maximum number of initial voters.
    pub(crate) min_voters: u64,
    pub(crate) max_voters: u64,
}

impl FaultProfile {
    /// Draws the rates of a run. One run in four has frequent leader failures, or every one if
    /// `always_unstable_leaders` is set.
    pub(crate) fn draw(random: &mut ChaCha8Rng, always_unstable_leaders: bool) -> Self {
        let base = Self::draw_base(random);
        let unstable_leaders = random.random_range(0..4) == 0 || always_unstable_leaders;
        if unstable_leaders { base.with_unstable_leaders(random) } else { base }
    }

    /// Makes leaders fail in quick succession while entries are replicated one at a time, so that
    /// logs diverge and uncommitted entries of several terms coexist (Raft, figure 8).
    fn with_unstable_leaders(self, random: &mut ChaCha8Rng) -> Self {
        let max_delay = random.random_range(2..25);
        Self {
            drop: random.random_range(0..100),
            slow: 20,
            max_delay,
            max_slow_delay: 100,
            max_sync: 5,
            crash: random.random_range(0..10),
            partition: random.random_range(0..10),
            leader_failure: 900,
            max_leader_uptime: 4 * max_delay,
            lose_disk: 0,
            change_members: 0,
            max_request_interval: random.random_range(10..60),
            max_downtime: random.random_range(20..300),
            max_partition: random.random_range(50..300),
            max_append_bytes: 1,
            max_inflight: 1,
            min_voters: 3,
            max_voters: 3,
            ..self
        }
    }

    fn draw_base(random: &mut ChaCha8Rng) -> Self {
        let mut one_of = |choices: &[u32]| choices[random.random_range(0..choices.len())];
        Self {
            drop: one_of(&[0, 0, 10, 50, 150, 300]),
            duplicate: one_of(&[0, 10, 100]),
            slow: one_of(&[0, 5, 50, 150]),
            max_delay: u64::from(one_of(&[1, 5, 20, 60])),
            max_slow_delay: u64::from(one_of(&[100, 400, 1_500])),
            max_sync: u64::from(one_of(&[1, 5, 30])),
            crash: one_of(&[0, 5, 30, 100]),
            partition: one_of(&[0, 10, 50, 100]),
            freeze: one_of(&[0, 5, 30]),
            lose_disk: one_of(&[0, 0, 5, 20]),
            change_members: one_of(&[0, 20, 100]),
            compact: one_of(&[0, 20, 150]),
            transfer: one_of(&[0, 0, 20]),
            leader_failure: one_of(&[0, 0, 200]),
            max_leader_uptime: u64::from(one_of(&[30, 300])),
            max_request_interval: u64::from(one_of(&[4, 20, 80])),
            max_downtime: u64::from(one_of(&[5, 50, 200, 600])),
            max_partition: u64::from(one_of(&[50, 300, 800])),
            max_freeze: u64::from(one_of(&[100, 600])),
            max_append_bytes: one_of(&[1, 100, 400]),
            max_inflight: one_of(&[1, 4, 16]),
            min_voters: 1,
            max_voters: 5,
        }
    }

    /// The same settings without faults, for the recovery phase.
    pub(crate) fn without_faults(&self) -> Self {
        Self {
            max_append_bytes: self.max_append_bytes,
            max_inflight: self.max_inflight,
            min_voters: self.min_voters,
            max_voters: self.max_voters,
            drop: 0,
            duplicate: 0,
            slow: 0,
            max_delay: 2,
            max_slow_delay: 1,
            max_sync: 2,
            crash: 0,
            partition: 0,
            freeze: 0,
            lose_disk: 0,
            change_members: 0,
            compact: 0,
            transfer: 0,
            leader_failure: 0,
            max_leader_uptime: 1,
            max_request_interval: 20,
            max_downtime: 1,
            max_partition: 1,
            max_freeze: 1,
        }
    }
}
