//! Commits of a session. One commit is in flight at a time; the next one carries all events that
//! were queued meanwhile. Events are released to clients only here, after the shard has replied.

use std::time::Instant;

use hooklug_state::shard::{
    BeginTurn, Event, EventBody, FinishTurn, SessionRecord, ShardCommand, ShardRefusal, ShardReply,
    TurnGrant, TurnState,
};
use hooklug_types::{EndReason, EventSeq, TokenCount, TurnId};

use crate::effect::{Answer, Effect, ExitReason, SessionRefusal};
use crate::message::{CommitId, ReplyId};
use crate::phase::Phase;
use crate::session::{PendingEvent, Session};

/// Maximum size in bytes of the event texts in one append. A single event may exceed it.
const MAX_APPEND_BYTES: usize = 256 << 10;

/// A commit that waits for the shard's reply.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    commit: CommitId,
    command: ShardCommand,
    /// The events of an append, with the requests that wait for them; empty for other commands.
    events: Vec<PendingEvent>,
}

impl InFlight {
    pub(crate) fn events_mut(&mut self) -> &mut [PendingEvent] {
        &mut self.events
    }

    pub(crate) fn replies(self) -> impl Iterator<Item = ReplyId> {
        self.events.into_iter().flat_map(|e| e.replies)
    }
}

impl Session {
    /// Sends the next commit, if none is in flight and there is something to commit.
    pub(crate) fn send_next_commit(&mut self) {
        if self.in_flight.is_some() {
            return;
        }
        let Some((command, events)) = self.next_command() else { return };
        let commit = CommitId(self.new_id());
        self.effects.push(Effect::Commit { commit, command: command.clone() });
        #[cfg(feature = "broken-rules")]
        self.release_uncommitted(&command, &events);
        self.in_flight = Some(InFlight { commit, command, events });
    }

    fn next_command(&mut self) -> Option<(ShardCommand, Vec<PendingEvent>)> {
        if !self.pending.is_empty() {
            let events = self.take_append_batch();
            return Some((self.append_command(&events), events));
        }
        let (key, epoch) = (self.record.key.clone(), self.record.epoch);
        let command = match &self.phase {
            Phase::Open(open) => {
                let reason = open.end_reason.clone()?;
                let turn = open.record.turn.clone();
                ShardCommand::FinishTurn(FinishTurn { key, epoch, turn, reason })
            }
            Phase::Starting(starting) if starting.ready => {
                let request = &starting.request;
                ShardCommand::BeginTurn(BeginTurn {
                    key,
                    epoch,
                    turn: request.turn.clone(),
                    after: request.after.clone(),
                    digest: request.digest,
                    input: request.input.clone(),
                    max_tokens: request.max_tokens,
                })
            }
            Phase::Starting(_) => return None,
            Phase::Idle if self.closing.is_some() => ShardCommand::CloseSession { key, epoch },
            Phase::Idle if self.handing_over => ShardCommand::HandOver { key, epoch },
            Phase::Idle => return None,
        };
        Some((command, Vec::new()))
    }

