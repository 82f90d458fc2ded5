//! `compare`: runs two scenarios one after the other on the same machine and reports the ratios of
//! their results.

use clap::Args;

use super::run::{CommonArguments, check_scenario_name, run_scenario};
use crate::environment::Environment;
use crate::report::{Measure, Report, Section};
use crate::statistics::RunStatistics;

/// Arguments of `compare`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The first scenario, named as for `run`.
    first: String,
    /// The second scenario, for example `frost-night@plain` or `frost-nightx3`.
    second: String,
    #[command(flatten)]
    common: CommonArguments,
}

/// Runs both scenarios. Violations are reported but do not fail the comparison, because a baseline
/// may have them.
///
/// # Errors
/// If a fleet fails.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    // Reject an invalid name before the first run rather than after it.
    for name in [&arguments.first, &arguments.second] {
        check_scenario_name(name)?;
    }
    let environment = Environment::read();
    let (first, second) = super::block_on(async {
        let first = run_scenario(&arguments.first, &arguments.common).await?;
        Ok((first, run_scenario(&arguments.second, &arguments.common).await?))
    })?;
    let ratios = ratios(&first, &second);
    let all = first.into_iter().chain(second).chain([ratios]).collect();
    let name = format!("{}-and-{}", arguments.first, arguments.second);
    let report = Report::new(&name, environment, all);
    report.print();
    report.write(&arguments.common.reports)?;
    Ok(())
}

/// Computes the second run's statistics as ratios of the first run's, for each part.
fn ratios(first: &[Section], second: &[Section]) -> Section {
    let mut measures = Vec::new();
    if let (Some(Section::Run(first)), Some(Section::Run(second))) = (first.first(), second.first())
    {
        for ((part, baseline), (_, compared)) in first.statistics.iter().zip(&second.statistics) {
            measures.extend(ratios_of(part, baseline, compared));
        }
    }
    let name = "the second by the first".to_owned();
    Section::Measures { name, measures, load: crate::environment::load_averages() }
}

fn ratios_of(part: &str, baseline: &RunStatistics, compared: &RunStatistics) -> [Measure; 4] {
    let ratio = |what: &str, baseline: f64, compared: f64| {
        Measure::new(format!("{part}: {what}"), compared / baseline.max(f64::MIN_POSITIVE), "")
    };
    [
        ratio("turns finished a second", baseline.turns_per_second, compared.turns_per_second),
        ratio("calls answered a second", baseline.calls_per_second, compared.calls_per_second),
        ratio("first token, p95", baseline.first_token_ms.p95, compared.first_token_ms.p95),
        ratio("call, p95", baseline.call_ms.p95, compared.call_ms.p95),
    ]
}
