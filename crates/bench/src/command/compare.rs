//! `compare`: runs two scenarios one after the other on the same machine and reports the ratios of
//! their results.

use clap::Args;

use super::run::{Common, check, sections};
use crate::environment::Environment;
use crate::report::{Measure, Report, Section};
use crate::statistics::Figures;

/// Arguments of `compare`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The first scenario, named as for `run`.
    first: String,
    /// The second scenario, for example `frost-night@plain` or `frost-nightx3`.
    second: String,
    #[command(flatten)]
    common: Common,
}

/// Runs both scenarios. Violations are reported but do not fail the comparison, because a baseline
/// may have them.
///
/// # Errors
/// If a fleet fails.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    // Reject an invalid name before the first run rather than after it.
    for name in [&arguments.first, &arguments.second] {
        check(name)?;
    }
    let environment = Environment::read();
    let (first, second) = super::block_on(async {
        let first = sections(&arguments.first, &arguments.common).await?;
        Ok((first, sections(&arguments.second, &arguments.common).await?))
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
        for ((part, one), (_, other)) in first.figures.iter().zip(&second.figures) {
            measures.extend(ratios_of(part, one, other));
        }
    }
    let name = "the second by the first".to_owned();
    Section::Measures { name, measures, load: crate::environment::load() }
}

fn ratios_of(part: &str, one: &Figures, other: &Figures) -> [Measure; 4] {
    let ratio = |what: &str, one: f64, other: f64| {
        Measure::new(format!("{part}: {what}"), other / one.max(f64::MIN_POSITIVE), "")
    };
    [
        ratio("turns finished a second", one.turns_per_second, other.turns_per_second),
        ratio("calls answered a second", one.calls_per_second, other.calls_per_second),
        ratio("first token, p95", one.first_token_ms.p95, other.first_token_ms.p95),
        ratio("call, p95", one.call_ms.p95, other.call_ms.p95),
    ]
}
