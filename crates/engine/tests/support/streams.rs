//! Turn and join requests as a gateway sends them, and readers of their streams.

use hooklug_protocol::engine::{EngineRefusal, Join, JoinItem, RunTurn, TurnItem};
use hooklug_rpc::ItemStream;
use hooklug_state::shard::{Event, EventBody, SessionRecord};
use hooklug_types::{EventSeq, SessionLocation, TenantId, TokenCount};

use super::{TEST_TIMEOUT, turn};

pub fn location(record: &SessionRecord) -> SessionLocation {
    SessionLocation {
        key: record.key.clone(),
        owner: record.owner.clone().expect("an owner"),
        epoch: record.epoch,
    }
}

pub fn run_turn(
    location: &SessionLocation,
    name: &str,
    after: Option<&str>,
    input: &str,
) -> RunTurn {
    RunTurn {
        location: location.clone(),
        turn: turn(name),
        after: after.map(turn),
        input: input.to_owned(),
        max_tokens: TokenCount(100),
        tenant: TenantId::new("dalatek").unwrap(),
        group: None,
        urgent: false,
        deadline_ms: 20_000,
        last_seen: EventSeq(0),
    }
}

/// The items of a turn's stream.
#[derive(Debug, Default)]
pub struct TurnOutcome {
    pub accepted: bool,
    pub events: Vec<Event>,
    pub refusal: Option<EngineRefusal>,
}

impl TurnOutcome {
    pub fn end(&self) -> Option<&hooklug_types::EndReason> {
        match self.events.last().map(|e| &e.body) {
            Some(EventBody::TurnEnded { reason, .. }) => Some(reason),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        text_of(&self.events)
    }
}

pub fn text_of(events: &[Event]) -> String {
    let texts = events.iter().filter_map(|e| match &e.body {
        EventBody::Tokens { text, .. } => Some(text.as_str()),
        _ => None,
    });
    texts.collect()
}

pub async fn next_item(stream: &mut ItemStream<TurnItem>) -> Option<TurnItem> {
    let next = tokio::time::timeout(TEST_TIMEOUT, stream.next());
    next.await.expect("an item in time").ok().flatten()
}

pub async fn read_turn(stream: &mut ItemStream<TurnItem>) -> TurnOutcome {
    let mut outcome = TurnOutcome::default();
    while let Some(item) = next_item(stream).await {
        match item {
            TurnItem::Accepted { .. } => outcome.accepted = true,
            TurnItem::Event(event) => outcome.events.push(event),
            TurnItem::Refused { refusal, .. } => outcome.refusal = Some(refusal),
        }
    }
    outcome
}

/// Reads a turn's stream until it has returned `count` events.
pub async fn read_events(stream: &mut ItemStream<TurnItem>, count: usize) -> Vec<Event> {
    let mut events = Vec::new();
    while events.len() < count {
        match next_item(stream).await {
            Some(TurnItem::Event(event)) => events.push(event),
            Some(TurnItem::Accepted { .. }) => {}
            other => panic!("{other:?}"),
        }
    }
    events
}

pub async fn next_join(stream: &mut ItemStream<JoinItem>) -> Option<JoinItem> {
    let next = tokio::time::timeout(TEST_TIMEOUT, stream.next());
    next.await.expect("an item in time").ok().flatten()
}

pub fn join(location: &SessionLocation, last_seen: Option<u64>) -> Join {
    Join { location: location.clone(), last_seen: last_seen.map(EventSeq) }
}
