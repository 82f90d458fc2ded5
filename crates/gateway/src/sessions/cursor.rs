//! Tracks the position in a stream, so that each event is forwarded once, in order and without
//! gaps.

use hooklug_types::EventSeq;

/// Position of an event relative to the cursor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPosition {
    /// The next event.
    Next,
    /// An event that was already forwarded.
    Duplicate,
    /// Events between the last forwarded one and this one are missing.
    Gap,
}

/// Sequence number of the last forwarded event of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    last: EventSeq,
}

impl Cursor {
    /// Creates a cursor after an event that the client has; 0 for none.
    #[must_use]
    pub fn after(last: EventSeq) -> Self {
        Self { last }
    }

    /// Returns the last forwarded event.
    #[must_use]
    pub fn last(&self) -> EventSeq {
        self.last
    }

    /// Classifies an event without advancing.
    #[must_use]
    pub fn classify(&self, seq: EventSeq) -> EventPosition {
        if seq <= self.last {
            EventPosition::Duplicate
        } else if seq == self.last.next() {
            EventPosition::Next
        } else {
            EventPosition::Gap
        }
    }

    /// Advances to the next event. Returns false and does not advance if `seq` is not the next one.
    #[must_use]
    pub fn advance(&mut self, seq: EventSeq) -> bool {
        let next = self.classify(seq) == EventPosition::Next;
        if next {
            self.last = seq;
        }
        next
    }
}
