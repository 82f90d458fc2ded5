//! Measures how the cost of each role grows with its load: observations at several sizes, and a
//! least-squares fit with its error for each cost.

mod control_plane;
mod data_plane;
mod fit;
pub(crate) mod fleet_usage;
pub(crate) mod interrupt;
pub(crate) mod process_usage;
pub(crate) mod report;
mod state_machine;
mod stores;

use std::path::PathBuf;

use serde::Serialize;

use fit::Observation;
use report::Report;

/// Arguments of `hooklug-bench slopes`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Experiments to run; all if not given.
    #[arg(long, value_enum)]
    only: Vec<Experiment>,
    /// Length of each measured span, in seconds.
    #[arg(long, default_value_t = 5)]
    span_seconds: u64,
    /// File to append the results to, as JSON lines.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// An experiment that measures one group of costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Experiment {
    /// Memory and size of the shard state machine's records, in this process.
    Machine,
    /// Real stores with commits of several sizes.
    Stores,
    /// A real gateway and engine with turns and tokens.
    DataPlane,
    /// Memory of open sessions and streams.
    Sessions,
    /// Hollow nodes with real cores: cost by the number of nodes and of view changes.
    Nodes,
    /// Bundle changes with several numbers of tenants.
    Bundles,
}

impl Experiment {
    const ALL: [Self; 6] =
        [Self::Machine, Self::Stores, Self::DataPlane, Self::Sessions, Self::Nodes, Self::Bundles];
}

/// Runs the experiments one after another. On Ctrl-C or SIGTERM it stops its processes.
pub async fn run(args: Args) -> anyhow::Result<()> {
    interrupt::interruptible(experiments(args)).await
}

async fn experiments(args: Args) -> anyhow::Result<()> {
    let report = Report::start(args.out.as_deref())?;
    let span = std::time::Duration::from_secs(args.span_seconds);
    let chosen = if args.only.is_empty() { Experiment::ALL.to_vec() } else { args.only };
    for experiment in chosen {
        match experiment {
            Experiment::Machine => state_machine::run(&report)?,
            Experiment::Stores => stores::run(&report, span).await?,
            Experiment::DataPlane => data_plane::run(&report, span).await?,
            Experiment::Sessions => data_plane::sessions(&report).await?,
            Experiment::Nodes => control_plane::nodes(&report, span).await?,
            Experiment::Bundles => control_plane::bundles(&report).await?,
        }
    }
    Ok(())
}

/// A fitted cost, in the form that is reported.
#[derive(Debug, Serialize)]
struct Slope<'a> {
    experiment: &'a str,
    role: &'a str,
    cost: &'a str,
    drivers: &'a [&'a str],
    fit: Option<fit::Fit>,
}

/// Fits a cost and reports the result, even if the observations do not determine it.
fn report_slope(
    report: &Report,
    (experiment, role, cost): (&str, &str, &str),
    drivers: &[&str],
    observations: &[Observation],
) -> anyhow::Result<()> {
    let fit = fit::fit(observations);
    report.line("slope", &Slope { experiment, role, cost, drivers, fit })
}
