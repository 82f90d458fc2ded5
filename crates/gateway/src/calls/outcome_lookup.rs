//! Determines the outcome of calls whose response was lost, by querying the application engines.

use std::sync::Arc;
use std::time::Duration;

use hooklug_state::shard::CallRecord;
use hooklug_types::{CallId, CallOutcome, ProgramId};
use tokio::time::Instant;

use super::Calls;
use super::non_repeatable::answered_outcome;
use crate::backend::Target;
use crate::backend::answer::Answer;
use crate::backend::exchange::AttemptKey;
use crate::backend::lookup::find_answer;

/// Timeout of one lookup at application engines.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for recording the result of a lookup; the next lookup can find it again.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

impl Calls {
    /// Queries engines for the response to a call.
    pub(super) async fn query_engines(
        &self,
        targets: &[Arc<Target>],
        program: &ProgramId,
        call: &CallId,
    ) -> Option<Answer> {
        let deadline = Instant::now() + LOOKUP_TIMEOUT;
        find_answer(&self.backends.pool, targets, program, call, deadline).await
    }

    /// Returns the record, completed with the response if it had no outcome and an engine knows the
    /// response. A response is used only once it is recorded; otherwise the record is returned
    /// unchanged.
    pub(crate) async fn complete_record(
        &self,
        program: &ProgramId,
        record: CallRecord,
    ) -> CallRecord {
        if !matches!(record.outcome, None | Some(CallOutcome::Unknown)) {
            return record;
        }
        let Some(name) = attempt_key_of(program, &record) else { return record };
        let targets = self.engines_of_route(&record);
        let Some(answer) = self.query_engines(&targets, program, &record.call).await else {
            return record;
        };
        match self.finish(&name, &answered_outcome(&answer), RECORD_TIMEOUT).await {
            Some(outcome) => CallRecord { outcome: Some(outcome), ..record },
            None => record,
        }
    }

    fn engines_of_route(&self, record: &CallRecord) -> Vec<Arc<Target>> {
        let Some(bundle) = self.node.bundle.borrow().clone() else { return Vec::new() };
        let route = record.route.as_ref().and_then(|name| bundle.bundle.routes.get(name));
        route.map(|route| self.backends.engines_of(&route.service)).unwrap_or_default()
    }
}

fn attempt_key_of(program: &ProgramId, record: &CallRecord) -> Option<AttemptKey> {
    let attempt = record.attempt.clone()?;
    Some(AttemptKey { program: program.clone(), call: record.call.clone(), attempt })
}
