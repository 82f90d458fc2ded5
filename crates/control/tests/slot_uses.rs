//! Slot usage reported by engines, summed for operators.

use std::time::{Duration, Instant};

use hooklug_control::core::members::DEAD_AFTER;
use hooklug_control::core::slot_usage::SlotUsageTable;
use hooklug_protocol::control::{
    Heartbeat, NodeAddress, ServiceSlotUsage, SessionHostInfo, SlotUsage,
};
use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole};

fn heartbeat(node: u64, service: &str, slot_usage: Vec<SlotUsage>) -> Heartbeat {
    Heartbeat {
        from: NodeAddress {
            node: NodeId(node),
            incarnation: Incarnation(1),
            role: NodeRole::Engine,
            rpc: ([127, 0, 0, 1], 1).into(),
            http: ([127, 0, 0, 1], 2).into(),
            zone: "z1".parse().expect("valid"),
        },
        bundle: BundleVersion(1),
        engine: Some(SessionHostInfo {
            engine: format!("engine-{node}").parse().expect("valid"),
            service: service.parse().expect("valid"),
            version: "v1".parse().expect("valid"),
            ready: true,
            draining: false,
            slots: 8,
        }),
        load: None,
        statistics: Vec::new(),
        slot_usage,
    }
}

fn slot_use(group: Option<&str>, reserved: u32, running: u32) -> SlotUsage {
    SlotUsage { group: group.map(|g| g.parse().expect("valid")), reserved, running }
}

fn sum(service: &str, group: Option<&str>, counts: [u32; 4]) -> ServiceSlotUsage {
    let [engines, reserved, used, borrowed] = counts;
    ServiceSlotUsage {
        service: service.parse().expect("valid"),
        group: group.map(|g| g.parse().expect("valid")),
        engines,
        reserved,
        used,
        borrowed,
    }
}

#[test]
fn slot_uses_are_summed_by_service_and_group() {
    let now = Instant::now();
    let mut usage = SlotUsageTable::default();
    usage.record_heartbeat(
        &heartbeat(1, "advisor", vec![slot_use(Some("frost"), 4, 6), slot_use(None, 0, 2)]),
        now,
    );
    usage.record_heartbeat(&heartbeat(2, "advisor", vec![slot_use(Some("frost"), 4, 1)]), now);
    usage.record_heartbeat(&heartbeat(3, "planner", vec![slot_use(Some("frost"), 2, 2)]), now);
    let expected = [
        sum("advisor", None, [1, 0, 2, 2]),
        sum("advisor", Some("frost"), [2, 8, 7, 2]),
        sum("planner", Some("frost"), [1, 2, 2, 0]),
    ];
    assert_eq!(usage.sums(), expected);
    usage.record_heartbeat(&heartbeat(1, "advisor", Vec::new()), now + Duration::from_secs(1));
    assert_eq!(
        usage.sums()[0],
        sum("advisor", Some("frost"), [1, 4, 1, 0]),
        "the latest report counts"
    );
}

#[test]
fn slot_uses_of_an_unresponsive_engine_are_dropped() {
    let now = Instant::now();
    let mut usage = SlotUsageTable::default();
    usage.record_heartbeat(&heartbeat(1, "advisor", vec![slot_use(None, 0, 1)]), now);
    usage.record_heartbeat(
        &heartbeat(2, "advisor", vec![slot_use(None, 0, 1)]),
        now + DEAD_AFTER / 2,
    );
    usage.remove_expired(now + DEAD_AFTER);
    assert_eq!(usage.sums(), [sum("advisor", None, [1, 0, 1, 1])]);
}
