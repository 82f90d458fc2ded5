//! Reports: JSON lines, a self-contained HTML page, and a short text.

mod html;
mod json;
mod plot;
mod text;

use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::environment::Environment;
use crate::scenario::Outcome;

/// A figure of a measurement without callers' records.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Measure {
    /// What was measured.
    pub what: String,
    /// The figure.
    pub value: f64,
    /// Its unit; empty for a ratio.
    pub unit: &'static str,
    /// What it is to be at least, or at most, if there is a goal.
    pub goal: Option<Goal>,
}

/// A goal of a figure.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Goal {
    /// At least this.
    AtLeast(f64),
    /// At most this.
    AtMost(f64),
}

impl Goal {
    /// Whether a figure meets it.
    #[must_use]
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtLeast(least) => value >= least,
            Self::AtMost(most) => value <= most,
        }
    }
}

impl Measure {
    /// A figure without a goal.
    #[must_use]
    pub fn new(what: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self { what: what.into(), value, unit, goal: None }
    }

    /// Adds a goal.
    #[must_use]
    pub fn with_goal(mut self, goal: Goal) -> Self {
        self.goal = Some(goal);
        self
    }
}

/// A part of a report.
#[derive(Debug, Clone)]
pub enum Section {
    /// A run of a fleet with callers' records.
    Run(Box<Outcome>),
    /// Figures alone.
    Measures {
        /// What they are about.
        name: String,
        /// The figures.
        measures: Vec<Measure>,
        /// The load of the machine when they were taken.
        load: String,
    },
}

/// A report.
#[derive(Debug, Clone)]
pub struct Report {
    name: String,
    environment: Environment,
    sections: Vec<Section>,
}

impl Report {
    /// A report of some sections; the environment was read before the run.
    #[must_use]
    pub fn new(name: &str, environment: Environment, sections: Vec<Section>) -> Self {
        Self { name: name.to_owned(), environment, sections }
    }

    /// Breaches of promises in all its runs.
    #[must_use]
    pub fn violations(&self) -> usize {
        let runs = self.sections.iter().filter_map(|section| match section {
            Section::Run(outcome) => Some(outcome.verdict.violations.len()),
            Section::Measures { .. } => None,
        });
        runs.sum()
    }

    /// Prints the short text.
    pub fn print(&self) {
        print!("{}", text::render(&self.environment, &self.sections));
    }

    /// Writes `NAME.jsonl` and `NAME.html` into a folder.
    ///
    /// # Errors
    /// When they can't be written.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        fs::create_dir_all(folder)?;
        let lines = json::render(&self.environment, &self.sections);
        fs::write(folder.join(format!("{}.jsonl", self.name)), lines)?;
        let page = html::render(&self.name, &self.environment, &self.sections);
        fs::write(folder.join(format!("{}.html", self.name)), page)
    }
}
