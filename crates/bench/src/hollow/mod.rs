//! Runs hundreds of hollow nodes against real cores and stores, at the size that the system is
//! designed for: membership, heartbeats, distribution of the view, bundle changes, restarts and the
//! failure of the core leader.

mod access;
mod node;
mod nodes;
mod records;
mod test_cluster;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hooklug_fleet::ProcessKind;
use serde_json::json;

pub(crate) use access::ClusterAccess;
pub(crate) use nodes::NodeUsage;
pub(crate) use records::{ProgramRecords, RecordWriter};
pub(crate) use test_cluster::TestCluster;

use crate::slopes::interrupt::interruptible;
use crate::slopes::report::Report;

/// Maximum time until all nodes see each other.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause after a change, so that its effects end before an idle span is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Arguments of `hooklug-bench hollow`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Number of hollow gateways.
    #[arg(long, default_value_t = 400)]
    gateways: usize,
    /// Number of hollow engines; each holds a lease.
    #[arg(long, default_value_t = 870)]
    engines: usize,
    /// Number of programs whose records are written to the shards, each with a session and a turn.
    #[arg(long, default_value_t = 49_000)]
    programs: usize,
    /// Number of tenants in the bundle.
    #[arg(long, default_value_t = 17_000)]
    tenants: usize,
    /// Number of consecutive bundle changes.
    #[arg(long, default_value_t = 6)]
    changes: usize,
    /// Number of restarts of hollow nodes.
    #[arg(long, default_value_t = 300)]
    restarts: usize,
    /// Restarts per second.
    #[arg(long, default_value_t = 10.0)]
    restart_rate: f64,
    /// Number of real stores.
    #[arg(long, default_value_t = 4)]
    stores: usize,
    /// Number of real cores.
    #[arg(long, default_value_t = 5)]
    cores: usize,
    /// Length of each measured idle span, in seconds.
    #[arg(long, default_value_t = 10)]
    span_seconds: u64,
    /// File to append the results to, as JSON lines.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Runs the scenario and reports each step. On Ctrl-C or SIGTERM it stops its processes.
pub async fn run(args: Args) -> anyhow::Result<()> {
    interruptible(scenario(args)).await
}

async fn scenario(args: Args) -> anyhow::Result<()> {
    let report = Report::start(args.out.as_deref())?;
    let mut cluster = TestCluster::start(args.stores, args.cores).await?;
    start_nodes(&args, &report, &mut cluster).await?;
    measure_idle_usage(&args, &report, &cluster, "quiet, one tenant").await?;
    let times = cluster.set_tenants(args.tenants).await?;
    report.line(
        "bundle",
        &json!({"step": "all tenants at once", "tenants": args.tenants, "seconds": times}),
    )?;
    tokio::time::sleep(SETTLE_TIME).await;
    measure_idle_usage(&args, &report, &cluster, "quiet, all tenants").await?;
    change_bundles(&args, &report, &mut cluster).await?;
    kill_core_leader(&report, &mut cluster).await?;
    restart_nodes(&args, &report, &mut cluster).await?;
    records::write_records(&report, &cluster, args.programs).await
}

async fn start_nodes(
    args: &Args,
    report: &Report,
    cluster: &mut TestCluster,
) -> anyhow::Result<()> {
    let start_time = Instant::now();
    cluster.nodes.start_more(args.gateways, args.engines).await?;
    let started = start_time.elapsed();
    let all = cluster.real_nodes() + args.gateways + args.engines;
    cluster.nodes.wait_for_members(all, MEMBERSHIP_TIMEOUT).await?;
    let seconds =
        json!({"started": started.as_secs_f64(), "all_seen": start_time.elapsed().as_secs_f64()});
    report.line("gathering", &json!({"members": all, "seconds": seconds}))?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(())
}

async fn measure_idle_usage(
    args: &Args,
    report: &Report,
    cluster: &TestCluster,
    step: &str,
) -> anyhow::Result<()> {
    let before = cluster.read_usage().await?;
    let node = cluster.nodes.measure_idle(Duration::from_secs(args.span_seconds)).await?;
    let real = cluster.read_usage().await?.since(&before);
    report.line("span", &json!({"step": step, "hollow_node": node, "real": real}))
}

async fn change_bundles(
    args: &Args,
    report: &Report,
    cluster: &mut TestCluster,
) -> anyhow::Result<()> {
    for change in 0..args.changes {
        let (before, nodes_before) = (cluster.read_usage().await?, cluster.nodes.read_usage()?);
        let times = cluster.change_tenant_limit(change * 977).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let node = cluster.nodes.read_usage()?.since(&nodes_before);
        let real = cluster.read_usage().await?.since(&before);
        let fields = json!({
            "step": "one tenant changed",
            "seconds": times,
            "hollow_node": node,
            "real": real,
        });
        report.line("bundle", &fields)?;
    }
    Ok(())
}

async fn kill_core_leader(report: &Report, cluster: &mut TestCluster) -> anyhow::Result<()> {
    let leader = cluster.fleet.core_leader().await?;
    cluster.fleet.kill(leader)?;
    let times = cluster.change_tenant_limit(1).await?;
    report.line("bundle", &json!({"step": "core leader killed just before", "seconds": times}))?;
    cluster.fleet.restart(leader).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(())
}

async fn restart_nodes(
    args: &Args,
    report: &Report,
    cluster: &mut TestCluster,
) -> anyhow::Result<()> {
    let (before, nodes_before, start_time) =
        (cluster.read_usage().await?, cluster.nodes.read_usage()?, Instant::now());
    let pause = Duration::from_secs_f64(1.0 / args.restart_rate);
    for n in 0..args.restarts {
        cluster.nodes.restart(n * 17).await?;
        tokio::time::sleep(pause).await;
    }
    let restarted = start_time.elapsed();
    let all = cluster.real_nodes() + args.gateways + args.engines;
    cluster.nodes.wait_for_members(all, MEMBERSHIP_TIMEOUT).await?;
    let node = cluster.nodes.read_usage()?.since(&nodes_before);
    let real = cluster.read_usage().await?.since(&before);
    let fields = json!({
        "restarts": args.restarts,
        "seconds": {"restarted": restarted.as_secs_f64(), "all_seen": start_time.elapsed().as_secs_f64()},
        "hollow_node": node,
        "real": real,
        "cores_running": cluster.fleet.names(ProcessKind::Core).len(),
    });
    report.line("restarts", &fields)
}
