//! The state of a session's loop and the dispatch of its messages.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use hooklug_state::shard::{Event, EventBody, SessionRecord};
use hooklug_types::{EventSeq, SessionEpoch, SessionKey};

use crate::attach::PendingLookup;
use crate::clients::Clients;
use crate::commit::InFlight;
use crate::effect::{Answer, ClientItem, Effect, ExitReason, SessionRefusal};
use crate::history::History;
use crate::message::{ClientId, LookupId, Message, ReplyId};
use crate::phase::Phase;

/// A session as read from its shard after this engine's ownership was committed.
#[derive(Debug, Clone)]
pub struct LoadedSession {
    /// The session's record, which names this engine as the owner.
    pub record: SessionRecord,
    /// All events of the session before `record.next_seq`.
    pub history: Vec<Event>,
    /// End time of the session's program, on this process's clock.
    pub program_end: Instant,
}

/// Configuration of a session's loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionConfig {
    /// Time after which a session without clients is closed.
    pub idle_timeout: Duration,
}

/// The current time and the validity of the engine's lease, at which a message is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoopTime {
    /// The current time.
    pub now: Instant,
    /// Time until which the engine certainly holds its lease; after it, the loop releases no
    /// events.
    pub lease_until: Instant,
}

/// An event that is not committed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingEvent {
    pub(crate) body: EventBody,
    /// Requests that wait for the event's sequence number.
    pub(crate) replies: Vec<ReplyId>,
}

/// The event loop of one session.
#[derive(Debug, Clone)]
pub struct Session {
    pub(crate) config: SessionConfig,
    pub(crate) record: SessionRecord,
    pub(crate) history: History,
    pub(crate) program_end: Instant,
    pub(crate) clients: Clients,
    pub(crate) phase: Phase,
    pub(crate) pending: VecDeque<PendingEvent>,
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) lookups: BTreeMap<LookupId, PendingLookup>,
    pub(crate) closing: Option<Vec<ReplyId>>,
    pub(crate) handing_over: bool,
    pub(crate) unconnected_since: Option<Instant>,
    pub(crate) exit_reason: Option<ExitReason>,
    pub(crate) last_id: u64,
    pub(crate) effects: Vec<Effect>,
}

impl Session {
    /// Creates the loop of a session that this engine owns. The first message must be a `Tick`,
    /// which ends, as interrupted, any turn that an earlier loop of this engine left open.
    #[must_use]
    pub fn new(loaded: LoadedSession, config: SessionConfig, now: Instant) -> Self {
        let history = History::new(loaded.history);
        let phase = Phase::from_record(&loaded.record, &history, now);
        Self {
            config,
            record: loaded.record,
            history,
            program_end: loaded.program_end,
            clients: Clients::default(),
            phase,
            pending: VecDeque::new(),
            in_flight: None,
            lookups: BTreeMap::new(),
            closing: None,
            handing_over: false,
            unconnected_since: Some(now),
            exit_reason: None,
            last_id: 0,
            effects: Vec::new(),
        }
    }

