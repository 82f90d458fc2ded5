//! Connected clients and what each has been sent.

use std::collections::BTreeMap;

use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{EventSeq, TurnId};

use crate::effect::{ClientItem, Effect, SessionRefusal};
use crate::message::ClientId;

/// What a client follows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Follows {
    /// All events of the session.
    Session,
    /// Events of one turn.
    Turn(TurnId),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Client {
    follows: Follows,
    last_sent: EventSeq,
}

/// The clients of one session.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Clients {
    connected: BTreeMap<ClientId, Client>,
}

impl Clients {
    pub(crate) fn is_empty(&self) -> bool {
        self.connected.is_empty()
    }

    pub(crate) fn remove(&mut self, client: ClientId) {
        self.connected.remove(&client);
    }

    pub(crate) fn follow_session(&mut self, client: ClientId, last_sent: EventSeq) {
        self.connected.insert(client, Client { follows: Follows::Session, last_sent });
    }

    pub(crate) fn follow_turn(&mut self, client: ClientId, turn: TurnId, last_sent: EventSeq) {
        self.connected.insert(client, Client { follows: Follows::Turn(turn), last_sent });
    }

    /// Sends committed events to all whom they concern; ends streams that are complete.
    pub(crate) fn release(&mut self, events: &[Event], effects: &mut Vec<Effect>) {
        let mut complete = Vec::new();
        for (&id, client) in &mut self.connected {
            let wanted: Vec<Event> = events.iter().filter(|e| client.wants(e)).cloned().collect();
            let Some(last) = wanted.last() else { continue };
            client.last_sent = last.seq;
            if client.is_complete_with(last) {
                complete.push(id);
            }
            effects.push(Effect::Send { client: id, item: ClientItem::Events(wanted) });
        }
        for client in complete {
            self.connected.remove(&client);
            effects.push(Effect::EndClient { client });
        }
    }

    /// Tells all clients that nothing more comes from here.
    pub(crate) fn refuse_all(&mut self, refusal: &SessionRefusal, effects: &mut Vec<Effect>) {
        for client in std::mem::take(&mut self.connected).into_keys() {
            refuse(client, refusal.clone(), effects);
        }
    }
}

impl Client {
    fn wants(&self, event: &Event) -> bool {
        let followed = match &self.follows {
            Follows::Session => true,
            Follows::Turn(turn) => event.turn.as_ref() == Some(turn),
        };
        followed && event.seq > self.last_sent
    }

    fn is_complete_with(&self, event: &Event) -> bool {
        match self.follows {
            Follows::Session => matches!(event.body, EventBody::Closed),
            Follows::Turn(_) => matches!(event.body, EventBody::TurnEnded { .. }),
        }
    }
}

/// Tells one client that nothing (more) comes from here.
pub(crate) fn refuse(client: ClientId, refusal: SessionRefusal, effects: &mut Vec<Effect>) {
    effects.push(Effect::Send { client, item: ClientItem::Refused(refusal) });
    effects.push(Effect::EndClient { client });
}
