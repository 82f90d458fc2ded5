//! What the builds of a group's members support.

use std::fmt;

use hooklug_rpc::{Feature, LocalIdentity};
use hooklug_types::NodeId;

/// Tells what the members of a group support. While stores of two builds run, a leader must not
/// append commands that the stores of the other build apply differently.
pub trait MemberBuilds: fmt::Debug + Send + Sync {
    /// Whether a store is known to pass over the details of a clock step.
    fn lacks_step_details(&self, store: NodeId) -> bool;
}

/// All members run this build.
#[derive(Debug, Clone, Copy, Default)]
pub struct SameBuild;

impl MemberBuilds for SameBuild {
    fn lacks_step_details(&self, _: NodeId) -> bool {
        false
    }
}

/// What the members have told in the handshakes of their connections. A store that was not connected
/// yet is taken for one of this build: most often it is only stopped.
impl MemberBuilds for LocalIdentity {
    fn lacks_step_details(&self, store: NodeId) -> bool {
        self.peer_features.lacks(store, Feature::ClockStepDetails)
    }
}
