//! First start: empty stores that see each other form one cluster. Pure: what was heard comes in.
//!
//! The empty store with the lowest node id coordinates. It syncs a plan, asks every store of the plan
//! to sync it too, and only when all have promised is the plan decided, by the coordinator's own synced
//! membership. A store that has promised takes part in no other plan until the coordinator says that
//! the plan is dropped, and a coordinator that restarts undecided drops it. Two plans are never both
//! decided among stores that promised to one of them (ours; a two-phase commit).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_protocol::store::{FormationOffer, FormationPlan, FormationReply};
use hooklug_state::meta::{StoreRecord, StoreState};
use hooklug_types::{Incarnation, NodeId};

use crate::data_folder::Membership;
use crate::placement::{VOTERS, initial};

/// How long an answer counts.
const SEEN_TIME: Duration = Duration::from_secs(1);
/// How long the set of empty stores must have stood still before one proposes (ours), so that all that
/// start together are in the plan and only one proposes.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// An empty store that answered.
#[derive(Debug, Clone)]
struct Seen {
    record: StoreRecord,
    at: Instant,
}

/// What an empty store has heard of others.
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
    /// Nothing heard yet.
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

    /// The same with this many voters in each group.
    #[must_use]
    pub fn with_voters(self, voters: usize) -> Self {
        Self { voters, ..self }
    }

    /// The same, forming no cluster if not allowed: such a store only joins one.
    #[must_use]
    pub fn with_forming(self, may_form: bool) -> Self {
        Self { may_form, ..self }
    }

    /// Notes an answer of another store that is a member of no cluster.
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

    /// Forgets who has not answered lately.
    pub fn forget_silent(&mut self, now: Instant) {
        let before = self.empty.len();
        self.empty.retain(|_, seen| now.saturating_duration_since(seen.at) < SEEN_TIME);
        if self.empty.len() != before {
            self.changed = now;
        }
    }

    /// The plan to propose, if it is this store's turn: enough empty stores, none with a lower id, and
    /// nothing has changed for a while.
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

    /// Whether a store that is in no cluster may promise to take part in a plan.
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

/// What a store does about an offer, given what it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferVerdict {
    /// Answer so, nothing changes.
    Answer {
        /// Whether the plan is promised, or stands.
        accepted: bool,
    },
    /// Sync the promise, then accept.
    Promise(FormationPlan),
}

/// Judges an offer.
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

/// What a store that promised does about its coordinator's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseFate {
    /// Not decided yet.
    Stands,
    /// Decided: act on it.
    Decided,
    /// Dropped: the store is free again.
    Dropped,
}

/// Judges a promise by an answer; `asked` is the promised cluster that the question named. Only the
/// coordinator's own word about this very plan drops it: an answer to a question that was asked before
/// the promise was made says nothing of it.
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
