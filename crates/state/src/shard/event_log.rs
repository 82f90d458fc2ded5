//! The event stream of one session. The type hides how events are stored, so that old bodies can be
//! moved out of memory later.

use std::sync::Arc;

use hooklug_types::{EventSeq, TurnId};
use serde::{Deserialize, Serialize};

use super::event::{Event, EventBody};

/// Number of events per chunk. A write after a frozen copy was taken may have to copy one chunk.
const CHUNK_EVENTS: usize = 256;

/// The committed events of one session, numbered from 1 without gaps. Clones share all full chunks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventLog {
    /// Full chunks, oldest first.
    full: Vec<Arc<[Event]>>,
    /// The newest events, which do not fill a chunk yet.
    newest: Vec<Event>,
}

impl EventLog {
    /// Returns the number of events.
    #[must_use]
    pub fn len(&self) -> usize {
        self.full.len() * CHUNK_EVENTS + self.newest.len()
    }

    /// Whether the log is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the sequence number of the next event.
    #[must_use]
    pub fn next_seq(&self) -> EventSeq {
        EventSeq(self.len() as u64 + 1)
    }

    /// Appends an event and returns its sequence number.
    pub fn push(&mut self, turn: Option<TurnId>, body: EventBody) -> EventSeq {
        let seq = self.next_seq();
        self.newest.push(Event { seq, turn, body });
        if self.newest.len() == CHUNK_EVENTS {
            self.full.push(std::mem::take(&mut self.newest).into());
        }
        seq
    }

    /// Iterates over the events after a sequence number, in order.
    pub fn after(&self, seq: EventSeq) -> impl Iterator<Item = &Event> {
        let offset = usize::try_from(seq.0).unwrap_or(usize::MAX);
        let (chunks, events) = (offset / CHUNK_EVENTS, offset % CHUNK_EVENTS);
        let full = self.full.get(chunks..).unwrap_or_default().iter().flat_map(|c| c.iter());
        let is_within = chunks <= self.full.len();
        let newest = if is_within { self.newest.as_slice() } else { &[] };
        full.chain(newest).skip(events)
    }

    /// Whether the log already contains these bodies, for this turn, from `first_seq` on.
    #[must_use]
    pub fn contains_at(
        &self,
        first_seq: EventSeq,
        turn: Option<&TurnId>,
        bodies: &[EventBody],
    ) -> bool {
        let Some(before) = first_seq.0.checked_sub(1) else { return false };
        let mut existing = self.after(EventSeq(before));
        bodies.iter().all(|body| {
            existing.next().is_some_and(|event| event.turn.as_ref() == turn && event.body == *body)
        })
    }
}
