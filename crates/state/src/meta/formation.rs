//! Formation of the cluster, which happens once and assigns the cluster id.

use hooklug_types::GroupId;

use super::command::{MetaRefusal, MetaReply};
use super::machine::{CommandResult, MetaMachine};
use super::record::{GroupPlacement, StoreRecord};

impl MetaMachine {
    /// Forms the cluster. Cluster id 0 means "not formed" and is refused.
    pub(super) fn form(
        &mut self,
        cluster: u64,
        mut stores: Vec<StoreRecord>,
        placements: Vec<(GroupId, GroupPlacement)>,
    ) -> CommandResult {
        let meta = &mut self.state.meta;
        if cluster == 0 {
            return Err(MetaRefusal::NotFormed);
        }
        if meta.cluster != 0 {
            return match meta.cluster == cluster {
                true => Ok(MetaReply::Done),
                false => Err(MetaRefusal::AlreadyFormed { cluster: meta.cluster }),
            };
        }
        stores.sort_by_key(|store| store.node);
        stores.dedup_by_key(|store| store.node);
        meta.cluster = cluster;
        meta.stores = stores;
        meta.placements = placements.into_iter().collect();
        Ok(MetaReply::Done)
    }
}
