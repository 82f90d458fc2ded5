//! Which nodes live, judged by the core leader from their heartbeats. Pure: time is passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_protocol::control::{Heartbeat, Member, MemberHealth};
use hooklug_types::NodeId;

/// Silence after which a node is suspected (ours).
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Silence after which a node is given up (ours).
pub const DEAD_AFTER: Duration = Duration::from_secs(6);

/// Silence after which a node leaves the view (ours).
pub const GONE_AFTER: Duration = Duration::from_secs(15);

/// A longer pause between two looks than this means that this process itself was stopped (ours).
const LONGEST_OWN_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    last_heard: Instant,
}

/// The nodes that the core leader knows.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, Entry>,
    last_look: Option<Instant>,
}

impl MemberTable {
    /// Takes over what the former leader knew; each node gets its full time from now.
    #[must_use]
    pub fn take_over(members: &BTreeMap<NodeId, Member>, now: Instant) -> Self {
        let living = members.values().filter(|m| m.health != MemberHealth::Dead);
        let entries = living
            .map(|member| (member.address.node, Entry { member: member.clone(), last_heard: now }));
        Self { entries: entries.collect(), last_look: Some(now) }
    }

    /// Takes a heartbeat. One of an earlier run changes nothing; a node at the address of an earlier one
    /// replaces it.
    pub fn heard(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let from = &heartbeat.from;
        let newer = |e: &Entry| e.member.address.incarnation > from.incarnation;
        let same_place = |e: &Entry| e.member.address.rpc == from.rpc;
        if self.entries.get(&from.node).is_some_and(newer)
            || self.entries.values().any(|e| same_place(e) && newer(e))
        {
            return;
        }
        self.entries.retain(|node, entry| *node == from.node || !same_place(entry));
        let member = Member {
            address: from.clone(),
            health: MemberHealth::Alive,
            bundle: heartbeat.bundle,
            engine: heartbeat.engine.clone(),
        };
        self.entries.insert(from.node, Entry { member, last_heard: now });
    }

    /// Looks at the time passed: suspects, gives up and drops silent nodes. A pause of this process itself
    /// is nobody else's silence.
    pub fn look(&mut self, now: Instant) {
        let pause =
            self.last_look.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_look = Some(now);
        if pause > LONGEST_OWN_PAUSE {
            self.entries.values_mut().for_each(|entry| entry.last_heard += pause);
        }
        for entry in self.entries.values_mut() {
            entry.member.health = health(now.saturating_duration_since(entry.last_heard));
        }
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.last_heard) < GONE_AFTER);
    }

    /// How long a node has been silent; `None` for one that is not known.
    #[must_use]
    pub fn silence(&self, node: NodeId, now: Instant) -> Option<Duration> {
        self.entries.get(&node).map(|entry| now.saturating_duration_since(entry.last_heard))
    }

    /// The nodes as the view shows them.
    #[must_use]
    pub fn members(&self) -> BTreeMap<NodeId, Member> {
        self.entries.iter().map(|(node, entry)| (*node, entry.member.clone())).collect()
    }
}

fn health(silence: Duration) -> MemberHealth {
    if silence >= DEAD_AFTER {
        MemberHealth::Dead
    } else if silence >= SUSPECT_AFTER {
        MemberHealth::Suspect
    } else {
        MemberHealth::Alive
    }
}
