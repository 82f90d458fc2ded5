//! Renders the text summary that is printed at the end of a run.

use std::fmt::Write;

use super::{Goal, Measure, Section};
use crate::environment::Environment;
use crate::scenario::Outcome;
use crate::statistics::{Figures, Percentiles};

/// Maximum number of violations that are printed; the JSON lines contain all of them.
const SHOWN: usize = 20;

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
            Section::Run(outcome) => text.push_str(&run(outcome)),
            Section::Measures { name, measures, load } => {
                let _ = writeln!(text, "\n{name} (load {load})");
                for measure in measures {
                    let _ = writeln!(text, "  {}", line(measure));
                }
            }
        }
    }
    text
}

fn line(measure: &Measure) -> String {
    let goal = measure.goal.map_or_else(String::new, |goal| {
        let met = if goal.is_met(measure.value) { "met" } else { "missed" };
        match goal {
            Goal::AtLeast(least) => format!("  (goal: at least {least}; {met})"),
            Goal::AtMost(most) => format!("  (goal: at most {most}; {met})"),
        }
    });
    format!("{:<58} {:>10.3} {}{goal}", measure.what, measure.value, measure.unit)
}

fn run(outcome: &Outcome) -> String {
    let mut text = format!("\n{} (load after {})\n", outcome.name, outcome.load);
    for (part, figures) in &outcome.figures {
        text.push_str(&figures_text(part, figures));
    }
    for (what, number) in &outcome.verdict.examined {
        let _ = writeln!(text, "  examined {number:>8} {what}");
    }
    for (promise, violations) in outcome.verdict.counts() {
        let _ = writeln!(text, "  violations {violations:>6} {}", promise.forbids());
    }
    for violation in outcome.verdict.violations.iter().take(SHOWN) {
        let _ = writeln!(text, "  ! {violation}");
    }
    text
}

fn figures_text(part: &str, figures: &Figures) -> String {
    let mut text = format!(
        "  {part}: {:.1} s, {:.1} turns/s, {:.1} tokens/s, {:.1} calls/s, {} cuts\n",
        figures.seconds,
        figures.turns_per_second,
        figures.tokens_per_second,
        figures.calls_per_second,
        figures.cuts
    );
    let times = [
        ("first token", figures.first_token_ms),
        ("between tokens", figures.between_tokens_ms),
        ("call", figures.call_ms),
        ("recovery", figures.recovery_ms),
    ];
    for (what, times) in times {
        let _ = writeln!(text, "    {what:<15} {}", percentiles(times));
    }
    let _ = writeln!(text, "    turns {:?}", figures.turns);
    let _ = writeln!(text, "    calls {:?}", figures.calls);
    text
}

fn percentiles(times: Percentiles) -> String {
    format!(
        "p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms (n {})",
        times.p50, times.p95, times.p99, times.max, times.count
    )
}
