//! What a run of a fleet came to.

use crate::figures::{Figures, Timeline};
use crate::oracle::evidence::{Disturbance, Evidence, Millis};
use crate::oracle::{Verdict, judge};
use crate::report::Section;

/// What a run of a fleet came to.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Its name in reports.
    pub name: String,
    /// The oracle's verdict.
    pub verdict: Verdict,
    /// Figures of the whole run, and of parts of it by name.
    pub figures: Vec<(String, Figures)>,
    /// Second by second.
    pub timeline: Timeline,
    /// Faults.
    pub disturbances: Vec<Disturbance>,
    /// The load of the machine at the end of the run.
    pub load: String,
}

impl Outcome {
    /// Judges a run and counts it up. `parts` are spans of it by name.
    #[must_use]
    pub fn of(
        name: &str,
        evidence: &Evidence,
        span: (Millis, Millis),
        parts: &[(String, Millis, Millis)],
    ) -> Self {
        let mut figures = vec![("all".to_owned(), Figures::of(evidence, span.0, span.1))];
        for (part, from, to) in parts {
            figures.push((part.clone(), Figures::of(evidence, *from, *to)));
        }
        Self {
            name: name.to_owned(),
            verdict: judge(evidence),
            figures,
            timeline: Timeline::of(evidence, span.0, span.1),
            disturbances: evidence.disturbances.clone(),
            load: crate::environment::load(),
        }
    }

    /// The report's section about it.
    #[must_use]
    pub fn into_section(self) -> Section {
        Section::Run(Box::new(self))
    }
}
