//! Cluster formation: empty stores that discover each other form one cluster by a two-phase commit.
//! Free of I/O: callers pass in the replies of other stores.
//!
//! The empty store with the lowest node id coordinates. It syncs a plan to disk and requests that
//! every store of the plan syncs it too. Once all have promised, the coordinator decides the plan
//! by syncing its own membership. A store that has promised accepts no other plan until the
//! coordinator reports that the plan is dropped; a coordinator that restarts before its decision
//! drops the plan. Two plans can therefore never both be decided among stores that promised to one
//! of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_protocol::store::{FormationOffer, FormationPlan, FormationReply};
use hooklug_state::meta::{StoreRecord, StoreState};
use hooklug_types::{Incarnation, NodeId};

use crate::data_folder::Membership;
use crate::placement::{VOTERS, initial};

/// How long the reply of an empty store remains valid.
const REPLY_VALIDITY: Duration = Duration::from_secs(1);
/// How long the set of empty stores must be unchanged before a plan is proposed, so that all stores
/// that start together are in the plan and only one of them proposes.
const SETTLE_DURATION: Duration = Duration::from_millis(600);

/// An empty store and the time of its last reply.
#[derive(Debug, Clone)]
struct EmptyStore {
    record: StoreRecord,
    replied_at: Instant,
}

/// An empty store's knowledge of the other empty stores.
#[derive(Debug, Clone)]
pub struct FormationView {
    own: StoreRecord,
    expect_stores: usize,
    voters: usize,
    may_form: bool,
    empty_stores: BTreeMap<NodeId, EmptyStore>,
    changed_at: Instant,
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
            empty_stores: BTreeMap::new(),
            changed_at: now,
        }
    }

    /// Sets the number of voters in each group.
    #[must_use]
    pub fn with_voters(self, voters: usize) -> Self {
        Self { voters, ..self }
    }

    /// Sets whether the store may form a cluster; if not, it only joins an existing one.
    #[must_use]
    pub fn with_may_form(self, may_form: bool) -> Self {
        Self { may_form, ..self }
    }

    /// Records a reply of another store that is not a member of any cluster.
    pub fn record_reply(&mut self, reply: &FormationReply, incarnation: Incarnation, now: Instant) {
        let record = StoreRecord {
            node: reply.node,
            incarnation,
            address: reply.address,
            zone: reply.zone.clone(),
            state: StoreState::Active,
        };
        let known = self.empty_stores.insert(reply.node, EmptyStore { record, replied_at: now });
        if known.is_none() {
            self.changed_at = now;
        }
    }

    /// Removes stores that have not replied recently.
    pub fn remove_unresponsive(&mut self, now: Instant) {
        let before = self.empty_stores.len();
        self.empty_stores
            .retain(|_, store| now.saturating_duration_since(store.replied_at) < REPLY_VALIDITY);
        if self.empty_stores.len() != before {
            self.changed_at = now;
        }
    }

    /// Returns the plan to propose if this store should coordinate: there are enough empty stores,
    /// none has a lower id, and the set of empty stores has been unchanged for a while.
    #[must_use]
    pub fn plan(&self, cluster: u64, now: Instant) -> Option<FormationPlan> {
        let enough = self.empty_stores.len() + 1 >= self.expect_stores;
        let settled = now.saturating_duration_since(self.changed_at) >= SETTLE_DURATION;
        if !self.may_form || !enough || !settled || !self.is_lowest(self.own.node) {
            return None;
        }
        let others = self.empty_stores.values().map(|store| store.record.clone());
        let mut stores: Vec<StoreRecord> = others.chain([self.own.clone()]).collect();
        stores.sort_by_key(|store| store.node);
        let placements = initial::placements(&stores, self.voters);
        Some(FormationPlan { cluster, coordinator: self.own.node, stores, placements })
    }

    /// Returns whether this store, while it is not in a cluster, may promise to take part in a
    /// plan.
    #[must_use]
    pub fn may_promise(&self, plan: &FormationPlan) -> bool {
        let takes_part = plan.stores.iter().any(|store| store.node == self.own.node);
        let enough = plan.stores.len() >= self.expect_stores;
        self.may_form && takes_part && enough && self.is_lowest(plan.coordinator)
    }

    fn is_lowest(&self, node: NodeId) -> bool {
        let lowest = self.empty_stores.keys().next().copied();
        lowest.is_none_or(|lowest| lowest >= node) && self.own.node >= node
    }
}

/// How a store responds to a formation offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferDecision {
    /// Reply without a change of membership.
    Reply {
        /// Whether the offered cluster is the one that this store has promised to or is a member
        /// of.
        accepted: bool,
    },
    /// Sync the promise to disk, then accept.
    Promise(FormationPlan),
}

/// Decides how to respond to a formation offer.
#[must_use]
pub fn decide_offer(
    offer: &FormationOffer,
    membership: &Membership,
    view: &FormationView,
) -> OfferDecision {
    let offered_cluster = offer.plan.as_ref().map(|plan| plan.cluster).or(offer.promised_cluster);
    match (membership, &offer.plan) {
        (Membership::Empty, Some(plan)) if view.may_promise(plan) => {
            OfferDecision::Promise(plan.clone())
        }
        (Membership::Empty, _) => OfferDecision::Reply { accepted: false },
        (Membership::Promised(plan), _) => {
            OfferDecision::Reply { accepted: offered_cluster == Some(plan.cluster) }
        }
        (Membership::Member { cluster, .. }, _) => {
            OfferDecision::Reply { accepted: offered_cluster == Some(*cluster) }
        }
    }
}

/// State of a promised plan according to another store's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseState {
    /// No decision is known yet; the promise remains valid.
    Pending,
    /// The plan is decided and must be carried out.
    Decided,
    /// The plan was dropped; the store may promise to another one.
    Dropped,
}

/// Determines the state of a promise from another store's reply. `requested_cluster` is the
/// promised cluster that the request named. Only a reply of the coordinator to a request that named
/// this plan drops it; the reply to a request that was sent before the promise does not refer to
/// the plan.
#[must_use]
pub fn promise_state(
    plan: &FormationPlan,
    requested_cluster: Option<u64>,
    reply: &FormationReply,
) -> PromiseState {
    if reply.cluster == plan.cluster {
        return PromiseState::Decided;
    }
    let is_authoritative =
        reply.node == plan.coordinator && requested_cluster == Some(plan.cluster);
    if is_authoritative && !reply.accepted {
        return PromiseState::Dropped;
    }
    PromiseState::Pending
}
