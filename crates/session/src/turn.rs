//! The lifecycle of a turn in the loop: requested, waiting for a slot, open, ending.

use std::time::Instant;

use hooklug_state::shard::{Event, EventBody, ShardRefusal, TurnGrant, TurnRecord, TurnState};
use hooklug_types::{Digest, EndReason, EventSeq, FailureCode, TokenCount, TurnId};

use crate::clients::refuse;
use crate::effect::{Answer, Effect, SessionRefusal, SlotRequest};
use crate::message::{ClientId, ReplyId, SlotRefusal, SlotRequestId, TurnRequest};
use crate::phase::{OpenTurn, Phase, StartingTurn};
use crate::session::Session;

impl Session {
    pub(crate) fn run_turn(
        &mut self,
        client: ClientId,
        request: TurnRequest,
        last_seen: EventSeq,
        now: Instant,
    ) {
        self.unconnected_since = None;
        match &mut self.phase {
            Phase::Open(open) if open.record.turn == request.turn => {
                let known = open.record.clone();
                // The digest of a turn started by an earlier loop is unknown here, so read its
                // record from the shard.
                if known.digest == Digest([0; 32]) {
                    self.start_lookup(client, request, last_seen);
                } else {
                    self.attach(client, &known, &request, last_seen);
                }
            }
            Phase::Starting(starting) if starting.request.turn == request.turn => {
                if starting.request.digest == request.digest {
                    starting.clients.push((client, last_seen));
                } else {
                    refuse(client, SessionRefusal::TryAgain, &mut self.effects);
                }
            }
            _ if self.history.contains_turn(&request.turn) => {
                match self.history.record(&request.turn).cloned() {
                    Some(known) => self.attach(client, &known, &request, last_seen),
                    None => self.start_lookup(client, request, last_seen),
                }
            }
            _ => self.start_turn(client, request, last_seen, now),
        }
        self.update_unconnected_since(now);
    }

    fn start_turn(
        &mut self,
        client: ClientId,
        request: TurnRequest,
        last_seen: EventSeq,
        now: Instant,
    ) {
        let refusal = if self.closing.is_some() || self.handing_over {
            Some(SessionRefusal::HandedOver)
        } else if request.deadline <= now {
            Some(SessionRefusal::DeadlineExceeded)
        } else {
            let open = self.phase.turn().cloned();
            open.map(|turn| SessionRefusal::Shard(ShardRefusal::TurnOpen { turn }))
        };
        if let Some(refusal) = refusal {
            refuse(client, refusal, &mut self.effects);
            return;
        }
        // A turn that does not follow the head needs no slot, because the shard will refuse it.
        let needs_slot = request.after == self.record.head;
        let ticket = needs_slot.then(|| SlotRequestId(self.new_id()));
        if let Some(ticket) = ticket {
            let request = SlotRequest {
                tenant: request.tenant.clone(),
                group: request.group.clone(),
                urgent: request.urgent,
                deadline: request.deadline,
            };
            self.effects.push(Effect::RequestSlot { ticket, request });
        }
        self.phase = Phase::Starting(Box::new(StartingTurn {
            request,
            clients: vec![(client, last_seen)],
            ticket,
            ready: ticket.is_none(),
            abort_replies: Vec::new(),
        }));
    }

    pub(crate) fn slot_granted(&mut self, ticket: SlotRequestId) {
        match &mut self.phase {
            Phase::Starting(starting) if starting.ticket == Some(ticket) => starting.ready = true,
            Phase::Open(open) if open.ticket == Some(ticket) => {}
            _ => self.effects.push(Effect::ReleaseSlot { ticket }),
        }
    }

    pub(crate) fn slot_refused(&mut self, ticket: SlotRequestId, refusal: SlotRefusal) {
        let is_waiting = matches!(&self.phase,
            Phase::Starting(s) if s.ticket == Some(ticket) && !s.ready);
        if !is_waiting {
            return;
        }
        if let Phase::Starting(starting) = &mut self.phase {
            starting.ticket = None;
        }
        let refusal = match refusal {
            SlotRefusal::Overloaded { retry_after } => SessionRefusal::Overloaded { retry_after },
            SlotRefusal::DeadlineExceeded => SessionRefusal::DeadlineExceeded,
        };
        self.refuse_starting_turn(&refusal);
    }

    /// Cancels the starting turn, unless its commit is already in flight.
    pub(crate) fn cancel_starting_turn(&mut self, refusal: &SessionRefusal) {
        let is_waiting = matches!(&self.phase, Phase::Starting(_)) && !self.begin_is_in_flight();
        if is_waiting {
            self.refuse_starting_turn(refusal);
        }
    }

    /// Removes and returns the starting turn, if there is one. An open turn is left unchanged.
    fn take_starting_turn(&mut self) -> Option<StartingTurn> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Starting(starting) => Some(*starting),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Removes and returns the open turn, if there is one. A starting turn is left unchanged.
    fn take_open_turn(&mut self) -> Option<OpenTurn> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Open(open) => Some(*open),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Removes the starting turn and refuses all clients and requests that wait for it.
    pub(crate) fn refuse_starting_turn(&mut self, refusal: &SessionRefusal) {
        let Some(starting) = self.take_starting_turn() else { return };
        if let Some(ticket) = starting.ticket {
            self.effects.push(Effect::ReleaseSlot { ticket });
        }
        for (client, _) in starting.clients {
            refuse(client, refusal.clone(), &mut self.effects);
        }
        for reply in starting.abort_replies {
            self.reply(reply, Err(refusal.clone()));
        }
    }

