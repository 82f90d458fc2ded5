//! What came of requests, counted for the core that judges back ends by the word of all gateways.

use std::sync::Arc;
use std::time::Duration;

use hooklug_control::NodeContext;
use hooklug_control::backends::reading_core;
use hooklug_protocol::backends::{BackendOutcomes, ReportOutcomes};
use tokio::time::Instant;
use tracing::debug;

use crate::backends::{BackendTable, Outcome};

/// Pause between two reports (ours).
const REPORT_PAUSE: Duration = Duration::from_millis(400);

/// Time since the last failure here for which a gateway goes on reporting (ours): without the answers that others get,
/// the failures of one gateway would look like all there is.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Longest wait for the core (ours).
const CALL_TIME: Duration = Duration::from_millis(400);

/// How many requests a back end answered well and failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Outcomes {
    pub(crate) answered: u32,
    pub(crate) failed: u32,
}

impl Outcomes {
    /// Counts the end of a request; what says nothing of the back end's soundness is left out.
    pub(crate) fn note(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered(_) => self.answered += 1,
            Outcome::Failed | Outcome::Broken => self.failed += 1,
            Outcome::NoRoom | Outcome::Stale | Outcome::Unknown => {}
        }
    }
}

/// Tells the core that reads the list how requests fare, while any fail here; for ever.
pub(crate) async fn report(context: &NodeContext, backends: &Arc<BackendTable>) {
    let mut last_failure: Option<Instant> = None;
    loop {
        tokio::time::sleep(REPORT_PAUSE).await;
        let outcomes = backends.take_outcomes();
        if outcomes.iter().any(|told| told.failed > 0) {
            last_failure = Some(Instant::now());
        }
        if last_failure.is_some_and(|at| at.elapsed() < REPORT_TIME) {
            tell(context, outcomes).await;
        }
    }
}

async fn tell(context: &NodeContext, outcomes: Vec<BackendOutcomes>) {
    let Some(core) = reading_core(context) else { return };
    let deadline = Instant::now() + CALL_TIME;
    let told = context.client.call(core, &ReportOutcomes { outcomes }, deadline).await;
    if let Err(error) = told {
        debug!(%core, %error, "outcomes are not told");
    }
}
