//! Load that a session-host engine tells on its replies.

use serde::{Deserialize, Serialize};

use crate::BundleVersion;

/// An engine's load; travels on every reply, never by broadcast (design note: load is derived from routed streams).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Turns that the engine can run at once.
    pub slots: u32,
    /// Turns running now.
    pub running: u32,
    /// Turns waiting for a slot.
    pub queued: u32,
    /// Sessions held.
    pub sessions: u32,
    /// Whether the engine takes no new sessions.
    pub draining: bool,
    /// Bundle version in force at the engine.
    pub bundle: BundleVersion,
}
