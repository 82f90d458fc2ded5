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

pub(crate) use access::Access;
pub(crate) use nodes::PerNode;
pub(crate) use records::{ProgramRecords, Writer};
pub(crate) use test_cluster::Field;

use crate::slopes::interrupt::interruptible;
use crate::slopes::report::Report;

/// Maximum time until all nodes see each other.
const LONGEST_GATHERING: Duration = Duration::from_secs(120);
/// Pause after a change, so that its effects end before an idle span is measured.
const SETTLE: Duration = Duration::from_secs(3);

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
    let report = Report::begin(args.out.as_deref())?;
    let mut field = Field::start(args.stores, args.cores).await?;
    gather(&args, &report, &mut field).await?;
    quiet(&args, &report, &field, "quiet, one tenant").await?;
    let times = field.set_tenants(args.tenants).await?;
    report.line(
        "bundle",
        &json!({"step": "all tenants at once", "tenants": args.tenants, "seconds": times}),
    )?;
    tokio::time::sleep(SETTLE).await;
    quiet(&args, &report, &field, "quiet, all tenants").await?;
    change_bundles(&args, &report, &mut field).await?;
    lose_leader(&report, &mut field).await?;
    restart(&args, &report, &mut field).await?;
    records::fill(&report, &field, args.programs).await
}

async fn gather(args: &Args, report: &Report, field: &mut Field) -> anyhow::Result<()> {
    let began = Instant::now();
    field.crowd.grow(args.gateways, args.engines).await?;
    let started = began.elapsed();
    let all = field.real_nodes() + args.gateways + args.engines;
    field.crowd.see_all(all, LONGEST_GATHERING).await?;
    let seconds =
        json!({"started": started.as_secs_f64(), "all_seen": began.elapsed().as_secs_f64()});
    report.line("gathering", &json!({"members": all, "seconds": seconds}))?;
    tokio::time::sleep(SETTLE).await;
    Ok(())
}

async fn quiet(args: &Args, report: &Report, field: &Field, step: &str) -> anyhow::Result<()> {
    let before = field.look().await?;
    let node = field.crowd.watch(Duration::from_secs(args.span_seconds)).await?;
    let real = field.look().await?.since(&before);
    report.line("span", &json!({"step": step, "hollow_node": node, "real": real}))
}

async fn change_bundles(args: &Args, report: &Report, field: &mut Field) -> anyhow::Result<()> {
    for change in 0..args.changes {
        let (before, crowd) = (field.look().await?, field.crowd.look()?);
        let times = field.change_tenant(change * 977).await?;
        tokio::time::sleep(SETTLE).await;
        let node = field.crowd.look()?.since(&crowd);
        let real = field.look().await?.since(&before);
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

async fn lose_leader(report: &Report, field: &mut Field) -> anyhow::Result<()> {
    let leader = field.fleet.core_leader().await?;
    field.fleet.kill(leader)?;
    let times = field.change_tenant(1).await?;
    report.line("bundle", &json!({"step": "core leader killed just before", "seconds": times}))?;
    field.fleet.restart(leader).await?;
    tokio::time::sleep(SETTLE).await;
    Ok(())
}

async fn restart(args: &Args, report: &Report, field: &mut Field) -> anyhow::Result<()> {
    let (before, crowd, began) = (field.look().await?, field.crowd.look()?, Instant::now());
    let pause = Duration::from_secs_f64(1.0 / args.restart_rate);
    for n in 0..args.restarts {
        field.crowd.restart(n * 17).await?;
        tokio::time::sleep(pause).await;
    }
    let restarted = began.elapsed();
    let all = field.real_nodes() + args.gateways + args.engines;
    field.crowd.see_all(all, LONGEST_GATHERING).await?;
    let node = field.crowd.look()?.since(&crowd);
    let real = field.look().await?.since(&before);
    let fields = json!({
        "restarts": args.restarts,
        "seconds": {"restarted": restarted.as_secs_f64(), "all_seen": began.elapsed().as_secs_f64()},
        "hollow_node": node,
        "real": real,
        "cores_running": field.fleet.names(ProcessKind::Core).len(),
    });
    report.line("restarts", &fields)
}
