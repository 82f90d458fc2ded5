//! A rule broken on purpose, so that tests of whole fleets can show that it is noticed. Compiled with the
//! feature `broken-rules` only, which no product is built with.

use hooklug_state::shard::{Event, ShardCommand};
use hooklug_types::EventSeq;

use crate::session::{PendingEvent, Session};

impl Session {
    /// Shows events to clients before their append is committed.
    pub(crate) fn release_uncommitted(&mut self, command: &ShardCommand, events: &[PendingEvent]) {
        let ShardCommand::AppendEvents { turn, first_seq, .. } = command else { return };
        let places = (first_seq.0..).map(EventSeq);
        let shown: Vec<Event> = places
            .zip(events)
            .map(|(seq, pending)| Event { seq, turn: turn.clone(), body: pending.body.clone() })
            .collect();
        self.clients.release(&shown, &mut self.effects);
    }
}
