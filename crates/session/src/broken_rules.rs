//! A deliberate violation of the release rule, with which fleet tests verify that violations are
//! detected. Compiled only with the feature `broken-rules`, which is never enabled in a product
//! build.

use hooklug_state::shard::{Event, ShardCommand};
use hooklug_types::EventSeq;

use crate::session::{PendingEvent, Session};

impl Session {
    /// Sends events to clients before their append is committed.
    pub(crate) fn release_uncommitted(&mut self, command: &ShardCommand, events: &[PendingEvent]) {
        let ShardCommand::AppendEvents { turn, first_seq, .. } = command else { return };
        let seqs = (first_seq.0..).map(EventSeq);
        let released: Vec<Event> = seqs
            .zip(events)
            .map(|(seq, pending)| Event { seq, turn: turn.clone(), body: pending.body.clone() })
            .collect();
        self.clients.release(&released, &mut self.effects);
    }
}
