//! Health of nodes, judged by the core leader from their heartbeats. Pure: time is passed in.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hooklug_protocol::control::{Heartbeat, Member, MemberHealth};
use hooklug_protocol::member_map::MemberMap;
use hooklug_types::NodeId;

/// Time without a heartbeat after which a node is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Time without a heartbeat after which a node is considered dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(6);

/// Time without a heartbeat after which a node is removed from the view.
pub const REMOVE_AFTER: Duration = Duration::from_secs(15);

/// Time between two updates above which this process itself is assumed to have been paused.
const MAX_OWN_PAUSE: Duration = Duration::from_secs(1);

/// The nodes that the core leader knows, and when each sent its last heartbeat.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    /// The members as shown in the view. A heartbeat without changes leaves them untouched.
    members: MemberMap,
    /// Time of the last heartbeat; the same nodes as in `members`.
    last_heartbeat: BTreeMap<NodeId, Instant>,
    /// The node that listens at an address; the same nodes as in `members`.
    by_address: HashMap<SocketAddr, NodeId>,
    last_update: Option<Instant>,
}

impl MemberTable {
    /// Creates a table from the members of the previous leader's view that are not dead; their
    /// timeouts start anew at `now`.
    #[must_use]
    pub fn take_over(members: &MemberMap, now: Instant) -> Self {
        let mut table = Self { last_update: Some(now), ..Self::default() };
        for (node, member) in members.iter().filter(|(_, m)| m.health != MemberHealth::Dead) {
            table.members.insert(*node, member.clone());
            table.last_heartbeat.insert(*node, now);
            table.by_address.insert(member.address.rpc, *node);
        }
        table
    }

    /// Records a heartbeat. One of an earlier incarnation is ignored; a node at the address of an
    /// older one replaces it.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let from = &heartbeat.from;
        let holder = self.by_address.get(&from.rpc).copied();
        let has_newer = |node: &NodeId| {
            let known = self.members.get(node);
            known.is_some_and(|member| member.address.incarnation > from.incarnation)
        };
        if has_newer(&from.node) || holder.as_ref().is_some_and(has_newer) {
            return;
        }
        if let Some(replaced) = holder.filter(|node| *node != from.node) {
            self.remove(replaced);
        }
        let member = Member {
            address: from.clone(),
            health: MemberHealth::Alive,
            bundle: heartbeat.bundle,
            engine: heartbeat.engine.clone(),
        };
        self.last_heartbeat.insert(from.node, now);
        let known = self.members.get(&from.node);
        if known != Some(&member) {
            if let Some(known) = known {
                self.by_address.remove(&known.address.rpc);
            }
            self.by_address.insert(from.rpc, from.node);
            self.members.insert(from.node, member);
        }
    }

    fn remove(&mut self, node: NodeId) {
        self.last_heartbeat.remove(&node);
        if let Some(address) = self.members.get(&node).map(|member| member.address.rpc) {
            self.by_address.remove(&address);
            self.members.remove(&node);
        }
    }

    /// Updates the health of all nodes and removes those without a heartbeat for [`REMOVE_AFTER`].
    /// Time for which this process itself was paused does not count.
    pub fn update_health(&mut self, now: Instant) {
        let pause =
            self.last_update.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_update = Some(now);
        if pause > MAX_OWN_PAUSE {
            self.last_heartbeat.values_mut().for_each(|heartbeat_at| *heartbeat_at += pause);
        }
        let elapsed = |heartbeat_at: &Instant| now.saturating_duration_since(*heartbeat_at);
        let expired = self
            .last_heartbeat
            .iter()
            .filter(|(_, heartbeat_at)| elapsed(heartbeat_at) >= REMOVE_AFTER);
        let expired: Vec<NodeId> = expired.map(|(node, _)| *node).collect();
        expired.into_iter().for_each(|node| self.remove(node));
        for (node, heartbeat_at) in &self.last_heartbeat {
            let health = health(elapsed(heartbeat_at));
            if self.members.get(node).is_some_and(|member| member.health != health)
                && let Some(member) = self.members.get_mut(node)
            {
                member.health = health;
            }
        }
    }

    /// Returns the time since the last heartbeat of a node; `None` for an unknown node.
    #[must_use]
    pub fn time_since_heartbeat(&self, node: NodeId, now: Instant) -> Option<Duration> {
        self.last_heartbeat
            .get(&node)
            .map(|heartbeat_at| now.saturating_duration_since(*heartbeat_at))
    }

    /// Returns the members as shown in the view; copies only one pointer.
    #[must_use]
    pub fn members(&self) -> MemberMap {
        self.members.clone()
    }
}

fn health(elapsed: Duration) -> MemberHealth {
    if elapsed >= DEAD_AFTER {
        MemberHealth::Dead
    } else if elapsed >= SUSPECT_AFTER {
        MemberHealth::Suspect
    } else {
        MemberHealth::Alive
    }
}
