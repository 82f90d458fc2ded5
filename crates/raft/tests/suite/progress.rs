//! Flow control: a leader's view of one replica against a replica whose messages get lost.

use hooklug_raft::progress::{Progress, ProgressState};
use proptest::prelude::*;

/// What becomes of the append that the leader would send now.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// It arrives, and so does the answer.
    Answered,
    /// It arrives, the answer does not.
    AnswerLost,
    /// It is lost.
    Lost,
    /// Nothing is sent; a heartbeat is answered.
    Heartbeat,
    /// The leader gets another entry.
    Grow,
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = prop_oneof![
        Just(Fate::Answered),
        Just(Fate::AnswerLost),
        Just(Fate::Lost),
        Just(Fate::Heartbeat),
        Just(Fate::Grow),
    ];
    proptest::collection::vec(fate, 1..100)
}

/// A leader's log of `last` entries, of which the replica holds the first `held`.
#[derive(Debug)]
struct Link {
    progress: Progress,
    last: u64,
    held: u64,
    max_inflight: usize,
}

impl Link {
    fn check(&self) {
        assert!(self.progress.matched() <= self.held, "no entry counts that the replica lacks");
        assert!(self.progress.next() > self.progress.matched());
        assert!(self.progress.inflight() <= self.max_inflight);
        let new_wanted = self.progress.next() <= self.last && !self.progress.is_full();
        if self.progress.state() == ProgressState::Replicate && new_wanted {
            assert!(self.progress.needs_append(self.last, 0), "room and news, but no append");
        }
    }

    /// Sends what is wanted now, one entry at most.
    fn send(&mut self, fate: Fate) {
        if !self.progress.needs_append(self.last, 0) {
            return;
        }
        let prev = self.progress.next() - 1;
        let is_full = self.progress.is_full();
        let end = if is_full { prev } else { self.last.min(prev + 1) };
        self.progress.append_sent(end, 0);
        if matches!(fate, Fate::Lost) {
            return;
        }
        let accepted = prev <= self.held;
        if accepted {
            self.held = self.held.max(end);
        }
        if matches!(fate, Fate::AnswerLost) {
            return;
        }
        if accepted {
            self.progress.append_accepted(end, 1);
        } else {
            self.progress.append_rejected(prev, self.held);
        }
    }

    fn step(&mut self, fate: Fate) {
        match fate {
            Fate::Grow => self.last += 1,
            Fate::Heartbeat => self.progress.heartbeat_acked(self.last),
            _ => self.send(fate),
        }
    }
}

proptest! {
    #[test]
    fn a_replica_catches_up_whatever_was_lost(
        fates in fates(), last in 0u64..30, held in 0u64..30, max_inflight in 1usize..5,
    ) {
        let held = held.min(last);
        let progress = Progress::new(last, max_inflight);
        let mut link = Link { progress, last, held, max_inflight };
        for fate in fates {
            link.step(fate);
            link.check();
        }
        // Without losses: each round answers a heartbeat and a few appends.
        for _ in 0..4 * (link.last + 1) {
            link.step(Fate::Heartbeat);
            link.step(Fate::Answered);
            link.step(Fate::Answered);
            link.check();
        }
        prop_assert_eq!(link.progress.matched(), link.last);
    }

    #[test]
    fn a_refusal_out_of_date_changes_nothing(matched in 1u64..20, at in 1u64..20) {
        let mut progress = Progress::new(20, 4);
        progress.append_accepted(matched, 1);
        let before = format!("{progress:?}");
        let taken = progress.append_rejected(at.min(matched), 0);
        prop_assert!(!taken);
        prop_assert_eq!(format!("{progress:?}"), before);
    }
}

#[test]
fn nothing_is_sent_while_a_snapshot_is_on_its_way() {
    let mut progress = Progress::new(10, 4);
    progress.become_snapshot();
    progress.heartbeat_acked(10);
    assert!(!progress.needs_append(10, 10));
    progress.append_accepted(10, 5);
    assert_eq!(progress.state(), ProgressState::Replicate);
}
