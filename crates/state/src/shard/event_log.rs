//! The stream of one session, behind a small type so that old bodies can move out of memory later.

use hooklug_types::{EventSeq, TurnId};
use serde::{Deserialize, Serialize};

use super::event::{Event, EventBody};

/// The committed events of one session, without gaps, from 1.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventLog {
    events: Vec<Event>,
}

impl EventLog {
    /// Place of the next event.
    #[must_use]
    pub fn next_seq(&self) -> EventSeq {
        EventSeq(self.events.len() as u64 + 1)
    }

    /// Adds an event at the end and returns its place.
    pub fn push(&mut self, turn: Option<TurnId>, body: EventBody) -> EventSeq {
        let seq = self.next_seq();
        self.events.push(Event { seq, turn, body });
        seq
    }

    /// Events after a place, in order.
    #[must_use]
    pub fn after(&self, seq: EventSeq) -> &[Event] {
        let known = usize::try_from(seq.0).unwrap_or(usize::MAX);
        self.events.get(known..).unwrap_or_default()
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
        let there = self.after(EventSeq(before));
        there.len() >= bodies.len()
            && there
                .iter()
                .zip(bodies)
                .all(|(event, body)| event.turn.as_ref() == turn && event.body == *body)
    }
}