    /// Handles the commit of the starting turn: the turn is now open.
    pub(crate) fn turn_started(&mut self, grant: &TurnGrant) {
        let Some(starting) = self.take_starting_turn() else { return };
        let StartingTurn { request, clients, ticket, abort_replies, .. } = starting;
        let record = TurnRecord {
            turn: request.turn.clone(),
            after: request.after.clone(),
            digest: request.digest,
            started: grant.started,
            reserved: grant.reserved,
            tokens: TokenCount(0),
            state: TurnState::Open,
        };
        self.record.open_turn = Some(request.turn.clone());
        let mut open = OpenTurn::new(record.clone(), request.max_tokens, request.deadline);
        open.ticket = ticket;
        let aborted = !abort_replies.is_empty() || self.closing.is_some();
        open.replies = abort_replies;
        self.phase = Phase::Open(Box::new(open));
        let body =
            EventBody::TurnStarted { after: request.after.clone(), input: request.input.clone() };
        let event = Event { seq: grant.started, turn: Some(request.turn.clone()), body };
        self.release(vec![event]);
        for (client, last_seen) in clients {
            self.subscribe(client, record.clone(), last_seen);
        }
        if aborted {
            self.end_turn(EndReason::Aborted);
        } else {
            self.start_generation(request);
        }
    }

    /// Handles a starting turn that turns out to have already ended according to the shard.
    pub(crate) fn turn_already_ended(&mut self, known: TurnRecord) {
        let Some(starting) = self.take_starting_turn() else { return };
        if let Some(ticket) = starting.ticket {
            self.effects.push(Effect::ReleaseSlot { ticket });
        }
        for (client, last_seen) in starting.clients {
            self.subscribe(client, known.clone(), last_seen);
        }
        for reply in starting.abort_replies {
            self.reply(reply, Ok(Answer::Turn(known.clone())));
        }
        self.history.insert_record(known);
    }

    pub(crate) fn abort(&mut self, reply: ReplyId, turn: &TurnId) {
        match &mut self.phase {
            Phase::Open(open) if open.record.turn == *turn => {
                open.replies.push(reply);
                self.end_turn(EndReason::Aborted);
            }
            Phase::Starting(starting) if starting.request.turn == *turn => {
                // Start the turn without a slot and end it immediately, so that the abort is
                // recorded.
                starting.abort_replies.push(reply);
                starting.ready = true;
                if let Some(ticket) = starting.ticket.take() {
                    self.effects.push(Effect::ReleaseSlot { ticket });
                }
            }
            _ => {
                let known = self.history.record(turn).cloned();
                let answer = known.map(Answer::Turn).ok_or(SessionRefusal::UnknownTurn);
                self.reply(reply, answer);
            }
        }
    }

    pub(crate) fn interrupt(&mut self) {
        self.cancel_starting_turn(&SessionRefusal::HandedOver);
        self.end_turn(EndReason::Interrupted);
    }

    pub(crate) fn abort_turn_for_close(&mut self) {
        self.cancel_starting_turn(&SessionRefusal::HandedOver);
        self.end_turn(EndReason::Aborted);
    }

    /// Ends the open turn, unless it is already ending. Its pending events are committed first.
    pub(crate) fn end_turn(&mut self, reason: EndReason) {
        let Phase::Open(open) = &mut self.phase else { return };
        if open.end_reason.is_some() {
            return;
        }
        open.end_reason = Some(reason);
        if let Some(generation) = open.generation.take() {
            self.effects.push(Effect::StopGeneration { generation });
        }
        if let Some(ticket) = open.ticket.take() {
            self.effects.push(Effect::ReleaseSlot { ticket });
        }
    }

    /// Handles the commit of the open turn's end.
    pub(crate) fn turn_ended(&mut self, ended: &TurnRecord, event: Event) {
        let Some(open) = self.take_open_turn() else { return };
        self.record.open_turn = None;
        self.record.head = Some(ended.turn.clone());
        self.history.insert_record(ended.clone());
        self.release(vec![event]);
        for reply in open.replies {
            self.reply(reply, Ok(Answer::Turn(ended.clone())));
        }
    }

    pub(crate) fn turn_deadline(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Open(open) if open.end_reason.is_none() => {
                Some(open.deadline.min(self.program_end))
            }
            _ => None,
        }
    }

    pub(crate) fn end_overdue_turn(&mut self, now: Instant) {
        if self.turn_deadline().is_none_or(|end| now < end) {
            return;
        }
        let code = if now >= self.program_end {
            FailureCode::ProgramEnded
        } else {
            FailureCode::DeadlineExceeded
        };
        self.end_turn(EndReason::Failed { code });
    }

    /// Ends the current turn because the loop ends.
    pub(crate) fn end_current_turn(&mut self, refusal: &SessionRefusal) {
        self.refuse_starting_turn(refusal);
        self.end_turn(EndReason::Interrupted);
        if let Some(open) = self.take_open_turn() {
            for reply in open.replies {
                self.reply(reply, Err(refusal.clone()));
            }
        }
    }
}
