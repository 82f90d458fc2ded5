//! The committed events of a session, and what follows from them.

use std::collections::BTreeMap;

use hooklug_state::shard::{Event, EventBody, TurnRecord};
use hooklug_types::{EventSeq, TurnId};

/// Where a turn's events lie.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct TurnSpan {
    started: EventSeq,
    ended: Option<EventSeq>,
}

/// Committed events, in order, without gaps from 1.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct History {
    events: Vec<Event>,
    spans: BTreeMap<TurnId, TurnSpan>,
    tool_results: BTreeMap<String, EventSeq>,
    /// Records of turns that this loop has seen begin or looked up.
    records: BTreeMap<TurnId, TurnRecord>,
}

impl History {
    pub(crate) fn new(events: Vec<Event>) -> Self {
        let mut history = Self::default();
        for event in events {
            history.push(event);
        }
        history
    }

    pub(crate) fn push(&mut self, event: Event) {
        match (&event.body, &event.turn) {
            (EventBody::TurnStarted { .. }, Some(turn)) => {
                self.spans.insert(turn.clone(), TurnSpan { started: event.seq, ended: None });
            }
            (EventBody::TurnEnded { .. }, Some(turn)) => {
                if let Some(span) = self.spans.get_mut(turn) {
                    span.ended = Some(event.seq);
                }
            }
            (EventBody::ToolResult { call, .. }, _) => {
                self.tool_results.insert(call.clone(), event.seq);
            }
            _ => {}
        }
        self.events.push(event);
    }

    pub(crate) fn events(&self) -> &[Event] {
        &self.events
    }

    /// Events after a place.
    pub(crate) fn after(&self, seq: EventSeq) -> &[Event] {
        let from = self.events.partition_point(|e| e.seq <= seq);
        &self.events[from..]
    }

    /// Events before a place.
    pub(crate) fn before(&self, seq: EventSeq) -> &[Event] {
        let to = self.events.partition_point(|e| e.seq < seq);
        &self.events[..to]
    }

    /// Events of a turn after a place.
    pub(crate) fn of_turn(&self, turn: &TurnId, after: EventSeq) -> Vec<Event> {
        let Some(span) = self.spans.get(turn) else { return Vec::new() };
        let within = |e: &&Event| {
            e.turn.as_ref() == Some(turn) && span.ended.is_none_or(|ended| e.seq <= ended)
        };
        let from = EventSeq(after.0.max(span.started.0.saturating_sub(1)));
        self.after(from).iter().filter(within).cloned().collect()
    }

    pub(crate) fn knows(&self, turn: &TurnId) -> bool {
        self.spans.contains_key(turn)
    }

    pub(crate) fn tool_result(&self, call: &str) -> Option<EventSeq> {
        self.tool_results.get(call).copied()
    }

    pub(crate) fn record(&self, turn: &TurnId) -> Option<&TurnRecord> {
        self.records.get(turn)
    }

    pub(crate) fn keep_record(&mut self, record: TurnRecord) {
        self.records.insert(record.turn.clone(), record);
    }
}
