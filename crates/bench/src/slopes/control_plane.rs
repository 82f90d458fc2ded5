//! Measures the cost of the control plane with hollow nodes and real cores and stores, by the
//! number of nodes, the rate of view changes and the number of tenants in a bundle.

use std::time::Duration;

use serde_json::json;

use super::fit::Observation;
use super::fleet_usage::UsageSpan;
use super::report::Report;
use super::report_slope;
use crate::hollow::{NodeUsage, TestCluster};

/// Hollow nodes of each step; a third are gateways, the others are engines with leases.
const NODE_STEPS: [usize; 5] = [40, 80, 160, 240, 320];
/// View changes per second in the second measurement of each step.
const VIEW_CHANGES_PER_SECOND: f64 = 4.0;
/// Number of tenants of each step.
const TENANT_STEPS: [usize; 5] = [100, 2_000, 5_000, 10_000, 17_000];
/// Number of hollow nodes that install the bundles.
const INSTALLING_NODES: usize = 24;
/// Bundle changes at each number of tenants.
const BUNDLE_CHANGES: usize = 3;
/// Pause before an idle span is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Maximum time until all nodes see each other.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(60);
const STORES: usize = 3;
const CORES: usize = 3;

struct Measurement {
    nodes: f64,
    changes: f64,
    node: NodeUsage,
    real: UsageSpan,
}

/// Measures the cost of each role by the number of nodes, idle and with view changes.
pub(super) async fn nodes(report: &Report, span: Duration) -> anyhow::Result<()> {
    let mut cluster = TestCluster::start(STORES, CORES).await?;
    let mut measurements = Vec::new();
    for (step, nodes) in NODE_STEPS.into_iter().enumerate() {
        let more = nodes - if step == 0 { 0 } else { NODE_STEPS[step - 1] };
        cluster.nodes.start_more(more / 3, more - more / 3).await?;
        cluster.nodes.wait_for_members(nodes + cluster.real_nodes(), MEMBERSHIP_TIMEOUT).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        for rate in [0.0, VIEW_CHANGES_PER_SECOND] {
            let measured = measure(&cluster, nodes, rate, span).await?;
            let fields = json!({
                "experiment": "nodes",
                "nodes": nodes,
                "view_changes": measured.changes,
                "hollow_node": measured.node,
                "real": measured.real,
            });
            report.line("observation", &fields)?;
            measurements.push(measured);
        }
    }
    report_nodes(report, &measurements)
}

