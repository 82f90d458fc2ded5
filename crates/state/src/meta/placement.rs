//! Desired placement of each group's replicas.

use hooklug_types::GroupId;

use super::command::{MetaRefusal, MetaReply};
use super::machine::{CommandResult, MetaMachine};
use super::record::GroupPlacement;

impl MetaMachine {
    /// Changes a group's placement, if it is still the one that the sender read.
    pub(super) fn set_placement(
        &mut self,
        group: GroupId,
        expected: &GroupPlacement,
        placement: GroupPlacement,
    ) -> CommandResult {
        let current = self.state.meta.placements.entry(group).or_default();
        if *current == placement {
            return Ok(MetaReply::Done);
        }
        if current != expected {
            return Err(MetaRefusal::PlacementChanged);
        }
        *current = placement;
        Ok(MetaReply::Done)
    }
}
