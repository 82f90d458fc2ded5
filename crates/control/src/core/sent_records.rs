//! Tracks which bundle record was sent to which node, so that heartbeat replies don't repeat it
//! each second while the node fetches the sections. Pure: time is passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_types::{BundleVersion, NodeId};

/// Time after which a record is sent again to a node that has not installed the bundle, since the
/// reply may have been lost. In effect it is sent with the second heartbeat after, 2 s later.
pub const REPEAT_AFTER: Duration = Duration::from_millis(1_500);

/// Number of tracked nodes above which outdated entries are dropped, since nodes may disappear
/// while they install.
const MOST_REMEMBERED: usize = 4_096;

/// The record last sent to each node that has not installed the newest bundle yet.
#[derive(Debug, Default)]
pub struct RecordsTold {
    told: BTreeMap<NodeId, (BundleVersion, Instant)>,
}

impl RecordsTold {
    /// Returns whether to send the newest record to a node with the given installed version, and
    /// records it as sent.
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
