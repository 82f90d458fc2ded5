//! Appends events to a session's stream and reads them.

use hooklug_types::{EventSeq, SessionEpoch, SessionKey, TokenCount, TurnId};

use super::command::{ShardRefusal, ShardReply};
use super::event::{Event, EventBody};
use super::machine::{CommandResult, SessionEntry, ShardMachine};
use super::query::ShardAnswer;

/// Maximum size in bytes of the event texts in one reply; a reply that is truncated sets `more`. A
/// single event may exceed it.
const MAX_REPLY_BYTES: usize = 1 << 20;

impl ShardMachine {
    /// Appends events of the open turn, or tool results between turns. Either all events are
    /// appended or none.
    pub(super) fn append_events(
        &mut self,
        key: &SessionKey,
        epoch: SessionEpoch,
        turn: Option<&TurnId>,
        first_seq: EventSeq,
        bodies: Vec<EventBody>,
    ) -> CommandResult {
        let session = self.session_mut(key)?;
        session.check_epoch(epoch)?;
        if session.is_already_applied(first_seq, turn, &bodies) {
            return Ok(ShardReply::Appended { next_seq: session.record.next_seq });
        }
        session.check_append(turn, first_seq, &bodies)?;
        session.append(turn, bodies);
        Ok(ShardReply::Appended { next_seq: session.record.next_seq })
    }

    /// Reads the events of a session after a sequence number.
    pub(super) fn answer_events(
        &self,
        key: &SessionKey,
        after: EventSeq,
        limit: u32,
    ) -> ShardAnswer {
        let mut bytes = 0;
        let mut events: Vec<Event> = Vec::new();
        let Some(session) = self.find_session(key) else {
            return ShardAnswer::Events { events, more: false };
        };
        for event in session.log.after(after).take(limit as usize) {
            bytes += event.body.text_bytes();
            if bytes > MAX_REPLY_BYTES && !events.is_empty() {
                break;
            }
            events.push(event.clone());
        }
        let last_read = after.0.saturating_add(events.len() as u64);
        let more = last_read < session.log.len() as u64;
        ShardAnswer::Events { events, more }
    }
}

impl SessionEntry {
    /// Whether an append has no effect, because its events are already committed or it contains
    /// only results of calls that already have a result.
    fn is_already_applied(
        &self,
        first_seq: EventSeq,
        turn: Option<&TurnId>,
        bodies: &[EventBody],
    ) -> bool {
        bodies.iter().all(|body| self.has_tool_result(body))
            || self.log.contains_at(first_seq, turn, bodies)
    }

    fn has_tool_result(&self, body: &EventBody) -> bool {
        matches!(body, EventBody::ToolResult { call, .. } if self.tool_results.contains(call))
    }

    fn check_append(
        &self,
        turn: Option<&TurnId>,
        first_seq: EventSeq,
        bodies: &[EventBody],
    ) -> Result<(), ShardRefusal> {
        if self.record.closed {
            return Err(ShardRefusal::SessionClosed);
        }
        self.check_kinds(turn, bodies)?;
        let has_duplicate_result = bodies.iter().any(|body| self.has_tool_result(body));
        if first_seq != self.record.next_seq || has_duplicate_result {
            return Err(ShardRefusal::Gap { next_seq: self.record.next_seq });
        }
        self.check_reservation(turn, bodies)
    }

    /// Checks that a turn's events are for the open turn, and that events between turns are tool
    /// results.
    fn check_kinds(&self, turn: Option<&TurnId>, bodies: &[EventBody]) -> Result<(), ShardRefusal> {
        let allowed = match turn {
            Some(_) => bodies.iter().all(EventBody::is_appendable),
            None => bodies.iter().all(|body| matches!(body, EventBody::ToolResult { .. })),
        };
        match (turn, &self.record.open_turn) {
            (Some(named), Some(open)) if named == open && allowed => Ok(()),
            (None, None) if allowed => Ok(()),
            (None, Some(open)) => Err(ShardRefusal::TurnOpen { turn: open.clone() }),
            _ => Err(ShardRefusal::NoOpenTurn),
        }
    }

    fn check_reservation(
        &self,
        turn: Option<&TurnId>,
        bodies: &[EventBody],
    ) -> Result<(), ShardRefusal> {
        let Some(record) = turn.and_then(|t| self.turns.get(t)) else { return Ok(()) };
        let left = TokenCount(record.reserved.0.saturating_sub(record.tokens.0));
        if total_tokens(bodies) > left {
            return Err(ShardRefusal::ReservationExceeded { left });
        }
        Ok(())
    }

    fn append(&mut self, turn: Option<&TurnId>, bodies: Vec<EventBody>) {
        if let Some(record) = turn.and_then(|t| self.turns.get_mut(t)) {
            record.tokens.0 += total_tokens(&bodies).0;
        }
        for body in bodies {
            if let EventBody::ToolResult { call, .. } = &body {
                self.tool_results.insert(call.clone());
            }
            self.push_event(turn.cloned(), body);
        }
    }
}

/// Returns the number of tokens in some events; the sum saturates.
fn total_tokens(bodies: &[EventBody]) -> TokenCount {
    let counts = bodies.iter().map(|body| match body {
        EventBody::Tokens { count, .. } => count.0,
        _ => 0,
    });
    TokenCount(counts.fold(0, u64::saturating_add))
}

impl EventBody {
    /// Whether an owner may append this kind of event. The other kinds are written by the commands
    /// that they record.
    fn is_appendable(&self) -> bool {
        matches!(self, Self::Tokens { .. } | Self::ToolRequested { .. } | Self::ToolResult { .. })
    }

    fn text_bytes(&self) -> usize {
        match self {
            Self::TurnStarted { input, .. } => input.len(),
            Self::Tokens { text, .. } => text.len(),
            Self::ToolRequested { tool, arguments } => tool.len() + arguments.len(),
            Self::ToolResult { call, result } => call.len() + result.len(),
            Self::TurnEnded { .. } | Self::Closed => 0,
        }
    }
}
