//! Where a session is in its line of turns, and what is known of the turn that it is at.

use std::time::Instant;

use hooklug_state::shard::{SessionRecord, TurnRecord, TurnState};
use hooklug_types::{Digest, EndReason, EventSeq, FailureCode, TokenCount, TurnId};

use crate::history::History;
use crate::message::{ClientId, GenerationId, ReplyId, SlotTicket, TurnRequest};

/// Where the session is in its line of turns.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    /// Between turns.
    Idle,
    /// A turn was asked for and is not committed yet.
    Starting(Box<StartingTurn>),
    /// A turn is committed and not over.
    Open(Box<OpenTurn>),
}

/// A turn that is not committed yet.
#[derive(Debug, Clone)]
pub(crate) struct StartingTurn {
    pub(crate) request: TurnRequest,
    pub(crate) clients: Vec<(ClientId, EventSeq)>,
    /// Its slot, or the wish for one.
    pub(crate) ticket: Option<SlotTicket>,
    /// Whether it may be committed.
    pub(crate) ready: bool,
    /// Who asked to abort it meanwhile.
    pub(crate) aborts: Vec<ReplyId>,
}

/// A committed turn that is not over.
#[derive(Debug, Clone)]
pub(crate) struct OpenTurn {
    pub(crate) record: TurnRecord,
    /// Tokens that its caller asked for; more than reserved when the budget cut it.
    max_tokens: TokenCount,
    pub(crate) deadline: Instant,
    pub(crate) ticket: Option<SlotTicket>,
    pub(crate) generation: Option<GenerationId>,
    /// Tokens generated, committed or not.
    pub(crate) generated: TokenCount,
    /// Why it is over, once it is; committed after all its events.
    pub(crate) ending: Option<EndReason>,
    pub(crate) replies: Vec<ReplyId>,
}

impl Phase {
    /// A turn that is open in the record was left by an earlier loop of this engine: it has no generation any more.
    pub(crate) fn left_by_earlier_loop(
        record: &SessionRecord,
        history: &History,
        now: Instant,
    ) -> Self {
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
        open.ending = Some(EndReason::Interrupted);
        Self::Open(Box::new(open))
    }

    pub(crate) fn forget_client(&mut self, client: ClientId) {
        if let Self::Starting(starting) = self {
            starting.clients.retain(|(c, _)| *c != client);
        }
    }

    /// Whether a turn waits for its slot that nobody wants any more.
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
            ending: None,
            replies: Vec::new(),
        }
    }

    fn cut_by_budget(&self) -> bool {
        self.record.reserved < self.max_tokens
    }

    /// The end of a turn whose reservation is reached: by the budget, if that cut the reservation.
    pub(crate) fn reason_at_limit(&self, otherwise: EndReason) -> EndReason {
        if self.cut_by_budget() {
            EndReason::Failed { code: FailureCode::BudgetSpent }
        } else {
            otherwise
        }
    }
}
