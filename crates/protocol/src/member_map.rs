//! The members of a cluster view.

use std::collections::BTreeMap;
use std::ops::Index;

use hooklug_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::control::Member;
use crate::copy_on_write::CopyOnWrite;

/// A member that views share.
pub type SharedMember = CopyOnWrite<Member>;

/// Nodes by id (ours). A clone is one pointer; a change after a clone copies a pointer a node, not the nodes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberMap(CopyOnWrite<BTreeMap<NodeId, SharedMember>>);

impl MemberMap {
    /// A node, if it is known.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.0.get(node).map(|member| &**member)
    }

    /// A node to be changed, if it is known.
    pub fn get_mut(&mut self, node: &NodeId) -> Option<&mut Member> {
        self.0.get_mut(node).map(|member| &mut **member)
    }

    /// Puts a node in, in place of what was known of it.
    pub fn insert(&mut self, node: NodeId, member: impl Into<SharedMember>) {
        self.0.insert(node, member.into());
    }

    /// Takes a node out.
    pub fn remove(&mut self, node: &NodeId) {
        self.0.remove(node);
    }

    /// Whether a node is known.
    #[must_use]
    pub fn contains_key(&self, node: &NodeId) -> bool {
        self.0.contains_key(node)
    }

    /// How many nodes are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Ids, in order.
    pub fn keys(&self) -> impl Iterator<Item = &NodeId> {
        self.0.keys()
    }

    /// Nodes, by id.
    pub fn values(&self) -> impl Iterator<Item = &Member> + Clone {
        self.0.values().map(|member| &**member)
    }

    /// Nodes to be changed; each is copied.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.0.values_mut().map(|member| &mut **member)
    }

    /// Ids and nodes, in order of ids.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &SharedMember)> {
        self.0.iter()
    }

    /// Nodes that are not in an earlier map, or not as they are there. Costs a look at two pointers for
    /// each node that both maps share.
    pub fn changed_since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = (Option<&'a Member>, &'a SharedMember)> {
        let all = (!self.0.is_same_copy(&earlier.0)).then_some(&self.0);
        all.into_iter().flat_map(|all| all.iter()).filter_map(|(node, member)| {
            let before = earlier.0.get(node);
            let same = before.is_some_and(|before| before == member);
            (!same).then_some((before.map(|before| &**before), member))
        })
    }

    /// Nodes of an earlier map that are not in this one.
    pub fn gone_since<'a>(&'a self, earlier: &'a Self) -> impl Iterator<Item = NodeId> + 'a {
        let all = (!self.0.is_same_copy(&earlier.0)).then_some(&earlier.0);
        let ids = all.into_iter().flat_map(|all| all.keys());
        ids.filter(|node| !self.0.contains_key(node)).copied()
    }
}

impl FromIterator<(NodeId, Member)> for MemberMap {
    fn from_iter<I: IntoIterator<Item = (NodeId, Member)>>(members: I) -> Self {
        let shared = members.into_iter().map(|(node, member)| (node, member.into()));
        Self(shared.collect::<BTreeMap<_, _>>().into())
    }
}

impl Index<&NodeId> for MemberMap {
    type Output = Member;

    fn index(&self, node: &NodeId) -> &Member {
        &self.0[node]
    }
}
