//! Links between replicas: cuts in one direction or both, loss, copies, delay.

use std::collections::BTreeSet;

use hooklug_types::NodeId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::fault_profile::Weather;

/// Links that are cut, by direction.
#[derive(Debug, Default)]
pub(crate) struct Network {
    cut: BTreeSet<(NodeId, NodeId)>,
}

impl Network {
    pub(crate) fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cut.insert((from, to));
    }

    pub(crate) fn is_cut(&self, from: NodeId, to: NodeId) -> bool {
        self.cut.contains(&(from, to))
    }

    pub(crate) fn heal(&mut self, from: NodeId, to: NodeId) {
        self.cut.remove(&(from, to));
    }

    pub(crate) fn heal_all(&mut self) {
        self.cut.clear();
    }

    /// Delays after which copies of a packet arrive; empty when it is lost.
    pub(crate) fn fate(
        &self,
        from: NodeId,
        to: NodeId,
        weather: &Weather,
        random: &mut ChaCha8Rng,
    ) -> Vec<u64> {
        if self.is_cut(from, to) || chance(random, weather.drop) {
            return Vec::new();
        }
        let copies = if chance(random, weather.duplicate) { 2 } else { 1 };
        (0..copies).map(|_| delay(weather, random)).collect()
    }
}

/// Whether something with a chance per mille happens.
pub(crate) fn chance(random: &mut ChaCha8Rng, per_mille: u32) -> bool {
    per_mille > 0 && random.random_range(0..1_000) < per_mille
}

fn delay(weather: &Weather, random: &mut ChaCha8Rng) -> u64 {
    let usual = random.random_range(1..=weather.max_delay);
    if chance(random, weather.slow) {
        usual + random.random_range(0..=weather.max_slow_delay)
    } else {
        usual
    }
}
