//! A turn's way through the loop: asked for, waiting for its slot, open, ending.

use std::time::Instant;

use hooklug_state::shard::{Event, EventBody, ShardRefusal, TurnGrant, TurnRecord, TurnState};
use hooklug_types::{Digest, EndReason, EventSeq, FailureCode, TokenCount, TurnId};

use crate::clients::refuse;
use crate::effect::{Answer, Effect, SessionRefusal, SlotRequest};
use crate::message::{ClientId, ReplyId, SlotRefusal, SlotTicket, TurnRequest};
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
                // A turn left by an earlier loop has no digest here: ask the shard.
                if known.digest == Digest([0; 32]) {
                    self.look_up(client, request, last_seen);
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
            _ if self.history.knows(&request.turn) => {
                match self.history.record(&request.turn).cloned() {
                    Some(known) => self.attach(client, &known, &request, last_seen),
                    None => self.look_up(client, request, last_seen),
                }
            }
            _ => self.start_turn(client, request, last_seen, now),
        }
        self.note_unconnected(now);
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
            open.map(|turn| SessionRefusal::Ledger(ShardRefusal::TurnOpen { turn }))
        };
        if let Some(refusal) = refusal {
            refuse(client, refusal, &mut self.effects);
            return;
        }
        // One that does not follow the head needs no slot: the shard refuses it.
        let needs_slot = request.after == self.record.head;
        let ticket = needs_slot.then(|| SlotTicket(self.new_id()));
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
            aborts: Vec::new(),
        }));
    }

    pub(crate) fn slot_granted(&mut self, ticket: SlotTicket) {
        match &mut self.phase {
            Phase::Starting(starting) if starting.ticket == Some(ticket) => starting.ready = true,
            Phase::Open(open) if open.ticket == Some(ticket) => {}
            _ => self.effects.push(Effect::ReleaseSlot { ticket }),
        }
    }

    pub(crate) fn slot_refused(&mut self, ticket: SlotTicket, refusal: SlotRefusal) {
        let waits = matches!(&self.phase,
            Phase::Starting(s) if s.ticket == Some(ticket) && !s.ready);
        if !waits {
            return;
        }
        if let Phase::Starting(starting) = &mut self.phase {
            starting.ticket = None;
        }
        let refusal = match refusal {
            SlotRefusal::Overloaded { retry_after } => SessionRefusal::Overloaded { retry_after },
            SlotRefusal::DeadlineExceeded => SessionRefusal::DeadlineExceeded,
        };
        self.drop_starting(&refusal);
    }

    /// Gives up a turn that is not being committed yet.
    pub(crate) fn give_up_starting_turn(&mut self, refusal: &SessionRefusal) {
        let waits = matches!(&self.phase, Phase::Starting(_)) && !self.begin_is_in_flight();
        if waits {
            self.drop_starting(refusal);
        }
    }

    /// Takes the starting turn out, if there is one; an open one stays.
    fn take_starting(&mut self) -> Option<StartingTurn> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Starting(starting) => Some(*starting),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Takes the open turn out, if there is one; a starting one stays.
    fn take_open(&mut self) -> Option<OpenTurn> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Open(open) => Some(*open),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Leaves the starting turn and tells all who wait for it.
    pub(crate) fn drop_starting(&mut self, refusal: &SessionRefusal) {
        let Some(starting) = self.take_starting() else { return };
        if let Some(ticket) = starting.ticket {
            self.effects.push(Effect::ReleaseSlot { ticket });
        }
        for (client, _) in starting.clients {
            refuse(client, refusal.clone(), &mut self.effects);
        }
        for reply in starting.aborts {
            self.reply(reply, Err(refusal.clone()));
        }
    }

    /// The shard has committed the starting turn.
    pub(crate) fn turn_begun(&mut self, grant: &TurnGrant) {
        let Some(starting) = self.take_starting() else { return };
        let StartingTurn { request, clients, ticket, aborts, .. } = starting;
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
        let unwanted = !aborts.is_empty() || self.closing.is_some();
        open.replies = aborts;
        self.phase = Phase::Open(Box::new(open));
        let body =
            EventBody::TurnStarted { after: request.after.clone(), input: request.input.clone() };
        let event = Event { seq: grant.started, turn: Some(request.turn.clone()), body };
        self.release(vec![event]);
        for (client, last_seen) in clients {
            self.follow(client, record.clone(), last_seen);
        }
        if unwanted {
            self.end_turn(EndReason::Aborted);
        } else {
            self.start_generation(request);
        }
    }

    /// The shard knew the starting turn already, and it is over.
    pub(crate) fn turn_found(&mut self, known: TurnRecord) {
        let Some(starting) = self.take_starting() else { return };
        if let Some(ticket) = starting.ticket {
            self.effects.push(Effect::ReleaseSlot { ticket });
        }
        for (client, last_seen) in starting.clients {
            self.follow(client, known.clone(), last_seen);
        }
        for reply in starting.aborts {
            self.reply(reply, Ok(Answer::Turn(known.clone())));
        }
        self.history.keep_record(known);
    }

    pub(crate) fn abort(&mut self, reply: ReplyId, turn: &TurnId) {
        match &mut self.phase {
            Phase::Open(open) if open.record.turn == *turn => {
                open.replies.push(reply);
                self.end_turn(EndReason::Aborted);
            }
            Phase::Starting(starting) if starting.request.turn == *turn => {
                // It is begun without its slot and ended at once, so that the abort is on record.
                starting.aborts.push(reply);
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
        self.give_up_starting_turn(&SessionRefusal::HandedOver);
        self.end_turn(EndReason::Interrupted);
    }

    pub(crate) fn stop_turn_for_close(&mut self) {
        self.give_up_starting_turn(&SessionRefusal::HandedOver);
        self.end_turn(EndReason::Aborted);
    }

    /// Ends the open turn, unless it is ending already. Its events so far are committed first.
    pub(crate) fn end_turn(&mut self, reason: EndReason) {
        let Phase::Open(open) = &mut self.phase else { return };
        if open.ending.is_some() {
            return;
        }
        open.ending = Some(reason);
        if let Some(generation) = open.generation.take() {
            self.effects.push(Effect::StopGeneration { generation });
        }
        if let Some(ticket) = open.ticket.take() {
            self.effects.push(Effect::ReleaseSlot { ticket });
        }
    }

    /// The shard has committed the end of the open turn.
    pub(crate) fn turn_ended(&mut self, ended: &TurnRecord, event: Event) {
        let Some(open) = self.take_open() else { return };
        self.record.open_turn = None;
        self.record.head = Some(ended.turn.clone());
        self.history.keep_record(ended.clone());
        self.release(vec![event]);
        for reply in open.replies {
            self.reply(reply, Ok(Answer::Turn(ended.clone())));
        }
    }

    pub(crate) fn turn_end_time(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Open(open) if open.ending.is_none() => Some(open.deadline.min(self.program_end)),
            _ => None,
        }
    }

    pub(crate) fn end_overdue_turn(&mut self, now: Instant) {
        if self.turn_end_time().is_none_or(|end| now < end) {
            return;
        }
        let code = if now >= self.program_end {
            FailureCode::ProgramEnded
        } else {
            FailureCode::DeadlineExceeded
        };
        self.end_turn(EndReason::Failed { code });
    }

    /// Leaves the phase because the loop ends.
    pub(crate) fn end_phase(&mut self, refusal: &SessionRefusal) {
        self.drop_starting(refusal);
        self.end_turn(EndReason::Interrupted);
        if let Some(open) = self.take_open() {
            for reply in open.replies {
                self.reply(reply, Err(refusal.clone()));
            }
        }
    }
}
