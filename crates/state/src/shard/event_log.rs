//! The stream of one session, behind a small type so that old bodies can move out of memory later.

use std::sync::Arc;

use hooklug_types::{EventSeq, TurnId};
use serde::{Deserialize, Serialize};

use super::event::{Event, EventBody};

/// Events of one chunk (ours): what a write after a frozen copy was taken may have to copy.
const CHUNK_EVENTS: usize = 256;

/// The committed events of one session, without gaps, from 1. A copy shares all full chunks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventLog {
    /// Full chunks, oldest first.
    full: Vec<Arc<[Event]>>,
    /// The newest events, fewer than a chunk.
    newest: Vec<Event>,
}

impl EventLog {
    /// How many events there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.full.len() * CHUNK_EVENTS + self.newest.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Place of the next event.
    #[must_use]
    pub fn next_seq(&self) -> EventSeq {
        EventSeq(self.len() as u64 + 1)
    }

    /// Adds an event at the end and returns its place.
    pub fn push(&mut self, turn: Option<TurnId>, body: EventBody) -> EventSeq {
        let seq = self.next_seq();
        self.newest.push(Event { seq, turn, body });
        if self.newest.len() == CHUNK_EVENTS {
            self.full.push(std::mem::take(&mut self.newest).into());
        }
        seq
    }

    /// Events after a place, in order.
    pub fn after(&self, seq: EventSeq) -> impl Iterator<Item = &Event> {
        let known = usize::try_from(seq.0).unwrap_or(usize::MAX);
        let (chunks, events) = (known / CHUNK_EVENTS, known % CHUNK_EVENTS);
        let full = self.full.get(chunks..).unwrap_or_default().iter().flat_map(|c| c.iter());
        let is_within = chunks <= self.full.len();
        let newest = if is_within { self.newest.as_slice() } else { &[] };
        full.chain(newest).skip(events)
    }

    /// Whether these bodies stand, for this turn, from `first_seq` on.
    #[must_use]
    pub fn repeats(
        &self,
        first_seq: EventSeq,
        turn: Option<&TurnId>,
        bodies: &[EventBody],
    ) -> bool {
        let Some(before) = first_seq.0.checked_sub(1) else { return false };
        let mut there = self.after(EventSeq(before));
        bodies.iter().all(|body| {
            there.next().is_some_and(|event| event.turn.as_ref() == turn && event.body == *body)
        })
    }
}
