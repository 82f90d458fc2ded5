//! Cluster formation: empty stores that discover each other form one cluster by a two-phase commit.
//! Free of I/O: callers pass in the replies of other stores.
//!
//! The empty store with the lowest node id coordinates. It syncs a plan to disk and requests that every
//! store of the plan syncs it too. Once all have promised, the coordinator decides the plan by syncing
//! its own membership. A store that has promised accepts no other plan until the coordinator reports
//! that the plan is dropped; a coordinator that restarts before its decision drops the plan. Among
//! stores that promised to a plan, no second plan can therefore be decided.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_protocol::store::{FormationOffer, FormationPlan, FormationReply};
use hooklug_state::meta::{StoreRecord, StoreState};
use hooklug_types::{Incarnation, NodeId};

use crate::data_folder::Membership;
use crate::placement::{VOTERS, initial};

/// How long the reply of an empty store remains valid.
const SEEN_TIME: Duration = Duration::from_secs(1);
/// How long the set of empty stores must be unchanged before a plan is proposed, so that all stores
/// that start together are in the plan and only one of them proposes.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// An empty store and the time of its last reply.
#[derive(Debug, Clone)]
struct Seen {
    record: StoreRecord,
    at: Instant,
}

/// An empty store's knowledge of the other empty stores.
#[derive(Debug, Clone)]
pub struct FormationView {
    own: StoreRecord,
    expect_stores: usize,
    voters: usize,
    may_form: bool,
    empty: BTreeMap<NodeId, Seen>,
    changed: Instant,
}

impl FormationView {
    /// Creates a view that contains no other stores.
    #[must_use]
    pub fn new(own: StoreRecord, expect_stores: usize, now: Instant) -> Self {
        Self {
            own,
            expect_stores,
            voters: VOTERS,
            may_form: true,
            empty: BTreeMap::new(),
            changed: now,
        }
    }

    /// Sets the number of voters in each group.
    #[must_use]
    pub fn with_voters(self, voters: usize) -> Self {
        Self { voters, ..self }
    }

    /// Sets whether the store may form a cluster; if not, it only joins an existing one.
    #[must_use]
    pub fn with_forming(self, may_form: bool) -> Self {
        Self { may_form, ..self }
    }

    /// Records a reply of another store that is not a member of any cluster.
    pub fn note(&mut self, reply: &FormationReply, incarnation: Incarnation, now: Instant) {
        let record = StoreRecord {
            node: reply.node,
            incarnation,
            address: reply.address,
            zone: reply.zone.clone(),
            state: StoreState::Active,
        };
        let known = self.empty.insert(reply.node, Seen { record, at: now });
        if known.is_none() {
            self.changed = now;
        }
    }

    /// Removes stores that have not replied recently.
    pub fn forget_silent(&mut self, now: Instant) {
        let before = self.empty.len();
        self.empty.retain(|_, seen| now.saturating_duration_since(seen.at) < SEEN_TIME);
        if self.empty.len() != before {
            self.changed = now;
        }
    }

    /// Returns the plan to propose if this store should coordinate: there are enough empty stores, none
    /// has a lower id, and the set of empty stores has been unchanged for a while.
    #[must_use]
    pub fn plan(&self, cluster: u64, now: Instant) -> Option<FormationPlan> {
        let enough = self.empty.len() + 1 >= self.expect_stores;
        let settled = now.saturating_duration_since(self.changed) >= SETTLE_TIME;
        if !self.may_form || !enough || !settled || !self.is_lowest(self.own.node) {
            return None;
        }
        let others = self.empty.values().map(|seen| seen.record.clone());
        let mut stores: Vec<StoreRecord> = others.chain([self.own.clone()]).collect();
        stores.sort_by_key(|store| store.node);
        let placements = initial::placements(&stores, self.voters);
        Some(FormationPlan { cluster, coordinator: self.own.node, stores, placements })
    }

    /// Returns whether this store, while it is not in a cluster, may promise to take part in a plan.
    #[must_use]
    pub fn may_promise(&self, plan: &FormationPlan) -> bool {
        let takes_part = plan.stores.iter().any(|store| store.node == self.own.node);
        let enough = plan.stores.len() >= self.expect_stores;
        self.may_form && takes_part && enough && self.is_lowest(plan.coordinator)
    }

    fn is_lowest(&self, node: NodeId) -> bool {
        let lowest = self.empty.keys().next().copied();
        lowest.is_none_or(|lowest| lowest >= node) && self.own.node >= node
    }
}

/// How a store responds to a formation offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferVerdict {
    /// Reply without a change of membership.
    Answer {
        /// Whether the offered cluster is the one that this store has promised to or is a member of.
        accepted: bool,
    },
    /// Sync the promise to disk, then accept.
    Promise(FormationPlan),
}

/// Decides how to respond to a formation offer.
#[must_use]
pub fn judge_offer(
    offer: &FormationOffer,
    membership: &Membership,
    view: &FormationView,
) -> OfferVerdict {
    let asked = offer.plan.as_ref().map(|plan| plan.cluster).or(offer.propose);
    match (membership, &offer.plan) {
        (Membership::Empty, Some(plan)) if view.may_promise(plan) => {
            OfferVerdict::Promise(plan.clone())
        }
        (Membership::Empty, _) => OfferVerdict::Answer { accepted: false },
        (Membership::Promised(plan), _) => {
            OfferVerdict::Answer { accepted: asked == Some(plan.cluster) }
        }
        (Membership::Member { cluster, .. }, _) => {
            OfferVerdict::Answer { accepted: asked == Some(*cluster) }
        }
    }
}

/// State of a promised plan according to another store's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseFate {
    /// No decision is known yet; the promise remains valid.
    Stands,
    /// The plan is decided and must be carried out.
    Decided,
    /// The plan was dropped; the store may promise to another one.
    Dropped,
}

/// Determines the state of a promise from another store's reply. `asked` is the promised cluster that
/// the request named. Only a reply of the coordinator to a request that named this plan drops it; the
/// reply to a request that was sent before the promise was made does not refer to the plan.
#[must_use]
pub fn judge_promise(
    plan: &FormationPlan,
    asked: Option<u64>,
    reply: &FormationReply,
) -> PromiseFate {
    if reply.cluster == plan.cluster {
        return PromiseFate::Decided;
    }
    let is_word = reply.node == plan.coordinator && asked == Some(plan.cluster);
    if is_word && !reply.accepted {
        return PromiseFate::Dropped;
    }
    PromiseFate::Stands
}
