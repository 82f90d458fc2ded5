//! Renders the text summary that is printed at the end of a run.

use std::fmt::Write;

use super::{Goal, Measure, Section};
use crate::environment::Environment;
use crate::scenario::Outcome;
use crate::statistics::{Percentiles, RunStatistics};

/// Maximum number of violations that are printed; the JSON lines contain all of them.
const MAX_PRINTED_VIOLATIONS: usize = 20;

pub(super) fn render(environment: &Environment, sections: &[Section]) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{} processors, {} build, load before {}",
        environment.processors, environment.profile, environment.load
    );
    for section in sections {
        match section {
            Section::Run(outcome) => text.push_str(&run_text(outcome)),
            Section::Measures { name, measures, load } => {
                let _ = writeln!(text, "\n{name} (load {load})");
                for measure in measures {
                    let _ = writeln!(text, "  {}", measure_line(measure));
                }
            }
        }
    }
    text
}

fn measure_line(measure: &Measure) -> String {
    let goal = measure.goal.map_or_else(String::new, |goal| {
        let met = if goal.is_met(measure.value) { "met" } else { "missed" };
        match goal {
            Goal::AtLeast(minimum) => format!("  (goal: at least {minimum}; {met})"),
            Goal::AtMost(maximum) => format!("  (goal: at most {maximum}; {met})"),
        }
    });
    format!("{:<58} {:>10.3} {}{goal}", measure.what, measure.value, measure.unit)
}

fn run_text(outcome: &Outcome) -> String {
    let mut text = format!("\n{} (load after {})\n", outcome.name, outcome.load);
    for (part, statistics) in &outcome.statistics {
        text.push_str(&statistics_text(part, statistics));
    }
    for (what, number) in &outcome.verdict.examined {
        let _ = writeln!(text, "  examined {number:>8} {what}");
    }
    for (promise, violations) in outcome.verdict.counts() {
        let _ = writeln!(text, "  violations {violations:>6} {}", promise.forbids());
    }
    for violation in outcome.verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let _ = writeln!(text, "  ! {violation}");
    }
    text
}

fn statistics_text(part: &str, statistics: &RunStatistics) -> String {
    let mut text = format!(
        "  {part}: {:.1} s, {:.1} turns/s, {:.1} tokens/s, {:.1} calls/s, {} cuts\n",
        statistics.seconds,
        statistics.turns_per_second,
        statistics.tokens_per_second,
        statistics.calls_per_second,
        statistics.cuts
    );
    let times = [
        ("first token", statistics.first_token_ms),
        ("between tokens", statistics.between_tokens_ms),
        ("call", statistics.call_ms),
        ("recovery", statistics.recovery_ms),
    ];
    for (what, times) in times {
        let _ = writeln!(text, "    {what:<15} {}", percentiles_text(times));
    }
    let _ = writeln!(text, "    turns {:?}", statistics.turns);
    let _ = writeln!(text, "    calls {:?}", statistics.calls);
    text
}

fn percentiles_text(times: Percentiles) -> String {
    format!(
        "p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms (n {})",
        times.p50, times.p95, times.p99, times.max, times.count
    )
}
