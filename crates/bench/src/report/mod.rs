//! Reports as JSON lines, as a self-contained HTML page and as short text.

mod html;
mod json;
mod plot;
mod text;

use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::environment::Environment;
use crate::scenario::Outcome;

/// A single measured value that is not derived from callers' records.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Measure {
    /// What was measured.
    pub what: String,
    /// The measured value.
    pub value: f64,
    /// Its unit; empty for a ratio.
    pub unit: &'static str,
    /// Lower or upper bound that the value should meet, if there is one.
    pub goal: Option<Goal>,
}

/// Lower or upper bound for a measured value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Goal {
    /// The value should be at least this.
    AtLeast(f64),
    /// The value should be at most this.
    AtMost(f64),
}

impl Goal {
    /// Returns whether a value meets the goal.
    #[must_use]
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtLeast(minimum) => value >= minimum,
            Self::AtMost(maximum) => value <= maximum,
        }
    }
}

impl Measure {
    /// Creates a measurement without a goal.
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

/// A section of a report.
#[derive(Debug, Clone)]
pub enum Section {
    /// A run of a fleet, with statistics and the verdict on callers' records.
    Run(Box<Outcome>),
    /// Single measured values.
    Measures {
        /// Title of the section.
        name: String,
        /// The measured values.
        measures: Vec<Measure>,
        /// Load averages of the machine at the time of the measurement.
        load: String,
    },
}

/// The results of a run.
#[derive(Debug, Clone)]
pub struct Report {
    name: String,
    environment: Environment,
    sections: Vec<Section>,
}

impl Report {
    /// Creates a report. `environment` was read before the run.
    #[must_use]
    pub fn new(name: &str, environment: Environment, sections: Vec<Section>) -> Self {
        Self { name: name.to_owned(), environment, sections }
    }

    /// Returns the number of violations in all runs.
    #[must_use]
    pub fn violations(&self) -> usize {
        let runs = self.sections.iter().filter_map(|section| match section {
            Section::Run(outcome) => Some(outcome.verdict.violations.len()),
            Section::Measures { .. } => None,
        });
        runs.sum()
    }

    /// Prints a text summary to standard output.
    pub fn print(&self) {
        print!("{}", text::render(&self.environment, &self.sections));
    }

    /// Writes `NAME.jsonl` and `NAME.html` into a folder.
    ///
    /// # Errors
    /// If the files cannot be written.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        fs::create_dir_all(folder)?;
        let lines = json::render(&self.environment, &self.sections);
        fs::write(folder.join(format!("{}.jsonl", self.name)), lines)?;
        let page = html::render(&self.name, &self.environment, &self.sections);
        fs::write(folder.join(format!("{}.html", self.name)), page)
    }
}
