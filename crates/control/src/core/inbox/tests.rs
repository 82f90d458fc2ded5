//! Queued items that are too old are dropped; recent ones are returned.

use std::time::{Duration, Instant};

use hooklug_protocol::control::{Heartbeat, LATENCY_BUCKETS, NodeAddress, VersionStatistics};
use hooklug_state::meta::HarmReport;
use hooklug_types::{
    BundleVersion, Incarnation, NodeId, NodeRole, RouteName, ServiceName, ServiceVersion, ZoneName,
};

use super::{Inbox, MAX_AGE, MAX_STATISTICS};

fn statistics(failures: u64) -> VersionStatistics {
    VersionStatistics {
        service: ServiceName::new("alarms").expect("valid"),
        version: ServiceVersion::new("v2").expect("valid"),
        route: RouteName::new("send-alarm").expect("valid"),
        successes: 0,
        failures,
        latency: [0; LATENCY_BUCKETS],
    }
}

fn heartbeat(node: u64, statistics: Vec<VersionStatistics>) -> Heartbeat {
    let address = "127.0.0.1:1".parse().expect("an address");
    Heartbeat {
        from: NodeAddress {
            node: NodeId(node),
            incarnation: Incarnation(1),
            role: NodeRole::Gateway,
            rpc: address,
            http: address,
            zone: ZoneName::new("z1").expect("valid"),
        },
        bundle: BundleVersion(1),
        engine: None,
        load: None,
        statistics,
        slot_usage: Vec::new(),
    }
}

fn harm() -> HarmReport {
    HarmReport {
        service: ServiceName::new("alarms").expect("valid"),
        version: ServiceVersion::new("v2").expect("valid"),
        route: None,
        reason: "seen by a gateway".to_owned(),
    }
}

#[test]
fn the_inbox_discards_outdated_heartbeats_and_reports() {
    let (inbox, start) = (Inbox::default(), Instant::now());
    inbox.push_heartbeat(heartbeat(1, vec![statistics(30)]), start);
    inbox.push_harm(harm(), start);
    let later = start + MAX_AGE + Duration::from_millis(1);
    inbox.push_heartbeat(heartbeat(2, vec![statistics(1)]), later);
    let received = inbox.take(later);
    let nodes: Vec<NodeId> = received.heartbeats.iter().map(|h| h.from.node).collect();
    assert_eq!(nodes, [NodeId(2)]);
    assert_eq!(received.statistics, [statistics(1)]);
    assert_eq!(received.harm, []);
}

#[test]
fn recent_inbox_entries_are_taken_once() {
    let (inbox, start) = (Inbox::default(), Instant::now());
    inbox.push_heartbeat(heartbeat(1, vec![statistics(1)]), start);
    inbox.push_heartbeat(heartbeat(1, vec![statistics(2)]), start);
    inbox.push_harm(harm(), start);
    inbox.push_harm(harm(), start);
    let received = inbox.take(start + MAX_AGE);
    assert_eq!(received.heartbeats.len(), 1);
    assert_eq!(received.statistics, [statistics(1), statistics(2)]);
    assert_eq!(received.harm, [harm()]);
    let nothing = inbox.take(start + MAX_AGE);
    assert!(nothing.heartbeats.is_empty() && nothing.statistics.is_empty());
}

#[test]
fn the_inbox_retains_the_newest_statistics() {
    let (inbox, start) = (Inbox::default(), Instant::now());
    let many = (0..=MAX_STATISTICS as u64).map(statistics).collect();
    inbox.push_heartbeat(heartbeat(1, many), start);
    let remaining = inbox.take(start).statistics;
    assert_eq!((remaining.len(), remaining[0].failures), (MAX_STATISTICS, 1));
}
