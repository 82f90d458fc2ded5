//! Simulated network: partitioned links in one or both directions, packet loss, duplication and
//! delay.

use std::collections::BTreeSet;

use hooklug_types::NodeId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::fault_profile::FaultProfile;

/// The partitioned links, by direction.
#[derive(Debug, Default)]
pub(crate) struct Network {
    blocked: BTreeSet<(NodeId, NodeId)>,
}

impl Network {
    pub(crate) fn block(&mut self, from: NodeId, to: NodeId) {
        self.blocked.insert((from, to));
    }

    pub(crate) fn is_blocked(&self, from: NodeId, to: NodeId) -> bool {
        self.blocked.contains(&(from, to))
    }

    pub(crate) fn heal(&mut self, from: NodeId, to: NodeId) {
        self.blocked.remove(&(from, to));
    }

    pub(crate) fn heal_all(&mut self) {
        self.blocked.clear();
    }

    /// Draws the delay of each copy of a packet that arrives; empty if the packet is lost.
    pub(crate) fn delivery_delays(
        &self,
        from: NodeId,
        to: NodeId,
        fault_profile: &FaultProfile,
        random: &mut ChaCha8Rng,
    ) -> Vec<u64> {
        if self.is_blocked(from, to) || chance(random, fault_profile.drop) {
            return Vec::new();
        }
        let copies = if chance(random, fault_profile.duplicate) { 2 } else { 1 };
        (0..copies).map(|_| delay(fault_profile, random)).collect()
    }
}

/// Returns true with the given probability per mille.
pub(crate) fn chance(random: &mut ChaCha8Rng, per_mille: u32) -> bool {
    per_mille > 0 && random.random_range(0..1_000) < per_mille
}

fn delay(fault_profile: &FaultProfile, random: &mut ChaCha8Rng) -> u64 {
    let base_delay = random.random_range(1..=fault_profile.max_delay);
    if chance(random, fault_profile.slow) {
        base_delay + random.random_range(0..=fault_profile.max_slow_delay)
    } else {
        base_delay
    }
}
