//! The committed events of a session, with indexes by turn and tool call.

use std::collections::BTreeMap;

use hooklug_state::shard::{Event, EventBody, TurnRecord};
use hooklug_types::{EventSeq, TurnId};

/// The range of a turn's events in the session's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct TurnSpan {
    started: EventSeq,
    ended: Option<EventSeq>,
}

/// Committed events in order, numbered from 1 without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct History {
    events: Vec<Event>,
    spans: BTreeMap<TurnId, TurnSpan>,
    tool_results: BTreeMap<String, EventSeq>,
    /// Records of turns that this loop ran or looked up.
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

    /// Returns the events after a sequence number.
    pub(crate) fn after(&self, seq: EventSeq) -> &[Event] {
        let from = self.events.partition_point(|e| e.seq <= seq);
        &self.events[from..]
    }

    /// Returns the events before a sequence number.
    pub(crate) fn before(&self, seq: EventSeq) -> &[Event] {
        let to = self.events.partition_point(|e| e.seq < seq);
        &self.events[..to]
    }

    /// Returns the events of a turn after a sequence number.
    pub(crate) fn of_turn(&self, turn: &TurnId, after: EventSeq) -> Vec<Event> {
        let Some(span) = self.spans.get(turn) else { return Vec::new() };
        let within = |e: &&Event| {
            e.turn.as_ref() == Some(turn) && span.ended.is_none_or(|ended| e.seq <= ended)
        };
        let from = EventSeq(after.0.max(span.started.0.saturating_sub(1)));
        self.after(from).iter().filter(within).cloned().collect()
    }

    pub(crate) fn contains_turn(&self, turn: &TurnId) -> bool {
        self.spans.contains_key(turn)
    }

    pub(crate) fn tool_result(&self, call: &str) -> Option<EventSeq> {
        self.tool_results.get(call).copied()
    }

    pub(crate) fn record(&self, turn: &TurnId) -> Option<&TurnRecord> {
        self.records.get(turn)
    }

    pub(crate) fn insert_record(&mut self, record: TurnRecord) {
        self.records.insert(record.turn.clone(), record);
    }
}
