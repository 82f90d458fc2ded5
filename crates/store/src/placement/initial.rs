//! Where the replicas of a new cluster begin.

use hooklug_state::meta::{GroupPlacement, StoreRecord};
use hooklug_types::GroupId;

use super::choice::{Loads, best_store};
use super::learners;

/// Placements of all groups over the stores that form a cluster: voters in different zones as far as
/// there are so many, a learner on a further store, evenly spread.
#[must_use]
pub fn placements(stores: &[StoreRecord], voters: usize) -> Vec<(GroupId, GroupPlacement)> {
    let mut loads = Loads::default();
    GroupId::all().map(|group| (group, place(stores, voters, &mut loads))).collect()
}

fn place(stores: &[StoreRecord], voters: usize, loads: &mut Loads) -> GroupPlacement {
    let mut placement = GroupPlacement::default();
    let mut zones = Vec::new();
    for slot in 0..voters + learners(voters) {
        let is_voter = slot < voters;
        let taken = |store: &&StoreRecord| {
            !placement.voters.contains(&store.node) && !placement.learners.contains(&store.node)
        };
        let free = stores.iter().filter(taken);
        let Some(store) = best_store(free, &zones, loads, is_voter) else { break };
        zones.push(&store.zone);
        if is_voter {
            placement.voters.push(store.node);
            loads.add_voter(store.node);
        } else {
            placement.learners.push(store.node);
            loads.add_learner(store.node);
        }
    }
    placement
}
