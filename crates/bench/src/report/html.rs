//! Renders a self-contained HTML page with tables and inline plots.

use std::fmt::Write;

use super::plot::{Band, escape, plot_per_second};
use super::{Goal, Measure, Section};
use crate::environment::Environment;
use crate::scenario::Outcome;
use crate::statistics::{Percentiles, RunStatistics};

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}\
td.n{text-align:right;font-variant-numeric:tabular-nums}svg{width:100%;height:auto}svg text{font-size:11px;fill:#555}\
polyline{fill:none;stroke:#1565a0;stroke-width:1.4}rect.fault{fill:#d9534f;opacity:.13}.bad{color:#b00020;font-weight:600}";

pub(super) fn render(name: &str, environment: &Environment, sections: &[Section]) -> String {
    let title = escape(name);
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>"
    );
    // Writing to a string cannot fail.
    let _ = write!(
        page,
        "<p>hooklug {} ({} build), {} processors ({}), {} MB, kernel {}, load before {}</p>",
        environment.version,
        environment.profile,
        environment.processors,
        escape(&environment.processor),
        environment.memory_kb / 1024,
        escape(&environment.kernel),
        environment.load
    );
    for section in sections {
        match section {
            Section::Run(outcome) => page.push_str(&run_section(outcome)),
            Section::Measures { name, measures, load } => {
                page.push_str(&measures_table(name, measures, load));
            }
        }
    }
    page.push_str("</html>\n");
    page
}

fn run_section(outcome: &Outcome) -> String {
    let mut page = format!("<h2>{}</h2>", escape(&outcome.name));
    page.push_str("<h3>Promises</h3><table><tr><th>must never happen</th><th>times</th></tr>");
    for (promise, times) in outcome.verdict.counts() {
        let class = if times > 0 { "n bad" } else { "n" };
        let forbids = escape(promise.forbids());
        let _ = write!(page, "<tr><td>{forbids}</td><td class=\"{class}\">{times}</td></tr>");
    }
    page.push_str("</table><table><tr><th>examined</th><th>number</th></tr>");
    for (what, number) in &outcome.verdict.examined {
        let _ = write!(page, "<tr><td>{what}</td><td class=\"n\">{number}</td></tr>");
    }
    page.push_str("</table>");
    page.push_str(&violations_list(outcome));
    page.push_str(&plots_html(outcome));
    for (part, statistics) in &outcome.statistics {
        page.push_str(&statistics_table(part, statistics));
    }
    page
}

fn violations_list(outcome: &Outcome) -> String {
    if outcome.verdict.violations.is_empty() {
        return String::new();
    }
    let mut list = "<h3 class=\"bad\">Violations</h3><ul>".to_owned();
    for violation in &outcome.verdict.violations {
        let _ = write!(list, "<li>{}</li>", escape(&violation.to_string()));
    }
    list.push_str("</ul>");
    list
}

fn plots_html(outcome: &Outcome) -> String {
    let timeline = &outcome.timeline;
    let at = |millis: u64| millis.saturating_sub(timeline.from) as f64 / 1e3;
    let bands: Vec<Band> = outcome
        .injected_faults
        .iter()
        .map(|fault| Band {
            from: at(fault.started_at),
            to: at(fault.ended_at.unwrap_or(fault.started_at)),
            label: fault.description.clone(),
        })
        .collect();
    let plots = [
        ("turns finished a second", &timeline.turns),
        ("calls answered a second", &timeline.calls),
        ("tokens of ended turns a second", &timeline.tokens),
    ];
    let drawn = plots.into_iter().map(|(title, values)| plot_per_second(title, values, &bands));
    drawn.collect::<String>()
        + "<p>Shaded areas are faults; hover over one for its description.</p>"
}

fn statistics_table(part: &str, statistics: &RunStatistics) -> String {
    let mut table = format!("<h3>Figures: {}</h3><table>", escape(part));
    let rates = [
        ("length, s", statistics.seconds),
        ("turns finished a second", statistics.turns_per_second),
        ("tokens a second", statistics.tokens_per_second),
        ("calls answered a second", statistics.calls_per_second),
        ("streams cut and resumed", statistics.cuts as f64),
    ];
    for (what, value) in rates {
        let _ = write!(table, "<tr><td>{what}</td><td class=\"n\">{value:.1}</td></tr>");
    }
    for (label, number) in statistics
        .turns
        .iter()
        .map(|(outcome, n)| (format!("turns {outcome}"), n))
        .chain(statistics.calls.iter().map(|(outcome, n)| (format!("calls {outcome}"), n)))
    {
        let label = escape(&label);
        let _ = write!(table, "<tr><td>{label}</td><td class=\"n\">{number}</td></tr>");
    }
    table.push_str("</table>");
    table.push_str(&percentiles_table(statistics));
    table
}

fn percentiles_table(statistics: &RunStatistics) -> String {
    let mut table =
        "<table><tr><th>ms</th><th>n</th><th>p50</th><th>p95</th><th>p99</th><th>max</th></tr>"
            .to_owned();
    let rows = [
        ("first token", statistics.first_token_ms),
        ("between tokens", statistics.between_tokens_ms),
        ("call", statistics.call_ms),
        ("recovery", statistics.recovery_ms),
    ];
    for (what, Percentiles { count, p50, p95, p99, max }) in rows {
        let _ = write!(
            table,
            "<tr><td>{what}</td><td class=\"n\">{count}</td><td class=\"n\">{p50:.1}</td><td class=\"n\">{p95:.1}</td><td class=\"n\">{p99:.1}</td><td class=\"n\">{max:.1}</td></tr>"
        );
    }
    table.push_str("</table>");
    table
}

fn measures_table(name: &str, measures: &[Measure], load: &str) -> String {
    let mut table = format!(
        "<h2>{}</h2><p>load {load}</p><table><tr><th>figure</th><th>value</th><th>goal</th></tr>",
        escape(name)
    );
    for measure in measures {
        let missed = measure.goal.is_some_and(|goal| !goal.is_met(measure.value));
        let goal = match measure.goal {
            None => String::new(),
            Some(Goal::AtLeast(minimum)) => format!("at least {minimum}"),
            Some(Goal::AtMost(maximum)) => format!("at most {maximum}"),
        };
        let class = if missed { "n bad" } else { "n" };
        let _ = write!(
            table,
            "<tr><td>{}</td><td class=\"{class}\">{:.3} {}</td><td>{goal}</td></tr>",
            escape(&measure.what),
            measure.value,
            measure.unit
        );
    }
    table.push_str("</table>");
    table
}