    fn take_append_batch(&mut self) -> Vec<PendingEvent> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(next) = self.pending.front() {
            bytes += text_bytes(&next.body);
            if bytes > MAX_APPEND_BYTES && !batch.is_empty() {
                break;
            }
            batch.extend(self.pending.pop_front());
        }
        batch
    }

    fn append_command(&self, events: &[PendingEvent]) -> ShardCommand {
        let turn = match &self.phase {
            Phase::Open(open) => Some(open.record.turn.clone()),
            _ => None,
        };
        ShardCommand::AppendEvents {
            key: self.record.key.clone(),
            epoch: self.record.epoch,
            turn,
            first_seq: self.record.next_seq,
            bodies: events.iter().map(|e| e.body.clone()).collect(),
        }
    }

    pub(crate) fn begin_is_in_flight(&self) -> bool {
        let command = self.in_flight.as_ref().map(|f| &f.command);
        matches!(command, Some(ShardCommand::BeginTurn(_)))
    }

    /// Resends a commit whose reply was lost. Commands are idempotent, so this is safe if it was
    /// already applied.
    pub(crate) fn resend_commit(&mut self, commit: CommitId) {
        if let Some(in_flight) = self.in_flight.as_ref().filter(|f| f.commit == commit) {
            let command = in_flight.command.clone();
            self.effects.push(Effect::Commit { commit, command });
        }
    }

    pub(crate) fn commit_replied(&mut self, commit: CommitId, reply: ShardReply, now: Instant) {
        if self.in_flight.as_ref().is_none_or(|f| f.commit != commit) {
            return;
        }
        let Some(in_flight) = self.in_flight.take() else { return };
        match reply {
            ShardReply::Refused(refusal) => self.commit_refused(in_flight, refusal),
            reply => self.commit_applied(in_flight, reply),
        }
        self.update_unconnected_since(now);
    }

    fn commit_refused(&mut self, in_flight: InFlight, refusal: ShardRefusal) {
        let is_hand_over = matches!(in_flight.command, ShardCommand::HandOver { .. });
        let is_begin = matches!(in_flight.command, ShardCommand::BeginTurn(_));
        let is_expected = is_begin && self.is_expected_begin_refusal(&refusal);
        // Put back, so that `end` replies to the waiting requests.
        self.in_flight = (!is_expected).then_some(in_flight);
        match refusal {
            ShardRefusal::StaleEpoch { .. } if is_hand_over => self.end(ExitReason::HandedOver),
            ShardRefusal::StaleEpoch { record } => self.end(ExitReason::NotOwner(Some(record))),
            refusal if is_expected => self.refuse_starting_turn(&SessionRefusal::Shard(refusal)),
            ShardRefusal::SessionClosed => self.end(ExitReason::Closed),
            _ => self.end(ExitReason::OutOfSync),
        }
    }

    /// Whether a refusal of `BeginTurn` is consistent with this loop's copy of the session.
    fn is_expected_begin_refusal(&self, refusal: &ShardRefusal) -> bool {
        match refusal {
            ShardRefusal::NotHead { head, .. } => *head == self.record.head,
            ShardRefusal::TurnDiffers
            | ShardRefusal::BudgetSpent
            | ShardRefusal::BudgetReserved
            | ShardRefusal::ProgramEnded => true,
            _ => false,
        }
    }

    fn commit_applied(&mut self, in_flight: InFlight, reply: ShardReply) {
        let is_expected = match (&in_flight.command, reply) {
            (ShardCommand::BeginTurn(_), ShardReply::Turn(grant)) => self.begin_applied(grant),
            (
                ShardCommand::AppendEvents { turn, first_seq, .. },
                ShardReply::Appended { next_seq },
            ) if next_seq.0 == first_seq.0 + in_flight.events.len() as u64 => {
                self.append_applied(turn.as_ref(), *first_seq, in_flight.events);
                return;
            }
            (ShardCommand::FinishTurn(finish), ShardReply::Turn(grant)) => {
                self.finish_applied(&finish.turn, grant)
            }
            (ShardCommand::CloseSession { .. }, ShardReply::Session(record)) => {
                self.close_applied(record)
            }
            (ShardCommand::HandOver { .. }, ShardReply::Session(_) | ShardReply::Done) => {
                self.end(ExitReason::HandedOver);
                true
            }
            _ => false,
        };
        if !is_expected {
            // Put back, so that `end` replies to the waiting requests.
            self.in_flight = Some(in_flight);
            self.end(ExitReason::OutOfSync);
        }
    }

    fn begin_applied(&mut self, grant: TurnGrant) -> bool {
        match grant.existing {
            Some(known) if matches!(known.state, TurnState::Ended { .. }) => {
                let in_history = self.history.contains_turn(&known.turn);
                if in_history {
                    self.turn_already_ended(known);
                }
                in_history
            }
            // Either newly started, or already open because an earlier send of this command was
            // applied.
            _ => {
                let is_expected = grant.started == self.record.next_seq;
                if is_expected {
                    self.turn_started(&grant);
                }
                is_expected
            }
        }
    }

    fn append_applied(
        &mut self,
        turn: Option<&TurnId>,
        first_seq: EventSeq,
        events: Vec<PendingEvent>,
    ) {
        let mut released = Vec::with_capacity(events.len());
        let mut replies = Vec::new();
        for (seq, pending) in (first_seq.0..).map(EventSeq).zip(events) {
            replies.extend(pending.replies.into_iter().map(|r| (r, seq)));
            released.push(Event { seq, turn: turn.cloned(), body: pending.body });
        }
        if let Phase::Open(open) = &mut self.phase {
            open.record.tokens.0 += token_sum(&released).0;
        }
        // With the feature, `release_uncommitted` has already sent the events.
        #[cfg(feature = "broken-rules")]
        self.store_events(released);
        #[cfg(not(feature = "broken-rules"))]
        self.release(released);
        for (reply, seq) in replies {
            self.reply(reply, Ok(Answer::ToolResult(seq)));
        }
    }

    fn finish_applied(&mut self, turn: &TurnId, grant: TurnGrant) -> bool {
        let Some(ended) = grant.existing else { return false };
        let TurnState::Ended { reason, last_seq } = ended.state.clone() else { return false };
        if last_seq != self.record.next_seq || ended.turn != *turn {
            return false;
        }
        let event = turn_ended_event(turn, last_seq, reason, ended.tokens);
        self.turn_ended(&ended, event);
        true
    }

    fn close_applied(&mut self, record: SessionRecord) -> bool {
        if !record.closed || record.next_seq != self.record.next_seq.next() {
            return false;
        }
        self.release(vec![Event {
            seq: self.record.next_seq,
            turn: None,
            body: EventBody::Closed,
        }]);
        self.record = record;
        for reply in self.closing.take().unwrap_or_default() {
            self.reply(reply, Ok(Answer::Closed(Box::new(self.record.clone()))));
        }
        self.end(ExitReason::Closed);
        true
    }

    /// Adds committed events to the history and sends them to the subscribed clients.
    pub(crate) fn release(&mut self, events: Vec<Event>) {
        self.clients.release(&events, &mut self.effects);
        self.store_events(events);
    }

    fn store_events(&mut self, events: Vec<Event>) {
        for event in events {
            self.record.next_seq = event.seq.next();
            self.history.push(event);
        }
    }
}

fn turn_ended_event(turn: &TurnId, seq: EventSeq, reason: EndReason, tokens: TokenCount) -> Event {
    Event { seq, turn: Some(turn.clone()), body: EventBody::TurnEnded { reason, tokens } }
}

fn token_sum(events: &[Event]) -> TokenCount {
    let counts = events.iter().map(|e| match e.body {
        EventBody::Tokens { count, .. } => count.0,
        _ => 0,
    });
    TokenCount(counts.sum())
}

fn text_bytes(body: &EventBody) -> usize {
    match body {
        EventBody::TurnStarted { input, .. } => input.len(),
        EventBody::Tokens { text, .. } => text.len(),
        EventBody::ToolRequested { tool, arguments } => tool.len() + arguments.len(),
        EventBody::ToolResult { call, result } => call.len() + result.len(),
        EventBody::TurnEnded { .. } | EventBody::Closed => 0,
    }
}
