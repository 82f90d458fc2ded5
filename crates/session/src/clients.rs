//! The connected clients of a session and the last event sent to each.

use std::collections::BTreeMap;

use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{EventSeq, TurnId};

use crate::effect::{ClientItem, Effect, SessionRefusal};
use crate::message::ClientId;

/// The events that a client is subscribed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Subscription {
    /// All events of the session.
    Session,
    /// Events of one turn.
    Turn(TurnId),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Client {
    subscription: Subscription,
    last_sent: EventSeq,
}

/// The connected clients of one session.
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

    pub(crate) fn subscribe_to_session(&mut self, client: ClientId, last_sent: EventSeq) {
        self.connected.insert(client, Client { subscription: Subscription::Session, last_sent });
    }

    pub(crate) fn subscribe_to_turn(
        &mut self,
        client: ClientId,
        turn: TurnId,
        last_sent: EventSeq,
    ) {
        self.connected.insert(client, Client { subscription: Subscription::Turn(turn), last_sent });
    }

    /// Sends committed events to the clients subscribed to them, and ends streams that are
    /// complete.
    pub(crate) fn release(&mut self, events: &[Event], effects: &mut Vec<Effect>) {
        let mut complete = Vec::new();
        for (&id, client) in &mut self.connected {
            let due: Vec<Event> =
                events.iter().filter(|e| client.should_receive(e)).cloned().collect();
            let Some(last) = due.last() else { continue };
            client.last_sent = last.seq;
            if client.is_last_event(last) {
                complete.push(id);
            }
            effects.push(Effect::Send { client: id, item: ClientItem::Events(due) });
        }
        for client in complete {
            self.connected.remove(&client);
            effects.push(Effect::EndClient { client });
        }
    }

    /// Sends a refusal to all clients and ends their streams.
    pub(crate) fn refuse_all(&mut self, refusal: &SessionRefusal, effects: &mut Vec<Effect>) {
        for client in std::mem::take(&mut self.connected).into_keys() {
            refuse(client, refusal.clone(), effects);
        }
    }
}

impl Client {
    fn should_receive(&self, event: &Event) -> bool {
        let subscribed = match &self.subscription {
            Subscription::Session => true,
            Subscription::Turn(turn) => event.turn.as_ref() == Some(turn),
        };
        subscribed && event.seq > self.last_sent
    }

    fn is_last_event(&self, event: &Event) -> bool {
        match self.subscription {
            Subscription::Session => matches!(event.body, EventBody::Closed),
            Subscription::Turn(_) => matches!(event.body, EventBody::TurnEnded { .. }),
        }
    }
}

/// Sends a refusal to one client and ends its stream.
pub(crate) fn refuse(client: ClientId, refusal: SessionRefusal, effects: &mut Vec<Effect>) {
    effects.push(Effect::Send { client, item: ClientItem::Refused(refusal) });
    effects.push(Effect::EndClient { client });
}