    /// Handles one message without blocking, and returns the resulting effects.
    pub fn handle(&mut self, message: Message, time: LoopTime) -> Vec<Effect> {
        if self.exit_reason.is_none() && time.now >= time.lease_until {
            self.end(ExitReason::LeaseLost);
        }
        match self.exit_reason.clone() {
            Some(exit_reason) => self.refuse_after_end(&message, &exit_reason),
            None => self.dispatch(message, time.now),
        }
        if self.exit_reason.is_none() {
            self.send_next_commit();
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the time at which the next `Tick` is due, if no other message arrives first.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.exit_reason.is_some() {
            return None;
        }
        let idle_end = self.unconnected_since.map(|since| since + self.config.idle_timeout);
        let idle_end = idle_end.filter(|_| self.can_close_unconnected());
        [self.turn_deadline(), idle_end].into_iter().flatten().min()
    }

    /// Returns the key of the session.
    #[must_use]
    pub fn key(&self) -> &SessionKey {
        &self.record.key
    }

    /// Returns the epoch under which the session is owned.
    #[must_use]
    pub fn epoch(&self) -> SessionEpoch {
        self.record.epoch
    }

    /// Returns the session's record as of the last commit.
    #[must_use]
    pub fn record(&self) -> &SessionRecord {
        &self.record
    }

    /// Returns the reason why the loop ended, once it has.
    #[must_use]
    pub fn exit_reason(&self) -> Option<&ExitReason> {
        self.exit_reason.as_ref()
    }

    fn dispatch(&mut self, message: Message, now: Instant) {
        match message {
            Message::Join { client, last_seen } => self.join(client, last_seen),
            Message::Leave { client } => self.leave(client, now),
            Message::RunTurn { client, request, last_seen } => {
                self.run_turn(client, request, last_seen, now);
            }
            Message::LookupFinished { lookup, record } => self.lookup_finished(lookup, record),
            Message::LookupFailed { lookup } => self.lookup_failed(lookup),
            Message::SlotGranted { ticket } => self.slot_granted(ticket),
            Message::SlotRefused { ticket, refusal } => self.slot_refused(ticket, refusal),
            Message::ToolResult { reply, call, result } => self.tool_result(reply, call, result),
            Message::Abort { reply, turn } => self.abort(reply, &turn),
            Message::Close { reply } => self.close(Some(reply)),
            Message::HandOver => self.hand_over(),
            Message::Interrupt => self.interrupt(),
            Message::Model { generation, event } => self.model_event(generation, event),
            Message::Committed { commit, reply } => self.commit_replied(commit, reply, now),
            Message::CommitUncertain { commit } => self.resend_commit(commit),
            Message::OwnerChanged { record } => self.owner_changed(record),
            Message::LeaseLost => self.end(ExitReason::LeaseLost),
            Message::Tick => self.tick(now),
        }
    }

    fn join(&mut self, client: ClientId, last_seen: Option<EventSeq>) {
        self.unconnected_since = None;
        let item = match last_seen {
            None => Some(ClientItem::Sync {
                record: Box::new(self.record.clone()),
                history: self.history.events().to_vec(),
            }),
            Some(seen) => {
                let missed = self.history.after(seen).to_vec();
                (!missed.is_empty()).then_some(ClientItem::Events(missed))
            }
        };
        if let Some(item) = item {
            self.effects.push(Effect::Send { client, item });
        }
        let last_committed = EventSeq(self.record.next_seq.0.saturating_sub(1));
        let last_sent = last_seen.unwrap_or_default().max(last_committed);
        self.clients.subscribe_to_session(client, last_sent);
    }

    fn leave(&mut self, client: ClientId, now: Instant) {
        self.clients.remove(client);
        self.phase.remove_client(client);
        self.lookups.retain(|_, l| l.client != client);
        if self.phase.is_abandoned() {
            self.refuse_starting_turn(&SessionRefusal::TryAgain);
        }
        self.update_unconnected_since(now);
    }

    /// Starts the idle timer if no client is connected or waiting.
    pub(crate) fn update_unconnected_since(&mut self, now: Instant) {
        let waiting = self.phase.has_waiting_clients() || !self.lookups.is_empty();
        if self.clients.is_empty() && !waiting && self.unconnected_since.is_none() {
            self.unconnected_since = Some(now);
        }
    }

    fn tool_result(&mut self, reply: ReplyId, call: String, result: String) {
        if let Some(seq) = self.history.tool_result(&call) {
            self.reply(reply, Ok(Answer::ToolResult(seq)));
            return;
        }
        if let Some(waiting) = self.uncommitted_result(&call) {
            waiting.replies.push(reply);
            return;
        }
        if self.closing.is_some() || self.handing_over {
            self.reply(reply, Err(SessionRefusal::HandedOver));
            return;
        }
        let body = EventBody::ToolResult { call, result };
        self.pending.push_back(PendingEvent { body, replies: vec![reply] });
    }

    /// Returns the uncommitted event with the result of a call, whether its commit is in flight or
    /// not.
    fn uncommitted_result(&mut self, call: &str) -> Option<&mut PendingEvent> {
        let is_result = |p: &&mut PendingEvent| matches!(&p.body, EventBody::ToolResult { call: c, .. } if c == call);
        let in_flight = self.in_flight.as_mut().map(InFlight::events_mut).unwrap_or_default();
        in_flight.iter_mut().chain(self.pending.iter_mut()).find(is_result)
    }

    fn close(&mut self, reply: Option<ReplyId>) {
        self.closing.get_or_insert_default().extend(reply);
        self.abort_turn_for_close();
    }

    fn hand_over(&mut self) {
        self.handing_over = true;
        self.cancel_starting_turn(&SessionRefusal::HandedOver);
    }

    fn owner_changed(&mut self, record: Box<SessionRecord>) {
        let is_still_owner = record.epoch == self.record.epoch && record.owner == self.record.owner;
        if !is_still_owner && record.epoch >= self.record.epoch {
            self.end(ExitReason::NotOwner(Some(record)));
        }
    }

    fn tick(&mut self, now: Instant) {
        self.end_overdue_turn(now);
        let overdue =
            self.unconnected_since.is_some_and(|since| now >= since + self.config.idle_timeout);
        if overdue && self.can_close_unconnected() {
            self.close(None);
        }
    }

    fn can_close_unconnected(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.pending.is_empty() && self.closing.is_none()
    }

    /// Ends the loop: stops the generation and refuses all clients and waiting requests. No event
    /// is released afterwards.
    pub(crate) fn end(&mut self, exit_reason: ExitReason) {
        let refusal = exit_reason.refusal();
        self.end_current_turn(&refusal);
        self.clients.refuse_all(&refusal, &mut self.effects);
        for (_, lookup) in std::mem::take(&mut self.lookups) {
            crate::clients::refuse(lookup.client, refusal.clone(), &mut self.effects);
        }
        let waiting = std::mem::take(&mut self.pending).into_iter().flat_map(|p| p.replies);
        let waiting = waiting.chain(self.in_flight.take().into_iter().flat_map(InFlight::replies));
        let waiting = waiting.chain(self.closing.take().into_iter().flatten());
        for reply in waiting.collect::<Vec<_>>() {
            self.reply(reply, Err(refusal.clone()));
        }
        self.effects.push(Effect::Ended(exit_reason.clone()));
        self.exit_reason = Some(exit_reason);
    }

    fn refuse_after_end(&mut self, message: &Message, exit_reason: &ExitReason) {
        let refusal = exit_reason.refusal();
        match *message {
            Message::Join { client, .. } | Message::RunTurn { client, .. } => {
                crate::clients::refuse(client, refusal, &mut self.effects);
            }
            Message::ToolResult { reply, .. } | Message::Abort { reply, .. } => {
                self.reply(reply, Err(refusal));
            }
            Message::Close { reply } if *exit_reason == ExitReason::Closed => {
                self.reply(reply, Ok(Answer::Closed(Box::new(self.record.clone()))));
            }
            Message::Close { reply } => self.reply(reply, Err(refusal)),
            Message::SlotGranted { ticket } => self.effects.push(Effect::ReleaseSlot { ticket }),
            _ => {}
        }
    }

    pub(crate) fn reply(&mut self, reply: ReplyId, answer: Result<Answer, SessionRefusal>) {
        self.effects.push(Effect::Reply { reply, answer });
    }

    pub(crate) fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
