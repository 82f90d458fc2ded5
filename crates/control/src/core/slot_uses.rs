//! How the slots of services are used, as session-host engines tell it with their heartbeats. Pure: time is
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

/// What each engine told last.
#[derive(Debug, Clone, Default)]
pub struct SlotUses {
    told: BTreeMap<NodeId, Told>,
}

impl SlotUses {
    /// Takes a heartbeat; one of a node without an engine changes nothing.
    pub fn heard(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let Some(engine) = &heartbeat.engine else { return };
        let (service, uses) = (engine.service.clone(), heartbeat.slot_uses.clone());
        self.told.insert(heartbeat.from.node, Told { service, uses, at: now });
    }

    /// Drops what engines told that have been silent for as long as a node that is given up.
    pub fn look(&mut self, now: Instant) {
        self.told.retain(|_, told| now.saturating_duration_since(told.at) < DEAD_AFTER);
    }

    /// Sums over all engines, by service and group; turns of no group come first.
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
                // Each engine keeps its own share, so what is lent is counted engine by engine.
                sum.borrowed += one.running.saturating_sub(one.reserved);
            }
        }
        sums.into_values().collect()
    }
}
