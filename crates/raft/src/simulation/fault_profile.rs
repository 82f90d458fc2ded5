//! How bad a run is: rates drawn from its seed, so that seeds differ in kind and not only in
//! order.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time units between two ticks of a replica with a true clock.
pub(crate) const TICK_UNITS: u64 = 10;

/// Rates of one run. Chances are per mille, times in units ([`TICK_UNITS`] a tick).
#[derive(Debug, Clone)]
pub(crate) struct Weather {
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    /// Chance that a packet takes far longer.
    pub(crate) slow: u32,
    pub(crate) max_delay: u64,
    pub(crate) max_slow_delay: u64,
    pub(crate) max_sync: u64,
    pub(crate) crash: u32,
    pub(crate) cut: u32,
    pub(crate) freeze: u32,
    pub(crate) lose_disk: u32,
    pub(crate) change_members: u32,
    pub(crate) compact: u32,
    pub(crate) transfer: u32,
    /// Chance that a new leader crashes or is cut off within `max_reign` units.
    pub(crate) leader_falls: u32,
    pub(crate) max_reign: u64,
    /// Units between two client calls, at most.
    pub(crate) max_client_pause: u64,
    pub(crate) max_down: u64,
    pub(crate) max_cut: u64,
    pub(crate) max_freeze: u64,
    /// Settings of the replicas, as they decide which entries travel together.
    pub(crate) max_append_bytes: u32,
    pub(crate) max_inflight: u32,
    /// Voters at the start, at least and at most.
    pub(crate) min_voters: u64,
    pub(crate) max_voters: u64,
}

impl Weather {
    /// Draws the rates of a run; one seed in four is a storm, or each one.
    pub(crate) fn draw(random: &mut ChaCha8Rng, always_storm: bool) -> Self {
        let usual = Self::draw_usual(random);
        let storm = random.random_range(0..4) == 0 || always_storm;
        if storm { usual.into_storm(random) } else { usual }
    }

    /// Leaders fall one after another while entries trickle one at a time, so that logs part and
    /// entries of several terms lie uncommitted side by side (Raft, figure 8).
    fn into_storm(self, random: &mut ChaCha8Rng) -> Self {
        let max_delay = random.random_range(2..25);
        Self {
            drop: random.random_range(0..100),
            slow: 20,
            max_delay,
            max_slow_delay: 100,
            max_sync: 5,
            crash: random.random_range(0..10),
            cut: random.random_range(0..10),
            leader_falls: 900,
            max_reign: 4 * max_delay,
            lose_disk: 0,
            change_members: 0,
            max_client_pause: random.random_range(10..60),
            max_down: random.random_range(20..300),
            max_cut: random.random_range(50..300),
            max_append_bytes: 1,
            max_inflight: 1,
            min_voters: 3,
            max_voters: 3,
            ..self
        }
    }

    fn draw_usual(random: &mut ChaCha8Rng) -> Self {
        let mut one_of = |choices: &[u32]| choices[random.random_range(0..choices.len())];
        Self {
            drop: one_of(&[0, 0, 10, 50, 150, 300]),
            duplicate: one_of(&[0, 10, 100]),
            slow: one_of(&[0, 5, 50, 150]),
            max_delay: u64::from(one_of(&[1, 5, 20, 60])),
            max_slow_delay: u64::from(one_of(&[100, 400, 1_500])),
            max_sync: u64::from(one_of(&[1, 5, 30])),
            crash: one_of(&[0, 5, 30, 100]),
            cut: one_of(&[0, 10, 50, 100]),
            freeze: one_of(&[0, 5, 30]),
            lose_disk: one_of(&[0, 0, 5, 20]),
            change_members: one_of(&[0, 20, 100]),
            compact: one_of(&[0, 20, 150]),
            transfer: one_of(&[0, 0, 20]),
            leader_falls: one_of(&[0, 0, 200]),
            max_reign: u64::from(one_of(&[30, 300])),
            max_client_pause: u64::from(one_of(&[4, 20, 80])),
            max_down: u64::from(one_of(&[5, 50, 200, 600])),
            max_cut: u64::from(one_of(&[50, 300, 800])),
            max_freeze: u64::from(one_of(&[100, 600])),
            max_append_bytes: one_of(&[1, 100, 400]),
            max_inflight: one_of(&[1, 4, 16]),
            min_voters: 1,
            max_voters: 5,
        }
    }

    /// The same settings without faults: what the group recovers in.
    pub(crate) fn calm(&self) -> Self {
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
            cut: 0,
            freeze: 0,
            lose_disk: 0,
            change_members: 0,
            compact: 0,
            transfer: 0,
            leader_falls: 0,
            max_reign: 1,
            max_client_pause: 20,
            max_down: 1,
            max_cut: 1,
            max_freeze: 1,
        }
    }
}
