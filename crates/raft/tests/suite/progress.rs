//! Flow control: a leader's progress tracking with a replica whose messages may be lost.

use hooklug_raft::progress::{Progress, ProgressState};
use proptest::prelude::*;

/// Outcome of the append that the leader would send next, or another event.
#[derive(Debug, Clone, Copy)]
enum AppendOutcome {
    /// The append and its reply arrive.
    Answered,
    /// The append arrives; its reply is lost.
    AnswerLost,
    /// The append is lost.
    Lost,
    /// No append is sent; a heartbeat is acknowledged.
    Heartbeat,
    /// An entry is added to the leader's log.
    Grow,
}

fn outcomes() -> impl Strategy<Value = Vec<AppendOutcome>> {
    let outcome = prop_oneof![
        Just(AppendOutcome::Answered),
        Just(AppendOutcome::AnswerLost),
        Just(AppendOutcome::Lost),
        Just(AppendOutcome::Heartbeat),
        Just(AppendOutcome::Grow),
    ];
    proptest::collection::vec(outcome, 1..100)
}

/// The connection of a leader whose log has `last` entries to a replica that holds the first
/// `held`.
#[derive(Debug)]
struct Link {
    progress: Progress,
    last: u64,
    held: u64,
    max_inflight: usize,
}

impl Link {
    fn check(&self) {
        assert!(
            self.progress.matched() <= self.held,
            "matched includes entries that the replica lacks"
        );
        assert!(self.progress.next() > self.progress.matched());
        assert!(self.progress.inflight() <= self.max_inflight);
        let can_send_new = self.progress.next() <= self.last && !self.progress.is_full();
        if self.progress.state() == ProgressState::Replicate && can_send_new {
            assert!(
                self.progress.needs_append(self.last, 0),
                "new entries and capacity, but no append"
            );
        }
    }

    /// Sends the append that is due, if any, with at most one entry.
    fn send(&mut self, outcome: AppendOutcome) {
        if !self.progress.needs_append(self.last, 0) {
            return;
        }
        let prev = self.progress.next() - 1;
        let is_full = self.progress.is_full();
        let end = if is_full { prev } else { self.last.min(prev + 1) };
        self.progress.append_sent(end, 0);
        if matches!(outcome, AppendOutcome::Lost) {
            return;
        }
        let accepted = prev <= self.held;
        if accepted {
            self.held = self.held.max(end);
        }
        if matches!(outcome, AppendOutcome::AnswerLost) {
            return;
        }
        if accepted {
            self.progress.append_accepted(end, 1);
        } else {
            self.progress.append_rejected(prev, self.held);
        }
    }

    fn step(&mut self, outcome: AppendOutcome) {
        match outcome {
            AppendOutcome::Grow => self.last += 1,
            AppendOutcome::Heartbeat => self.progress.heartbeat_acked(self.last),
            _ => self.send(outcome),
        }
    }
}

proptest! {
    #[test]
    fn a_replica_catches_up_after_any_message_loss(
        outcomes in outcomes(), last in 0u64..30, held in 0u64..30, max_inflight in 1usize..5,
    ) {
        let held = held.min(last);
        let progress = Progress::new(last, max_inflight);
        let mut link = Link { progress, last, held, max_inflight };
        for outcome in outcomes {
            link.step(outcome);
            link.check();
        }
        // Without message loss: each iteration acknowledges a heartbeat and two appends.
        for _ in 0..4 * (link.last + 1) {
            link.step(AppendOutcome::Heartbeat);
            link.step(AppendOutcome::Answered);
            link.step(AppendOutcome::Answered);
            link.check();
        }
        prop_assert_eq!(link.progress.matched(), link.last);
    }

    #[test]
    fn a_stale_append_rejection_is_ignored(matched in 1u64..20, at in 1u64..20) {
        let mut progress = Progress::new(20, 4);
        progress.append_accepted(matched, 1);
        let before = format!("{progress:?}");
        let accepted = progress.append_rejected(at.min(matched), 0);
        prop_assert!(!accepted);
        prop_assert_eq!(format!("{progress:?}"), before);
    }
}

#[test]
fn no_append_is_sent_while_a_snapshot_is_in_flight() {
    let mut progress = Progress::new(10, 4);
    progress.become_snapshot();
    progress.heartbeat_acked(10);
    assert!(!progress.needs_append(10, 10));
    progress.append_accepted(10, 5);
    assert_eq!(progress.state(), ProgressState::Replicate);
}
