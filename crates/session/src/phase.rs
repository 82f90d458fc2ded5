//! The phase of a session (between turns, or in a turn that is starting or open) and the state of
//! its current turn.

use std::time::Instant;

use hooklug_state::shard::{SessionRecord, TurnRecord, TurnState};
use hooklug_types::{Digest, EndReason, EventSeq, FailureCode, TokenCount, TurnId};

use crate::history::History;
use crate::message::{ClientId, GenerationId, ReplyId, SlotRequestId, TurnRequest};

/// The phase of a session.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// Between turns.
    Idle,
    /// A turn was requested but is not committed yet.
    Starting(Box<StartingTurn>),
    /// A turn is committed and has not ended.
    Open(Box<OpenTurn>),
}

/// A requested turn that is not committed yet.
#[derive(Debug, Clone)]
pub(crate) struct StartingTurn {
    pub(crate) request: TurnRequest,
    pub(crate) clients: Vec<(ClientId, EventSeq)>,
    /// The turn's slot, or its pending slot request.
    pub(crate) ticket: Option<SlotRequestId>,
    /// Whether the turn may be committed.
    pub(crate) ready: bool,
    /// Abort requests that arrived before the turn was committed.
    pub(crate) abort_replies: Vec<ReplyId>,
}

/// A committed turn that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct OpenTurn {
    pub(crate) record: TurnRecord,
    /// Number of tokens that the caller requested; more than `record.reserved` if the budget
    /// limited the reservation.
    max_tokens: TokenCount,
    pub(crate) deadline: Instant,
    pub(crate) ticket: Option<SlotRequestId>,
    pub(crate) generation: Option<GenerationId>,
    /// Number of generated tokens, committed or not.
    pub(crate) generated: TokenCount,
    /// The reason for which the turn ends; committed after all its events. `None` until the end is
    /// decided.
    pub(crate) end_reason: Option<EndReason>,
    pub(crate) replies: Vec<ReplyId>,
}

impl Phase {
    /// Creates the phase of a newly loaded session. A turn that is open in the record was started
    /// by an earlier loop of this engine and no longer has a generation, so it is ended as
    /// interrupted.
    pub(crate) fn from_record(record: &SessionRecord, history: &History, now: Instant) -> Self {
        let Some(turn) = record.open_turn.clone() else { return Self::Idle };
        let started = history.of_turn(&turn, EventSeq(0)).first().map(|e| e.seq);
        let record = TurnRecord {
            turn,
            after: record.head.clone(),
            digest: Digest([0; 32]),
            started: started.unwrap_or_default(),
            reserved: TokenCount(0),
            tokens: TokenCount(0),
            state: TurnState::Open,
        };
        let mut open = OpenTurn::new(record, TokenCount(0), now);
        open.end_reason = Some(EndReason::Interrupted);
        Self::Open(Box::new(open))
    }

    pub(crate) fn remove_client(&mut self, client: ClientId) {
        if let Self::Starting(starting) = self {
            starting.clients.retain(|(c, _)| *c != client);
        }
    }

    /// Whether a turn is waiting for its slot although all its clients have left.
    pub(crate) fn is_abandoned(&self) -> bool {
        matches!(self, Self::Starting(s) if s.clients.is_empty() && !s.ready)
    }

    pub(crate) fn has_waiting_clients(&self) -> bool {
        matches!(self, Self::Starting(s) if !s.clients.is_empty())
    }

    pub(crate) fn turn(&self) -> Option<&TurnId> {
        match self {
            Self::Idle => None,
            Self::Starting(starting) => Some(&starting.request.turn),
            Self::Open(open) => Some(&open.record.turn),
        }
    }
}

impl OpenTurn {
    pub(crate) fn new(record: TurnRecord, max_tokens: TokenCount, deadline: Instant) -> Self {
        Self {
            record,
            max_tokens,
            deadline,
            ticket: None,
            generation: None,
            generated: TokenCount(0),
            end_reason: None,
            replies: Vec::new(),
        }
    }

    fn is_limited_by_budget(&self) -> bool {
        self.record.reserved < self.max_tokens
    }

    /// Returns the end reason of a turn that has used up its reservation: `BudgetSpent` if the
    /// budget limited the reservation, otherwise `otherwise`.
    pub(crate) fn reason_at_limit(&self, otherwise: EndReason) -> EndReason {
        if self.is_limited_by_budget() {
            EndReason::Failed { code: FailureCode::BudgetSpent }
        } else {
            otherwise
        }
    }
}
