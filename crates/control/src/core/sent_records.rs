//! Tracks which bundle record was sent to which node, so that heartbeat replies don't repeat it
//! each second while the node fetches the sections. Pure: time is passed in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_types::{BundleVersion, NodeId};

/// Time after which a record is sent again to a node that has not installed the bundle, since the
/// reply may have been lost. In effect it is sent with the second heartbeat after, 2 s later.
pub const RESEND_AFTER: Duration = Duration::from_millis(1_500);

/// Number of tracked nodes above which outdated entries are dropped, since nodes may disappear
/// while they install.
const MAX_TRACKED_NODES: usize = 4_096;

/// The record last sent to each node that has not installed the newest bundle yet.
#[derive(Debug, Default)]
pub struct SentRecords {
    sent: BTreeMap<NodeId, (BundleVersion, Instant)>,
}

impl SentRecords {
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
            self.sent.remove(&node);
            return false;
        }
        let sent_recently = |(version, at): &(BundleVersion, Instant)| {
            *version == newest && now.saturating_duration_since(*at) < RESEND_AFTER
        };
        if self.sent.get(&node).is_some_and(sent_recently) {
            return false;
        }
        let outdated =
            |(_, at): &(BundleVersion, Instant)| now.saturating_duration_since(*at) >= RESEND_AFTER;
        if self.sent.len() > MAX_TRACKED_NODES {
            self.sent.retain(|_, sent| !outdated(sent));
        }
        self.sent.insert(node, (newest, now));
        true
    }
}
