//! Malformed and inconsistent messages must not cause a panic or revert committed entries.

use crate::common::{Group, node, voters};
use hooklug_raft::{
    AppendHint, ConfState, Entry, EntryKind, Message, MessageBody, Snapshot, SnapshotMeta,
};
use proptest::prelude::*;

fn small() -> std::ops::Range<u64> {
    0..8
}

/// Mostly small values, sometimes the end of the range.
fn any_size() -> impl Strategy<Value = u64> {
    prop_oneof![8 => small(), 1 => any::<u64>(), 1 => Just(u64::MAX)]
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let entry = (small(), small()).prop_map(|(term, index)| Entry {
        term,
        index,
        kind: EntryKind::Command(vec![1].into()),
    });
    proptest::collection::vec(entry, 0..4)
}

fn body() -> impl Strategy<Value = MessageBody> {
    prop_oneof![
        (small(), small())
            .prop_map(|(last_index, last_term)| MessageBody::PreVote { last_index, last_term }),
        any::<bool>().prop_map(|granted| MessageBody::PreVoteReply { granted }),
        (small(), small(), any::<bool>()).prop_map(|(last_index, last_term, transfer)| {
            MessageBody::Vote { last_index, last_term, transfer }
        }),
        any::<bool>().prop_map(|granted| MessageBody::VoteReply { granted }),
        (any_size(), small(), entries(), any_size()).prop_map(
            |(prev_index, prev_term, entries, commit)| {
                MessageBody::Append { prev_index, prev_term, entries, commit }
            }
        ),
        any_size().prop_map(|matched| MessageBody::AppendReply { matched, rejected: None }),
        (any_size(), any_size(), any_size()).prop_map(|(rejected_index, hint_index, hint_term)| {
            let rejected = Some(AppendHint { rejected_index, hint_index, hint_term });
            MessageBody::AppendReply { matched: 0, rejected }
        }),
        (any::<u64>(), small())
            .prop_map(|(commit, read_round)| MessageBody::Heartbeat { commit, read_round }),
        any::<u64>().prop_map(|read_round| MessageBody::HeartbeatReply { read_round }),
        (small(), small()).prop_map(|(index, term)| {
            let conf = ConfState::default();
            MessageBody::InstallSnapshot(SnapshotMeta { index, term, conf })
        }),
        Just(MessageBody::TimeoutNow),
    ]
}

fn term() -> impl Strategy<Value = u64> {
    prop_oneof![40 => small(), 1 => Just(u64::MAX)]
}

fn message() -> impl Strategy<Value = Message> {
    (1u64..6, 1u64..4, term(), body()).prop_map(|(from, to, term, body)| Message {
        from: node(from),
        to: node(to),
        term,
        body,
    })
}

proptest! {
    #[test]
    fn arbitrary_messages_preserve_committed_entries(
        messages in proptest::collection::vec(message(), 1..60),
        snapshot in (small(), small()),
        leads in any::<bool>(),
    ) {
        let mut group = Group::new(&[1, 2, 3]);
        if leads {
            group.at(1).campaign();
            group.settle();
            group.at(1).propose(b"kept".to_vec()).expect("accepted");
            group.settle();
        }
        let kept = group.commands(1);
        for message in messages {
            let before = group.at(1).status();
            group.at(1).step(message);
            while group.at(1).has_ready() {
                group.at(1).ready();
                group.at(1).advance();
            }
            group.at(1).tick();
            let after = group.at(1).status();
            prop_assert!(after.term >= before.term);
            prop_assert!(after.commit >= before.commit && after.applied >= before.applied);
            prop_assert!(after.commit <= after.last_index);
        }
        let (index, term) = snapshot;
        let meta = SnapshotMeta { index, term, conf: voters(&[1, 2, 3]) };
        let commit = group.at(1).status().commit;
        group.at(1).receive_snapshot(node(2), term, Snapshot { meta, data: Vec::new() });
        prop_assert!(group.at(1).status().commit >= commit);
        prop_assert_eq!(group.commands(1), kept);
    }
}
