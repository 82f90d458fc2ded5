//! Resends and resumes: attaches clients to turns that are already committed.

use hooklug_state::shard::{EventBody, ShardRefusal, TurnRecord, TurnState};
use hooklug_types::EventSeq;

use crate::clients::refuse;
use crate::effect::{ClientItem, Effect, SessionRefusal};
use crate::message::{ClientId, LookupId, TurnRequest};
use crate::phase::Phase;
use crate::session::Session;

/// A resend that waits for its turn's record to be read from the shard.
#[derive(Debug, Clone)]
pub(crate) struct PendingLookup {
    pub(crate) client: ClientId,
    request: TurnRequest,
    last_seen: EventSeq,
}

impl Session {
    /// Subscribes a client to a committed turn, if the request matches the turn's record.
    pub(crate) fn attach(
        &mut self,
        client: ClientId,
        known: &TurnRecord,
        request: &TurnRequest,
        last_seen: EventSeq,
    ) {
        if known.digest != request.digest || known.after != request.after {
            let refusal = SessionRefusal::Shard(ShardRefusal::TurnDiffers);
            refuse(client, refusal, &mut self.effects);
            return;
        }
        self.subscribe(client, known.clone(), last_seen);
    }

    pub(crate) fn subscribe(&mut self, client: ClientId, record: TurnRecord, last_seen: EventSeq) {
        let turn = record.turn.clone();
        let ended = matches!(record.state, TurnState::Ended { .. });
        self.effects.push(Effect::Send { client, item: ClientItem::Accepted(record) });
        let missed = self.history.of_turn(&turn, last_seen);
        let last_sent = missed.last().map_or(last_seen, |e| e.seq);
        if !missed.is_empty() {
            self.effects.push(Effect::Send { client, item: ClientItem::Events(missed) });
        }
        if ended {
            self.effects.push(Effect::EndClient { client });
        } else {
            self.clients.subscribe_to_turn(client, turn, last_sent);
        }
    }

    pub(crate) fn start_lookup(
        &mut self,
        client: ClientId,
        request: TurnRequest,
        last_seen: EventSeq,
    ) {
        let lookup = LookupId(self.new_id());
        let turn = request.turn.clone();
        self.lookups.insert(lookup, PendingLookup { client, request, last_seen });
        self.effects.push(Effect::LookUpTurn { lookup, turn });
    }

    pub(crate) fn lookup_finished(&mut self, lookup: LookupId, record: Option<TurnRecord>) {
        let Some(waiting) = self.lookups.remove(&lookup) else { return };
        let turn = waiting.request.turn.clone();
        // After the retention time the shard has deleted the record, while this loop still has the
        // events.
        let Some(record) = record.or_else(|| self.record_from_history(&waiting.request)) else {
            refuse(waiting.client, SessionRefusal::TryAgain, &mut self.effects);
            return;
        };
        if matches!(&self.phase, Phase::Open(open) if open.record.turn == turn) {
            if let Phase::Open(open) = &mut self.phase {
                open.record.digest = record.digest;
            }
            let record = TurnRecord { state: TurnState::Open, ..record };
            self.attach(waiting.client, &record, &waiting.request, waiting.last_seen);
            return;
        }
        self.history.insert_record(record.clone());
        self.attach(waiting.client, &record, &waiting.request, waiting.last_seen);
    }

    pub(crate) fn lookup_failed(&mut self, lookup: LookupId) {
        if let Some(waiting) = self.lookups.remove(&lookup) {
            refuse(waiting.client, SessionRefusal::TryAgain, &mut self.effects);
        }
    }

    /// Reconstructs a turn's record from the loop's own events; `None` if they do not match the
    /// request.
    fn record_from_history(&self, request: &TurnRequest) -> Option<TurnRecord> {
        let events = self.history.of_turn(&request.turn, EventSeq(0));
        let (first, last) = (events.first()?, events.last()?);
        let EventBody::TurnStarted { after, input } = &first.body else { return None };
        let EventBody::TurnEnded { reason, tokens } = &last.body else { return None };
        (*after == request.after && *input == request.input).then(|| TurnRecord {
            turn: request.turn.clone(),
            after: after.clone(),
            digest: request.digest,
            started: first.seq,
            reserved: *tokens,
            tokens: *tokens,
            state: TurnState::Ended { reason: reason.clone(), last_seq: last.seq },
        })
    }
}
