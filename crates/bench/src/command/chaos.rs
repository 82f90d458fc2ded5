//! `chaos`: random faults in a fleet under load, checked by the oracle.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use hooklug_fleet::Topology;

use super::progress::TimedProgressBar;
use crate::environment::Environment;
use crate::report::Report;
use crate::scenario::chaos::{Chaos, default_topology};

/// Arguments of `chaos`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Time during which faults are injected.
    #[arg(long, default_value_t = 5.0)]
    minutes: f64,
    /// Seed of the faults and the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of concurrent programs.
    #[arg(long, default_value_t = 24)]
    programs: usize,
    /// Topology file (default: four stores, three cores, three gateways, four engines).
    #[arg(long)]
    topology: Option<PathBuf>,
    /// Folder for the reports.
    #[arg(long, default_value = "bench-reports")]
    reports: PathBuf,
    /// Folder for the fleet's logs, ledgers and disks, which is retained after the run (default: a
    /// temporary folder).
    #[arg(long)]
    data: Option<PathBuf>,
}

/// Runs the chaos scenario, then prints and writes its report.
///
/// # Errors
/// If the fleet fails or any promise was broken.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let topology = match &arguments.topology {
        Some(path) => Topology::read(path)?,
        None => default_topology(),
    };
    let chaos = Chaos {
        topology,
        time: Duration::from_secs_f64(arguments.minutes * 60.0),
        seed: arguments.seed,
        programs: arguments.programs,
        data: arguments.data.clone(),
    };
    let environment = Environment::read();
    let outcome = super::block_on(async {
        let bar = TimedProgressBar::start("chaos", chaos.time);
        Ok(chaos.run(&bar).await?)
    })?;
    let name = format!("chaos-seed{}", arguments.seed);
    let report = Report::new(&name, environment, vec![outcome.into_section()]);
    report.print();
    report.write(&arguments.reports)?;
    anyhow::ensure!(
        report.violations() == 0,
        "the oracle found {} violations",
        report.violations()
    );
    Ok(())
}
