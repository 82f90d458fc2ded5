//! Initial placement of the replicas of a new cluster.

use hooklug_state::meta::{GroupPlacement, StoreRecord};
use hooklug_types::GroupId;

use super::choice::{Loads, best_store};
use super::learners;

/// Returns the placements of all groups on the stores that form a cluster. Voters are in different
/// zones as far as there are enough zones, learners are on further stores, and the load is spread
/// evenly.
#[must_use]
pub fn placements(stores: &[StoreRecord], voters: usize) -> Vec<(GroupId, GroupPlacement)> {
    let mut loads = Loads::default();
    GroupId::all().map(|group| (group, place_group(stores, voters, &mut loads))).collect()
}

fn place_group(stores: &[StoreRecord], voters: usize, loads: &mut Loads) -> GroupPlacement {
    let mut placement = GroupPlacement::default();
    let mut zones = Vec::new();
    for slot in 0..voters + learners(voters) {
        let is_voter = slot < voters;
        let is_free = |store: &&StoreRecord| {
            !placement.voters.contains(&store.node) && !placement.learners.contains(&store.node)
        };
        let free = stores.iter().filter(is_free);
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
