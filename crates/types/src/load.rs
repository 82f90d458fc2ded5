//! Load that a session-host engine reports in its replies.

use serde::{Deserialize, Serialize};

use crate::BundleVersion;

/// Load of an engine; attached to every reply and never broadcast (design note: load is derived
/// from routed streams).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of turns that the engine can run concurrently.
    pub slots: u32,
    /// Number of running turns.
    pub running: u32,
    /// Number of turns waiting for a slot.
    pub queued: u32,
    /// Number of sessions that the engine owns.
    pub sessions: u32,
    /// Whether the engine is draining, that is, accepts no new sessions.
    pub draining: bool,
    /// Bundle version installed at the engine.
    pub bundle: BundleVersion,
}
