//! The members of a cluster view.

use std::collections::BTreeMap;
use std::ops::Index;

use hooklug_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::control::Member;
use crate::copy_on_write::CopyOnWrite;

/// A member shared between views.
pub type SharedMember = CopyOnWrite<Member>;

/// Nodes by id. A clone copies one pointer; a change after a clone copies one pointer per node, not
/// the nodes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberMap(CopyOnWrite<BTreeMap<NodeId, SharedMember>>);

impl MemberMap {
    /// Returns a node, if it is known.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        self.0.get(node).map(|member| &**member)
    }

    /// Returns a mutable reference to a node, if it is known.
    pub fn get_mut(&mut self, node: &NodeId) -> Option<&mut Member> {
        self.0.get_mut(node).map(|member| &mut **member)
    }

    /// Inserts a node, replacing its previous entry.
    pub fn insert(&mut self, node: NodeId, member: impl Into<SharedMember>) {
        self.0.insert(node, member.into());
    }

    /// Removes a node.
    pub fn remove(&mut self, node: &NodeId) {
        self.0.remove(node);
    }

    /// Whether a node is known.
    #[must_use]
    pub fn contains_key(&self, node: &NodeId) -> bool {
        self.0.contains_key(node)
    }

    /// Returns the number of nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the map is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the node ids, in order.
    pub fn keys(&self) -> impl Iterator<Item = &NodeId> {
        self.0.keys()
    }

    /// Iterates over the nodes, in order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Member> + Clone {
        self.0.values().map(|member| &**member)
    }

    /// Iterates mutably over the nodes. Each node that another view shares is copied.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.0.values_mut().map(|member| &mut **member)
    }

    /// Iterates over ids and nodes, in order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &SharedMember)> {
        self.0.iter()
    }

    /// Iterates over the nodes that were added or changed since an earlier map. For a node that
    /// both maps share, this costs one comparison of pointers.
    pub fn changed_since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = (Option<&'a Member>, &'a SharedMember)> {
        let all = (!self.0.ptr_eq(&earlier.0)).then_some(&self.0);
        all.into_iter().flat_map(|all| all.iter()).filter_map(|(node, member)| {
            let before = earlier.0.get(node);
            let same = before.is_some_and(|before| before == member);
            (!same).then_some((before.map(|before| &**before), member))
        })
    }

    /// Iterates over the nodes of an earlier map that are not in this one.
    pub fn removed_since<'a>(&'a self, earlier: &'a Self) -> impl Iterator<Item = NodeId> + 'a {
        let all = (!self.0.ptr_eq(&earlier.0)).then_some(&earlier.0);
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
