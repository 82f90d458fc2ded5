//! Slot usage of services, as session-host engines report it in their heartbeats. Pure: time is
//! passed in.

use std::collections::BTreeMap;
use std::time::Instant;

use hooklug_protocol::control::{Heartbeat, ServiceSlotUsage, SlotUsage};
use hooklug_types::{NodeId, ServiceName, WindowGroup};

use super::members::DEAD_AFTER;

#[derive(Debug, Clone)]
struct EngineReport {
    service: ServiceName,
    slot_usage: Vec<SlotUsage>,
    at: Instant,
}

/// The last slot usage report of each engine.
#[derive(Debug, Clone, Default)]
pub struct SlotUsageTable {
    reports: BTreeMap<NodeId, EngineReport>,
}

impl SlotUsageTable {
    /// Records the report in a heartbeat; a heartbeat of a node without an engine is ignored.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let Some(engine) = &heartbeat.engine else { return };
        let (service, slot_usage) = (engine.service.clone(), heartbeat.slot_usage.clone());
        self.reports.insert(heartbeat.from.node, EngineReport { service, slot_usage, at: now });
    }

    /// Removes the reports of engines that have sent no heartbeat for [`DEAD_AFTER`].
    pub fn remove_expired(&mut self, now: Instant) {
        self.reports.retain(|_, report| now.saturating_duration_since(report.at) < DEAD_AFTER);
    }

    /// Returns the sums over all engines, by service and group; turns without a group come first.
    #[must_use]
    pub fn sums(&self) -> Vec<ServiceSlotUsage> {
        let mut sums: BTreeMap<(&ServiceName, &Option<WindowGroup>), ServiceSlotUsage> =
            BTreeMap::new();
        for EngineReport { service, slot_usage, .. } in self.reports.values() {
            for usage in slot_usage {
                let zero = || ServiceSlotUsage {
                    service: service.clone(),
                    group: usage.group.clone(),
                    engines: 0,
                    reserved: 0,
                    used: 0,
                    borrowed: 0,
                };
                let sum = sums.entry((service, &usage.group)).or_insert_with(zero);
                sum.engines += 1;
                sum.reserved += usage.reserved;
                sum.used += usage.running;
                // Slots are reserved per engine, so borrowed slots are counted per engine too.
                sum.borrowed += usage.running.saturating_sub(usage.reserved);
            }
        }
        sums.into_values().collect()
    }
}
