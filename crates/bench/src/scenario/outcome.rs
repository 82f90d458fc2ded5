//! The results of a fleet run.

use crate::oracle::evidence::{Evidence, InjectedFault, Millis};
use crate::oracle::{Verdict, judge};
use crate::report::Section;
use crate::statistics::{RunStatistics, Timeline};

/// The results of a fleet run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Name of the run in reports.
    pub name: String,
    /// Verdict of the oracle.
    pub verdict: Verdict,
    /// Statistics of the complete run, and of its parts by name.
    pub statistics: Vec<(String, RunStatistics)>,
    /// Throughput per second.
    pub timeline: Timeline,
    /// Injected faults.
    pub injected_faults: Vec<InjectedFault>,
    /// Load averages of the machine at the end of the run.
    pub load: String,
}

impl Outcome {
    /// Checks the evidence of a run and computes its statistics. `parts` are named spans of it.
    #[must_use]
    pub fn of(
        name: &str,
        evidence: &Evidence,
        span: (Millis, Millis),
        parts: &[(String, Millis, Millis)],
    ) -> Self {
        let mut statistics = vec![("all".to_owned(), RunStatistics::of(evidence, span.0, span.1))];
        for (part, from, to) in parts {
            statistics.push((part.clone(), RunStatistics::of(evidence, *from, *to)));
        }
        Self {
            name: name.to_owned(),
            verdict: judge(evidence),
            statistics,
            timeline: Timeline::of(evidence, span.0, span.1),
            injected_faults: evidence.injected_faults.clone(),
            load: crate::environment::load_averages(),
        }
    }

    /// Converts the results to a section of a report.
    #[must_use]
    pub fn into_section(self) -> Section {
        Section::Run(Box::new(self))
    }
}
