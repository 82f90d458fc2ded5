//! Computes and applies the differences between two cluster views.

use std::collections::BTreeMap;

use hooklug_protocol::control::{ApplicationEngine, ClusterView, Member, ViewChange, ViewItem};
use hooklug_types::{BundleVersion, EngineId, FencingEpoch, NodeId, Revision};

/// Low bits of a revision, which count the changes under one core leader; the high bits are its
/// fencing epoch.
const COUNT_BITS: u32 = 32;

/// Returns the first revision under a core leader, which is higher than all those under earlier
/// leaders.
#[must_use]
pub fn first_revision(epoch: FencingEpoch) -> Revision {
    Revision(epoch.0 << COUNT_BITS)
}

/// Returns the fencing epoch under which a revision was created.
#[must_use]
pub fn revision_epoch(revision: Revision) -> FencingEpoch {
    FencingEpoch(revision.0 >> COUNT_BITS)
}

/// Returns the number of changes made under the revision's epoch.
#[must_use]
pub fn revision_count(revision: Revision) -> u64 {
    revision.0 & ((1 << COUNT_BITS) - 1)
}

/// Returns the changes that turn one view into another, apart from the revision.
#[must_use]
pub fn changes(before: &ClusterView, after: &ClusterView) -> Vec<ViewChange> {
    let mut changes = Vec::new();
    let mut installed: BTreeMap<BundleVersion, Vec<NodeId>> = BTreeMap::new();
    for (known, member) in after.members.changed_since(&before.members) {
        match known {
            Some(known) if differs_by_bundle_only(known, member) => {
                installed.entry(member.bundle).or_default().push(member.address.node);
            }
            _ => changes.push(ViewChange::Member(member.clone())),
        }
    }
    let group = |(bundle, nodes)| ViewChange::BundleInstalled { bundle, nodes };
    changes.extend(installed.into_iter().map(group));
    changes.extend(after.members.removed_since(&before.members).map(ViewChange::MemberRemoved));
    changes.extend(engine_changes(before, after));
    if before.meta != after.meta {
        changes.push(ViewChange::Meta(after.meta.clone()));
    }
    changes
}

fn engine_changes(before: &ClusterView, after: &ClusterView) -> Vec<ViewChange> {
    if before.engines == after.engines {
        return Vec::new();
    }
    let differs =
        |(id, engine): &(&EngineId, &ApplicationEngine)| before.engines.get(*id) != Some(*engine);
    let changed = after.engines.iter().filter(differs);
    let removed = before.engines.keys().filter(|id| !after.engines.contains_key(*id));
    changed
        .map(|(_, engine)| ViewChange::Engine(engine.clone()))
        .chain(removed.map(|id| ViewChange::EngineRemoved(id.clone())))
        .collect()
}

fn differs_by_bundle_only(known: &Member, member: &Member) -> bool {
    known.address == member.address
        && known.health == member.health
        && known.engine == member.engine
}

/// Applies one change.
pub fn apply_change(view: &mut ClusterView, change: ViewChange) {
    match change {
        ViewChange::Member(member) => {
            view.members.insert(member.address.node, member);
        }
        ViewChange::BundleInstalled { bundle, nodes } => {
            for node in nodes {
                if let Some(member) = view.members.get_mut(&node) {
                    member.bundle = bundle;
                }
            }
        }
        ViewChange::MemberRemoved(id) => {
            view.members.remove(&id);
        }
        ViewChange::Engine(engine) => {
            view.engines.insert(engine.engine.clone(), engine);
        }
        ViewChange::EngineRemoved(id) => {
            view.engines.remove(&id);
        }
        ViewChange::Meta(meta) => view.meta = meta,
    }
}

/// Result of applying an item of the view stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// The view changed.
    Changed,
    /// The item is not newer than the view; nothing changed.
    Stale,
    /// The changes do not start at the view's revision; the stream must be reopened.
    Gap,
}

/// Applies an item of the view stream. The revision never decreases.
pub fn apply_item(view: &mut ClusterView, item: ViewItem) -> ApplyResult {
    match item {
        ViewItem::Full(full) if full.revision > view.revision => {
            *view = *full;
            ApplyResult::Changed
        }
        ViewItem::Full(_) => ApplyResult::Stale,
        ViewItem::Changes { to, .. } if to <= view.revision => ApplyResult::Stale,
        ViewItem::Changes { from, .. } if from != view.revision => ApplyResult::Gap,
        ViewItem::Changes { to, changes, .. } => {
            for change in changes {
                apply_change(view, change);
            }
            view.revision = to;
            ApplyResult::Changed
        }
    }
}
