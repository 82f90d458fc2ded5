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
    /// Units between two client calls, at most.
    pub(crate) max_client_pause: u64,
    pub(crate) max_down: u64,
    pub(crate) max_cut: u64,
    pub(crate) max_freeze: u64,
}

impl Weather {
    /// Draws the rates of a run.
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
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
            max_client_pause: u64::from(one_of(&[4, 20, 80])),
            max_down: u64::from(one_of(&[5, 50, 200, 600])),
            max_cut: u64::from(one_of(&[50, 300, 800])),
            max_freeze: u64::from(one_of(&[100, 600])),
        }
    }

    /// No faults: what the group recovers in.
    pub(crate) fn calm() -> Self {
        Self {
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
            max_client_pause: 20,
            max_down: 1,
            max_cut: 1,
            max_freeze: 1,
        }
    }
}
