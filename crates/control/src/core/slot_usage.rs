//! Slot usage of services, as session-host engines report it in their heartbeats. Pure: time is
//! passed in.

use std::collections::BTreeMap;
use std::time::Instant;

use hooklug_protocol::control::{Heartbeat, ServiceSlotUse, SlotUse};
use hooklug_types::{NodeId, ServiceName, WindowGroup};

use super::members::DEAD_AFTER;

#[derive(Debug, Clone)]
struct Told {
    service: ServiceName,
    uses: Vec<SlotUse>,
    at: Instant,
}

/// The last slot usage report of each engine.
#[derive(Debug, Clone, Default)]
pub struct SlotUses {
    told: BTreeMap<NodeId, Told>,
}

impl SlotUses {
    /// Records the report in a heartbeat; a heartbeat of a node without an engine is ignored.
    pub fn heard(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let Some(engine) = &heartbeat.engine else { return };
        let (service, uses) = (engine.service.clone(), heartbeat.slot_uses.clone());
        self.told.insert(heartbeat.from.node, Told { service, uses, at: now });
    }

    /// Removes the reports of engines that have sent no heartbeat for [`DEAD_AFTER`].
    pub fn look(&mut self, now: Instant) {
        self.told.retain(|_, told| now.saturating_duration_since(told.at) < DEAD_AFTER);
    }

    /// Returns the sums over all engines, by service and group; turns without a group come first.
    #[must_use]
    pub fn sums(&self) -> Vec<ServiceSlotUse> {
        let mut sums: BTreeMap<(&ServiceName, &Option<WindowGroup>), ServiceSlotUse> =
            BTreeMap::new();
        for Told { service, uses, .. } in self.told.values() {
            for one in uses {
                let empty = || ServiceSlotUse {
                    service: service.clone(),
                    group: one.group.clone(),
                    engines: 0,
                    reserved: 0,
                    used: 0,
                    borrowed: 0,
                };
                let sum = sums.entry((service, &one.group)).or_insert_with(empty);
                sum.engines += 1;
                sum.reserved += one.reserved;
                sum.used += one.running;
                // Slots are reserved per engine, so borrowed slots are counted per engine too.
                sum.borrowed += one.running.saturating_sub(one.reserved);
            }
        }
        sums.into_values().collect()
    }
}
