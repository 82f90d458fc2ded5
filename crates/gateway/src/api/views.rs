//! JSON representations of shard records.

use hooklug_state::shard::{CallRecord, ProgramRecord, SessionRecord, TurnRecord, TurnState};
use hooklug_types::{CallOutcome, EndReason, TurnId};
use serde_json::{Value, json};

use crate::calls::non_repeatable::refused_status;

/// Renders a program.
#[must_use]
pub fn program(record: &ProgramRecord) -> Value {
    json!({
        "program": record.program.as_str(),
        "tenant": record.tenant.as_str(),
        "token_budget": record.token_budget.0,
        "spent": record.spent.0,
        "reserved": record.reserved.0,
        "end_time_ms": record.end_time.0,
    })
}

/// Renders a session.
#[must_use]
pub fn session(record: &SessionRecord) -> Value {
    json!({
        "program": record.key.program.as_str(),
        "session": record.key.session.as_str(),
        "owner": record.owner.as_ref().map(|o| o.engine.as_str()),
        "owner_incarnation": record.owner.as_ref().map(|o| o.incarnation.0),
        "epoch": record.epoch.0,
        "head": record.head.as_ref().map(TurnId::as_str),
        "open_turn": record.open_turn.as_ref().map(TurnId::as_str),
        "next_seq": record.next_seq.0,
        "closed": record.closed,
        "service": record.service.as_str(),
        "version": record.version.as_str(),
    })
}

fn turn_state(state: &TurnState) -> &'static str {
    match state {
        TurnState::Open => "open",
        TurnState::Refused(_) => "refused",
        TurnState::Ended { reason, .. } => match reason {
            EndReason::Finished => "finished",
            EndReason::Interrupted => "interrupted",
            EndReason::Aborted => "aborted",
            EndReason::Failed { .. } => "failed",
        },
    }
}

/// Renders a turn.
#[must_use]
pub fn turn(record: &TurnRecord) -> Value {
    let last_seq = match &record.state {
        TurnState::Ended { last_seq, .. } => Some(last_seq.0),
        TurnState::Open | TurnState::Refused(_) => None,
    };
    let code = match &record.state {
        TurnState::Ended { reason: EndReason::Failed { code }, .. } => json!(code),
        TurnState::Refused(refusal) => json!(super::refusals::from_shard(refusal).code),
        TurnState::Ended { .. } | TurnState::Open => Value::Null,
    };
    json!({
        "turn": record.turn.as_str(),
        "after": record.after.as_ref().map(TurnId::as_str),
        "state": turn_state(&record.state),
        "tokens": record.tokens.0,
        "started": record.started.0,
        "last_seq": last_seq,
        "code": code,
    })
}

/// Renders a non-repeatable call. `running` also covers a call whose gateway has failed, which
/// cannot be distinguished.
#[must_use]
pub fn call(record: &CallRecord) -> Value {
    let call = record.call.as_str();
    match &record.outcome {
        None => json!({"call": call, "state": "running"}),
        Some(CallOutcome::Unknown) => json!({"call": call, "state": "unknown"}),
        Some(CallOutcome::NotRun) => json!({"call": call, "state": "not_run"}),
        Some(CallOutcome::Answered { status, .. }) if *status == refused_status() => {
            json!({"call": call, "state": "refused"})
        }
        Some(CallOutcome::Answered { status, body }) => {
            let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
            json!({"call": call, "state": "answered", "status": status, "body": body})
        }
    }
}
