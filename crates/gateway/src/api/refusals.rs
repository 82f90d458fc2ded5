//! Maps refusals of engines and shards to problem responses.

use std::time::Duration;

use hooklug_protocol::engine::EngineRefusal;
use hooklug_state::shard::ShardRefusal;
use hooklug_types::TurnId;

use super::problem::{Code, Problem};

/// Retry delay after a transient refusal.
pub const RETRY_SOON: Duration = Duration::from_millis(250);

/// Retry delay when a shard is unreachable; about one leader election.
pub const RETRY_STORE: Duration = Duration::from_secs(1);

/// Maps a refusal committed by the shard.
#[must_use]
pub fn from_shard(refusal: &ShardRefusal) -> Problem {
    let detail = refusal.to_string();
    match refusal {
        ShardRefusal::NoProgram => Problem::new(Code::NoProgram, detail),
        ShardRefusal::ProgramDiffers => Problem::new(Code::ProgramDiffers, detail),
        ShardRefusal::NoSession => Problem::new(Code::NoSession, detail),
        ShardRefusal::SessionClosed => Problem::new(Code::SessionClosed, detail),
        ShardRefusal::NotHead { head, after_known } => not_head(head.as_ref(), *after_known),
        ShardRefusal::TurnOpen { turn } => {
            Problem::new(Code::TurnOpen, format!("turn {turn} is open"))
        }
        ShardRefusal::TurnDiffers => Problem::field(Code::TurnDiffers, "turn", detail),
        ShardRefusal::NoOpenTurn => Problem::new(Code::NoTurn, detail),
        ShardRefusal::BudgetSpent => Problem::new(Code::BudgetSpent, detail),
        ShardRefusal::ProgramEnded => Problem::new(Code::ProgramEnded, detail),
        ShardRefusal::BudgetReserved => {
            Problem::retryable(Code::BudgetReserved, detail, RETRY_SOON)
        }
        ShardRefusal::CallDiffers => Problem::new(Code::CallDiffers, detail),
        ShardRefusal::NoCall => Problem::new(Code::NoCall, detail),
        ShardRefusal::StaleEpoch { .. }
        | ShardRefusal::Gap { .. }
        | ShardRefusal::ReservationExceeded { .. }
        | ShardRefusal::CallHeld { .. }
        | ShardRefusal::LeaseExpired
        | ShardRefusal::UnknownTurn
        | ShardRefusal::Superseded
        | ShardRefusal::LeaseRenewed => Problem::try_again(detail, RETRY_SOON),
    }
}

fn not_head(head: Option<&TurnId>, after_known: bool) -> Problem {
    let detail = match head {
        Some(turn) => format!("the head is {turn}"),
        None => "the session has no turn yet".to_owned(),
    };
    let code = if after_known { Code::NotHead } else { Code::NoSuchTurn };
    Problem::field(code, "after", detail)
}

/// Maps a refusal of an engine that the gateway could not handle itself.
#[must_use]
pub fn from_engine(refusal: &EngineRefusal) -> Problem {
    let detail = refusal.to_string();
    match refusal {
        EngineRefusal::Shard(refusal) => from_shard(refusal),
        EngineRefusal::Overloaded { retry_after_ms } => {
            let after = Duration::from_millis(*retry_after_ms);
            Problem::retryable(Code::Overloaded, detail, after)
        }
        EngineRefusal::DeadlineExceeded => {
            Problem::retryable(Code::DeadlineExceeded, detail, RETRY_SOON)
        }
        EngineRefusal::StoreUnavailable => Problem::try_again(detail, RETRY_STORE),
        EngineRefusal::NotOwner { .. }
        | EngineRefusal::WrongIncarnation { .. }
        | EngineRefusal::Draining
        | EngineRefusal::NotReady { .. }
        | EngineRefusal::LeaseLost
        | EngineRefusal::HandedOver => Problem::try_again(detail, RETRY_SOON),
    }
}
