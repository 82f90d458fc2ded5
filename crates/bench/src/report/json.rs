//! Renders JSON lines: the environment, then one object per line for each measurement, count and
//! violation.

use serde::Serialize;

use super::{Measure, Section};
use crate::environment::Environment;
use crate::oracle::{Promise, Violation};
use crate::scenario::Outcome;
use crate::statistics::{RunStatistics, Timeline};

#[derive(Debug, Serialize)]
#[serde(tag = "line", rename_all = "snake_case")]
enum Line<'a> {
    Environment { environment: &'a Environment },
    Figures { run: &'a str, part: &'a str, figures: &'a RunStatistics },
    Promise { run: &'a str, promise: Promise, forbids: &'a str, violations: usize },
    Examined { run: &'a str, what: &'a str, number: usize },
    Violation { run: &'a str, violation: &'a Violation },
    Fault { run: &'a str, fault: &'a str, from: u64, until: Option<u64> },
    Timeline { run: &'a str, timeline: &'a Timeline },
    Measure { run: &'a str, load: &'a str, measure: &'a Measure },
}

pub(super) fn render(environment: &Environment, sections: &[Section]) -> String {
    let mut text = String::new();
    push(&mut text, &Line::Environment { environment });
    for section in sections {
        match section {
            Section::Run(outcome) => push_run(&mut text, outcome),
            Section::Measures { name, measures, load } => {
                for measure in measures {
                    push(&mut text, &Line::Measure { run: name, load, measure });
                }
            }
        }
    }
    text
}

fn push(text: &mut String, line: &Line<'_>) {
    // Plain structs with string keys: serialization cannot fail.
    text.push_str(&serde_json::to_string(line).unwrap_or_default());
    text.push('\n');
}

fn push_run(text: &mut String, outcome: &Outcome) {
    let run = outcome.name.as_str();
    for (part, statistics) in &outcome.statistics {
        push(text, &Line::Figures { run, part, figures: statistics });
    }
    for (promise, violations) in outcome.verdict.counts() {
        push(text, &Line::Promise { run, promise, forbids: promise.forbids(), violations });
    }
    for (what, number) in &outcome.verdict.examined {
        push(text, &Line::Examined { run, what, number: *number });
    }
    for violation in &outcome.verdict.violations {
        push(text, &Line::Violation { run, violation });
    }
    for fault in &outcome.injected_faults {
        let line = Line::Fault {
            run,
            fault: &fault.description,
            from: fault.started_at,
            until: fault.ended_at,
        };
        push(text, &line);
    }
    push(text, &Line::Timeline { run, timeline: &outcome.timeline });
}
