//! Measures the cost of the control plane with hollow nodes and real cores and stores, by the
//! number of nodes, the rate of view changes and the number of tenants in a bundle.

use std::time::Duration;

use serde_json::json;

use super::fit::Observation;
use super::fleet_usage::Span;
use super::report::Report;
use super::report_slope;
use crate::hollow::{Field, PerNode};

/// Hollow nodes of each step; a third are gateways, the others are engines with leases.
const NODE_STEPS: [usize; 5] = [40, 80, 160, 240, 320];
/// View changes per second in the second measurement of each step.
const CHANGES_A_SECOND: f64 = 4.0;
/// Number of tenants of each step.
const TENANT_STEPS: [usize; 5] = [100, 2_000, 5_000, 10_000, 17_000];
/// Number of hollow nodes that install the bundles.
const INSTALLING_NODES: usize = 24;
/// Bundle changes at each number of tenants.
const BUNDLE_CHANGES: usize = 3;
/// Pause before an idle span is measured.
const SETTLE: Duration = Duration::from_secs(3);
/// Maximum time until all nodes see each other.
const LONGEST_GATHERING: Duration = Duration::from_secs(60);
const STORES: usize = 3;
const CORES: usize = 3;

struct Measured {
    nodes: f64,
    changes: f64,
    node: PerNode,
    real: Span,
}

/// Measures the cost of each role by the number of nodes, idle and with view changes.
pub(super) async fn nodes(report: &Report, span: Duration) -> anyhow::Result<()> {
    let mut field = Field::start(STORES, CORES).await?;
    let mut all = Vec::new();
    for (step, nodes) in NODE_STEPS.into_iter().enumerate() {
        let more = nodes - if step == 0 { 0 } else { NODE_STEPS[step - 1] };
        field.crowd.grow(more / 3, more - more / 3).await?;
        field.crowd.see_all(nodes + field.real_nodes(), LONGEST_GATHERING).await?;
        tokio::time::sleep(SETTLE).await;
        for rate in [0.0, CHANGES_A_SECOND] {
            let measured = watch(&field, nodes, rate, span).await?;
            let fields = json!({
                "experiment": "nodes",
                "nodes": nodes,
                "view_changes": measured.changes,
                "hollow_node": measured.node,
                "real": measured.real,
            });
            report.line("observation", &fields)?;
            all.push(measured);
        }
    }
    report_nodes(report, &all)
}

async fn watch(field: &Field, nodes: usize, rate: f64, span: Duration) -> anyhow::Result<Measured> {
    let (before, crowd) = (field.look().await?, field.crowd.look()?);
    let mut changes = 0;
    if rate > 0.0 {
        let end = tokio::time::Instant::now() + span;
        while tokio::time::Instant::now() < end {
            // The last nodes of each step are engines.
            field.crowd.turn_draining(nodes - 1 - changes % 16);
            changes += 1;
            tokio::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    } else {
        tokio::time::sleep(span).await;
    }
    let node = field.crowd.look()?.since(&crowd);
    let real = field.look().await?.since(&before);
    Ok(Measured { nodes: nodes as f64, changes: changes as f64, node, real })
}

fn report_nodes(report: &Report, all: &[Measured]) -> anyhow::Result<()> {
    let rate = |m: &Measured| m.changes / m.real.seconds;
    let fitted = |role: &str, cost: &str, drivers: &[&str; 2], of: &dyn Fn(&Measured) -> f64| {
        // The total cost of a change, over all nodes, is proportional to their number.
        let observe = |m: &Measured| {
            let second = if drivers[1] == PER_NODE_CHANGE { rate(m) } else { rate(m) * m.nodes };
            Observation { drivers: vec![m.nodes, second], cost: of(m) }
        };
        let observations: Vec<_> = all.iter().map(observe).collect();
        report_slope(report, ("nodes", role, cost), drivers, &observations)
    };
    let own = ["node in the cluster", PER_NODE_CHANGE];
    fitted("node", "percent of a core", &own, &|m| m.node.cpu_percent)?;
    fitted("node", "bytes sent a second", &own, &|m| m.node.sent_bytes_a_second)?;
    fitted("node", "bytes received a second", &own, &|m| m.node.received_bytes_a_second)?;
    fitted("node", "frames a second", &own, &|m| m.node.frames_a_second)?;
    fitted("node", "resident bytes", &own, &|m| m.node.resident_bytes)?;
    let fanned = ["node in the cluster", "view change told to a node, a second"];
    for (role, name) in [("core", "three cores"), ("store", "three stores")] {
        let a_second = |m: &Measured, value: f64| value / m.real.seconds;
        fitted(name, "cpu seconds a second", &fanned, &|m| {
            a_second(m, m.real.role(role).cpu_seconds)
        })?;
        fitted(name, "bytes sent a second", &fanned, &|m| {
            a_second(m, m.real.role(role).rpc_sent_bytes)
        })?;
        fitted(name, "frames a second", &fanned, &|m| a_second(m, m.real.role(role).rpc_frames))?;
    }
    Ok(())
}

const PER_NODE_CHANGE: &str = "view change a second";

/// Measures the cost of a bundle change at a node by the number of tenants.
pub(super) async fn bundles(report: &Report) -> anyhow::Result<()> {
    let mut field = Field::start(STORES, CORES).await?;
    field.crowd.grow(INSTALLING_NODES / 3, INSTALLING_NODES - INSTALLING_NODES / 3).await?;
    field.crowd.see_all(INSTALLING_NODES + field.real_nodes(), LONGEST_GATHERING).await?;
    let mut observed: Vec<(f64, [f64; 4])> = Vec::new();
    for tenants in TENANT_STEPS {
        field.set_tenants(tenants).await?;
        tokio::time::sleep(SETTLE).await;
        let quiet = field.crowd.watch(SETTLE).await?;
        let crowd = field.crowd.look()?;
        let before = field.look().await?;
        let mut last = Vec::new();
        for change in 0..BUNDLE_CHANGES {
            last.push(field.change_tenant(change * 977).await?.last);
        }
        let busy = field.crowd.look()?.since(&crowd);
        let real = field.look().await?.since(&before);
        let changes = BUNDLE_CHANGES as f64;
        // Subtracts the usage of an idle node.
        let of_change =
            |busy_rate: f64, quiet_rate: f64| (busy_rate - quiet_rate) * busy.seconds / changes;
        let cost = [
            of_change(busy.cpu_percent, quiet.cpu_percent) / 100.0,
            of_change(busy.sent_bytes_a_second, quiet.sent_bytes_a_second),
            of_change(busy.received_bytes_a_second, quiet.received_bytes_a_second),
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
    for (place, name) in names.into_iter().enumerate() {
        let observe = |(tenants, cost): &(f64, [f64; 4])| Observation {
            drivers: vec![*tenants],
            cost: cost[place],
        };
        let observations: Vec<_> = observed.iter().map(observe).collect();
        report_slope(report, ("bundles", "node", name), &["tenant"], &observations)?;
    }
    Ok(())
}
