//! Keeps a stream whole: each event once, in order, without a gap.

use hooklug_types::EventSeq;

/// What to do with an event that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It is the next one.
    Next,
    /// It was passed on before.
    Seen,
    /// Events between the last one and this one have not arrived.
    Gap,
}

/// Place of the last event passed on in a session's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    last: EventSeq,
}

impl Cursor {
    /// A cursor after an event that the client has; 0 for none.
    #[must_use]
    pub fn after(last: EventSeq) -> Self {
        Self { last }
    }

    /// The last event passed on.
    #[must_use]
    pub fn last(&self) -> EventSeq {
        self.last
    }

    /// Judges an event without moving.
    #[must_use]
    pub fn judge(&self, seq: EventSeq) -> Step {
        if seq <= self.last {
            Step::Seen
        } else if seq == self.last.next() {
            Step::Next
        } else {
            Step::Gap
        }
    }

    /// Moves on to the next event. Returns false, unmoved, when `seq` is not the next one.
    #[must_use]
    pub fn advance(&mut self, seq: EventSeq) -> bool {
        let next = self.judge(seq) == Step::Next;
        if next {
            self.last = seq;
        }
        next
    }
}