async fn measure(
    cluster: &TestCluster,
    nodes: usize,
    rate: f64,
    span: Duration,
) -> anyhow::Result<Measurement> {
    let (before, nodes_before) = (cluster.read_usage().await?, cluster.nodes.read_usage()?);
    let mut changes = 0;
    if rate > 0.0 {
        let end = tokio::time::Instant::now() + span;
        while tokio::time::Instant::now() < end {
            // The last nodes of each step are engines.
            cluster.nodes.toggle_draining(nodes - 1 - changes % 16);
            changes += 1;
            tokio::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    } else {
        tokio::time::sleep(span).await;
    }
    let node = cluster.nodes.read_usage()?.since(&nodes_before);
    let real = cluster.read_usage().await?.since(&before);
    Ok(Measurement { nodes: nodes as f64, changes: changes as f64, node, real })
}

fn report_nodes(report: &Report, measurements: &[Measurement]) -> anyhow::Result<()> {
    let rate = |m: &Measurement| m.changes / m.real.seconds;
    let fitted = |role: &str, cost: &str, drivers: &[&str; 2], of: &dyn Fn(&Measurement) -> f64| {
        // The total cost of a change, over all nodes, is proportional to their number.
        let to_observation = |m: &Measurement| {
            let second = if drivers[1] == VIEW_CHANGE_RATE { rate(m) } else { rate(m) * m.nodes };
            Observation { drivers: vec![m.nodes, second], cost: of(m) }
        };
        let observations: Vec<_> = measurements.iter().map(to_observation).collect();
        report_slope(report, ("nodes", role, cost), drivers, &observations)
    };
    let node_drivers = ["node in the cluster", VIEW_CHANGE_RATE];
    fitted("node", "percent of a core", &node_drivers, &|m| m.node.cpu_percent)?;
    fitted("node", "bytes sent a second", &node_drivers, &|m| m.node.sent_bytes_a_second)?;
    fitted("node", "bytes received a second", &node_drivers, &|m| m.node.received_bytes_a_second)?;
    fitted("node", "frames a second", &node_drivers, &|m| m.node.frames_a_second)?;
    fitted("node", "resident bytes", &node_drivers, &|m| m.node.resident_bytes)?;
    let fan_out_drivers = ["node in the cluster", "view change told to a node, a second"];
    for (role, name) in [("core", "three cores"), ("store", "three stores")] {
        let per_second = |m: &Measurement, value: f64| value / m.real.seconds;
        fitted(name, "cpu seconds a second", &fan_out_drivers, &|m| {
            per_second(m, m.real.role(role).cpu_seconds)
        })?;
        fitted(name, "bytes sent a second", &fan_out_drivers, &|m| {
            per_second(m, m.real.role(role).rpc_sent_bytes)
        })?;
        fitted(name, "frames a second", &fan_out_drivers, &|m| {
            per_second(m, m.real.role(role).rpc_frames)
        })?;
    }
    Ok(())
}

const VIEW_CHANGE_RATE: &str = "view change a second";

/// Measures the cost of a bundle change at a node by the number of tenants.
pub(super) async fn bundles(report: &Report) -> anyhow::Result<()> {
    let mut cluster = TestCluster::start(STORES, CORES).await?;
    cluster.nodes.start_more(INSTALLING_NODES / 3, INSTALLING_NODES - INSTALLING_NODES / 3).await?;
    cluster
        .nodes
        .wait_for_members(INSTALLING_NODES + cluster.real_nodes(), MEMBERSHIP_TIMEOUT)
        .await?;
    let mut observed: Vec<(f64, [f64; 4])> = Vec::new();
    for tenants in TENANT_STEPS {
        cluster.set_tenants(tenants).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let quiet = cluster.nodes.measure_idle(SETTLE_TIME).await?;
        let nodes_before = cluster.nodes.read_usage()?;
        let before = cluster.read_usage().await?;
        let mut last = Vec::new();
        for change in 0..BUNDLE_CHANGES {
            last.push(cluster.change_tenant_limit(change * 977).await?.last);
        }
        let busy = cluster.nodes.read_usage()?.since(&nodes_before);
        let real = cluster.read_usage().await?.since(&before);
        let changes = BUNDLE_CHANGES as f64;
        // Subtracts the usage of an idle node.
        let cost_per_change =
            |busy_rate: f64, quiet_rate: f64| (busy_rate - quiet_rate) * busy.seconds / changes;
        let cost = [
            cost_per_change(busy.cpu_percent, quiet.cpu_percent) / 100.0,
            cost_per_change(busy.sent_bytes_a_second, quiet.sent_bytes_a_second),
            cost_per_change(busy.received_bytes_a_second, quiet.received_bytes_a_second),
            busy.resident_bytes,
        ];
        let fields = json!({
            "experiment": "bundles",
            "tenants": tenants,
            "in_force_everywhere_seconds": last,
            "cpu_seconds_a_node": cost[0],
            "sent_bytes_a_node": cost[1],
            "received_bytes_a_node": cost[2],
            "resident_bytes_a_node": cost[3],
            "hollow_node": busy,
            "quiet_hollow_node": quiet,
            "real": real,
        });
        report.line("observation", &fields)?;
        observed.push((tenants as f64, cost));
    }
    let names = [
        "cpu seconds a change",
        "bytes sent a change",
        "bytes received a change",
        "resident bytes",
    ];
    for (index, name) in names.into_iter().enumerate() {
        let to_observation = |(tenants, cost): &(f64, [f64; 4])| Observation {
            drivers: vec![*tenants],
            cost: cost[index],
        };
        let observations: Vec<_> = observed.iter().map(to_observation).collect();
        report_slope(report, ("bundles", "node", name), &["tenant"], &observations)?;
    }
    Ok(())
}
