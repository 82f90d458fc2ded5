//! `run`: runs one scenario.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use hooklug_fleet::Topology;

use super::progress::TimedProgressBar;
use crate::environment::Environment;
use crate::report::{Report, Section};
use crate::scenario::burst::BurstRun;
use crate::scenario::chaos::default_topology;
use crate::scenario::specification::Specification;
use crate::scenario::takeover::Takeover;
use crate::scenario::{call_rate, overhead, proxy};

/// Time for starting a fleet and reading the results, in addition to the load itself. Used only for
/// the progress bar.
const SETUP_TIME: Duration = Duration::from_secs(15);

/// Arguments of `run`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// `frost-night`, `sowing-morning` or `storm-warning`, with `@plain` for baseline gateways and
    /// `xN` for N times the load; or `calls`, `proxy`, `overhead`, `takeover`.
    scenario: String,
    #[command(flatten)]
    pub(super) common: CommonArguments,
}

/// Arguments that all scenarios share.
#[derive(Debug, Args)]
pub struct CommonArguments {
    /// Factor applied to the load.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Seconds of the steady part and of the burst, each, or of the measurement.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Seed of load, operators and kills.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Concurrent callers or streams, for `calls`, `proxy`, `overhead` and `takeover`.
    #[arg(long)]
    callers: Option<usize>,
    /// Topology file (default: four stores, three cores, three gateways, four engines).
    #[arg(long)]
    topology: Option<PathBuf>,
    /// Folder for the reports.
    #[arg(long, default_value = "bench-reports")]
    pub(super) reports: PathBuf,
    /// Folder for the fleet's logs, ledgers and disks, which is retained after the run (default: a
    /// temporary folder).
    #[arg(long)]
    data: Option<PathBuf>,
}

impl CommonArguments {
    fn topology(&self) -> anyhow::Result<Topology> {
        match &self.topology {
            Some(path) => Ok(Topology::read(path)?),
            None => Ok(default_topology()),
        }
    }

    fn measured_time(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

/// Default number of concurrent callers.
const DEFAULT_CALLERS: usize = 64;
/// Default number of concurrent streams for `overhead` and `takeover` (issue 5).
const DEFAULT_STREAMS: usize = 200;

/// Runs a scenario, then prints and writes its report.
///
/// # Errors
/// If the fleet fails or any promise was broken.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let environment = Environment::read();
    let scenario = arguments.scenario.as_str();
    let sections = super::block_on(run_scenario(scenario, &arguments.common))?;
    let report = Report::new(scenario, environment, sections);
    report.print();
    report.write(&arguments.common.reports)?;
    anyhow::ensure!(
        report.violations() == 0,
        "the oracle found {} violations",
        report.violations()
    );
    Ok(())
}

/// Returns an error if no scenario has this name.
pub(super) fn check_scenario_name(scenario: &str) -> anyhow::Result<()> {
    if !matches!(scenario, "calls" | "proxy" | "overhead" | "takeover") {
        scenario.parse::<Specification>()?;
    }
    Ok(())
}

/// Runs one scenario and returns the sections of its report. The section of a fleet run, if any, is
/// the first.
pub(super) async fn run_scenario(
    scenario: &str,
    common: &CommonArguments,
) -> anyhow::Result<Vec<Section>> {
    let (topology, time) = (common.topology()?, common.measured_time());
    let callers = common.callers.unwrap_or(DEFAULT_CALLERS);
    let streams = common.callers.unwrap_or(DEFAULT_STREAMS);
    let bar = TimedProgressBar::start(scenario, time + SETUP_TIME);
    match scenario {
        "calls" => Ok(vec![call_rate::run(topology, callers, time).await?]),
        "proxy" => Ok(vec![proxy::run(topology, callers, time).await?]),
        "overhead" => Ok(vec![overhead::run(topology, streams).await?]),
        "takeover" => {
            let (data, seed) = (common.data.clone(), common.seed);
            let run = Takeover { topology, time, programs: streams, seed, data };
            Ok(run.run(&bar).await?)
        }
        _ => {
            drop(bar);
            Ok(vec![run_burst(scenario.parse()?, common, topology).await?])
        }
    }
}

async fn run_burst(
    mut specification: Specification,
    common: &CommonArguments,
    topology: Topology,
) -> anyhow::Result<Section> {
    specification.scale *= common.scale;
    let data = common.data.clone();
    let run = BurstRun {
        specification,
        topology,
        phase_time: common.measured_time(),
        seed: common.seed,
        data,
    };
    let bar = TimedProgressBar::start(
        &specification.to_string(),
        common.measured_time() * 2 + SETUP_TIME,
    );
    Ok(run.run(&bar).await?.into_section())
}
