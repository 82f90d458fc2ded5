//! Commits: one in flight a session, the next carries all that has gathered since. Events are
//! released only here, after the shard has answered.

use std::time::Instant;

use hooklug_state::shard::{
    BeginTurn, Event, EventBody, FinishTurn, SessionRecord, ShardCommand, ShardRefusal, ShardReply,
    TurnGrant, TurnState,
};
use hooklug_types::{EndReason, EventSeq, TokenCount, TurnId};

use crate::effect::{Answer, Effect, Ending, SessionRefusal};
use crate::message::{CommitId, ReplyId};
use crate::phase::Phase;
use crate::session::{PendingEvent, Session};

/// Bytes of event texts after which an append is closed (ours); it holds at least one event.
const APPEND_BYTES: usize = 256 << 10;

/// A commit whose answer is awaited.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    commit: CommitId,
    command: ShardCommand,
    /// For appends: the events, with those who wait for them.
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
    /// Sends the next commit if none is in flight and something waits for one.
    pub(crate) fn advance(&mut self) {
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
            let events = self.take_append();
            return Some((self.append_command(&events), events));
        }
        let (key, epoch) = (self.record.key.clone(), self.record.epoch);
        let command = match &self.phase {
            Phase::Open(open) => {
                let reason = open.ending.clone()?;
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

    fn take_append(&mut self) -> Vec<PendingEvent> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        while let Some(next) = self.pending.front() {
            bytes += text_bytes(&next.body);
            if bytes > APPEND_BYTES && !taken.is_empty() {
                break;
            }
            taken.extend(self.pending.pop_front());
        }
        taken
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

    /// The answer was lost: the same again, which changes nothing if it was applied.
    pub(crate) fn commit_again(&mut self, commit: CommitId) {
        if let Some(in_flight) = self.in_flight.as_ref().filter(|f| f.commit == commit) {
            let command = in_flight.command.clone();
            self.effects.push(Effect::Commit { commit, command });
        }
    }

    pub(crate) fn committed(&mut self, commit: CommitId, reply: ShardReply, now: Instant) {
        if self.in_flight.as_ref().is_none_or(|f| f.commit != commit) {
            return;
        }
        let Some(in_flight) = self.in_flight.take() else { return };
        match reply {
            ShardReply::Refused(refusal) => self.commit_refused(in_flight, refusal),
            reply => self.commit_applied(in_flight, reply),
        }
        self.note_unconnected(now);
    }

    fn commit_refused(&mut self, in_flight: InFlight, refusal: ShardRefusal) {
        let handed_over = matches!(in_flight.command, ShardCommand::HandOver { .. });
        let begin = matches!(in_flight.command, ShardCommand::BeginTurn(_));
        let fits = begin && self.begin_refusal_fits(&refusal);
        // Put back, so that those who wait are told by `end`.
        self.in_flight = (!fits).then_some(in_flight);
        match refusal {
            ShardRefusal::StaleEpoch { .. } if handed_over => self.end(Ending::HandedOver),
            ShardRefusal::StaleEpoch { record } => self.end(Ending::NotOwner(Some(record))),
            refusal if fits => self.drop_starting(&SessionRefusal::Ledger(refusal)),
            ShardRefusal::SessionClosed => self.end(Ending::Closed),
            _ => self.end(Ending::OutOfStep),
        }
    }

    /// Whether a refusal of `BeginTurn` agrees with what this loop knows of the session.
    fn begin_refusal_fits(&self, refusal: &ShardRefusal) -> bool {
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
        let fits = match (&in_flight.command, reply) {
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
                self.end(Ending::HandedOver);
                true
            }
            _ => false,
        };
        if !fits {
            // Put back, so that those who wait are told by `end`.
            self.in_flight = Some(in_flight);
            self.end(Ending::OutOfStep);
        }
    }

    fn begin_applied(&mut self, grant: TurnGrant) -> bool {
        match grant.existing {
            Some(known) if matches!(known.state, TurnState::Ended { .. }) => {
                let in_history = self.history.knows(&known.turn);
                if in_history {
                    self.turn_found(known);
                }
                in_history
            }
            // Open already: an earlier sending of this very command was applied.
            _ => {
                let fits = grant.started == self.record.next_seq;
                if fits {
                    self.turn_begun(&grant);
                }
                fits
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
        // Without the rule they were shown already.
        #[cfg(feature = "broken-rules")]
        self.keep(released);
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
        let event = ended_event(turn, last_seq, reason, ended.tokens);
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
        self.end(Ending::Closed);
        true
    }

    /// Adds committed events to the history and sends them to all whom they concern.
    pub(crate) fn release(&mut self, events: Vec<Event>) {
        self.clients.release(&events, &mut self.effects);
        self.keep(events);
    }

    fn keep(&mut self, events: Vec<Event>) {
        for event in events {
            self.record.next_seq = event.seq.next();
            self.history.push(event);
        }
    }
}

fn ended_event(turn: &TurnId, seq: EventSeq, reason: EndReason, tokens: TokenCount) -> Event {
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
