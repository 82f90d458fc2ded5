//! Non-repeatable calls: one attempt holds a call, and only a call that was never claimed can be
//! sealed.

use hooklug_types::{CallAttempt, CallId, CallOutcome, Digest, ProgramId, UnixMillis};

use super::command::{BeginCall, ShardRefusal, ShardReply};
use super::expiry::ExpiryItem;
use super::machine::{CallEntry, CommandResult, ShardMachine};
use super::query::CallRecord;

impl ShardMachine {
    /// Claims a call for an attempt. The first attempt is granted, and so are its resends until the
    /// call has an outcome; after that, the reply is the call's record.
    pub(super) fn begin_call(&mut self, begin: BeginCall) -> CommandResult {
        let program = self.program_mut(&begin.program)?;
        let Some(entry) = program.calls.get(&begin.call) else {
            let record = CallRecord {
                call: begin.call.clone(),
                digest: begin.digest,
                route: Some(begin.route),
                attempt: Some(begin.attempt),
                outcome: None,
            };
            program.calls.insert(begin.call, CallEntry { record, expires: None });
            return Ok(ShardReply::CallGranted);
        };
        let record = &entry.record;
        if record.digest != begin.digest {
            return Err(ShardRefusal::CallDiffers);
        }
        if record.outcome.is_some() {
            return Ok(ShardReply::Call(record.clone()));
        }
        match record.attempt == Some(begin.attempt) {
            true => Ok(ShardReply::CallGranted),
            false => Err(record.held_refusal()),
        }
    }

    /// Records the outcome of a call for the attempt that holds it. A response replaces `Unknown`;
    /// after that, the outcome does not change. `NotRun` is refused, since it can only be
    /// established by sealing an unclaimed call.
    pub(super) fn finish_call(
        &mut self,
        program: &ProgramId,
        call: &CallId,
        attempt: &CallAttempt,
        outcome: CallOutcome,
    ) -> CommandResult {
        let entry = self.program_mut(program)?.calls.get(call).ok_or(ShardRefusal::NoCall)?;
        let holds = entry.record.attempt.as_ref() == Some(attempt);
        if !holds || outcome == CallOutcome::NotRun {
            return Err(entry.record.held_refusal());
        }
        let replaces = match (&entry.record.outcome, &outcome) {
            (None, _) | (Some(CallOutcome::Unknown), CallOutcome::Answered { .. }) => true,
            (Some(_), _) => false,
        };
        if !replaces {
            return Ok(ShardReply::Call(entry.record.clone()));
        }
        self.set_outcome(program, call, outcome)
    }

    /// Seals a call that was never claimed, so that it will not run.
    pub(super) fn seal_call(
        &mut self,
        program: &ProgramId,
        call: &CallId,
        digest: Digest,
    ) -> CommandResult {
        let calls = &mut self.program_mut(program)?.calls;
        if let Some(entry) = calls.get(call) {
            let record = &entry.record;
            return match (record.digest == digest, &record.attempt) {
                (false, _) => Err(ShardRefusal::CallDiffers),
                (true, Some(_)) => Err(record.held_refusal()),
                (true, None) => Ok(ShardReply::Call(record.clone())),
            };
        }
        let record =
            CallRecord { call: call.clone(), digest, route: None, attempt: None, outcome: None };
        calls.insert(call.clone(), CallEntry { record, expires: None });
        self.set_outcome(program, call, CallOutcome::NotRun)
    }

    fn set_outcome(
        &mut self,
        program: &ProgramId,
        call: &CallId,
        outcome: CallOutcome,
    ) -> CommandResult {
        let clock = self.state.clock;
        let expires = self.retention_end();
        let entry = self.program_mut(program)?;
        entry.last_ended = clock;
        let held = entry.calls.get_mut(call).ok_or(ShardRefusal::NoCall)?;
        held.record.outcome = Some(outcome);
        let record = held.record.clone();
        let former = held.expires.replace(expires);
        self.reschedule_call(program, call, former, expires);
        Ok(ShardReply::Call(record))
    }

    fn reschedule_call(
        &mut self,
        program: &ProgramId,
        call: &CallId,
        former: Option<UnixMillis>,
        expires: UnixMillis,
    ) {
        let item = ExpiryItem::Call(program.clone(), call.clone());
        if let Some(former) = former {
            self.state.expiry.remove(former, item.clone());
        }
        self.schedule_expiry(expires, item);
    }
}

impl CallRecord {
    fn held_refusal(&self) -> ShardRefusal {
        ShardRefusal::CallHeld { record: Box::new(self.clone()) }
    }
}
