//! Which nodes were told of which bundle's record, so that a heartbeat's answer does not repeat it each second
//! while the node fetches the sections. Pure: time is passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_types::{BundleVersion, NodeId};

/// A node that has not installed a bundle is told of it again after so long: the answer may have been lost
/// (ours: with the heartbeat after the next, 2 s later).
pub const REPEAT_AFTER: Duration = Duration::from_millis(1_500);

/// Nodes remembered before those told long ago are dropped (ours): nodes may vanish while they install.
const MOST_REMEMBERED: usize = 4_096;

/// What each node that has not installed the newest bundle yet was told last.
#[derive(Debug, Default)]
pub struct RecordsTold {
    told: BTreeMap<NodeId, (BundleVersion, Instant)>,
}

impl RecordsTold {
    /// Whether to tell a node that has one version in force of a newer one; notes that it is told.
    pub fn is_due(
        &mut self,
        node: NodeId,
        installed: BundleVersion,
        newest: BundleVersion,
        now: Instant,
    ) -> bool {
        if newest <= installed {
            self.told.remove(&node);
            return false;
        }
        let lately = |(version, at): &(BundleVersion, Instant)| {
            *version == newest && now.saturating_duration_since(*at) < REPEAT_AFTER
        };
        if self.told.get(&node).is_some_and(lately) {
            return false;
        }
        let outdated =
            |(_, at): &(BundleVersion, Instant)| now.saturating_duration_since(*at) >= REPEAT_AFTER;
        if self.told.len() > MOST_REMEMBERED {
            self.told.retain(|_, told| !outdated(told));
        }
        self.told.insert(node, (newest, now));
        true
    }
}
