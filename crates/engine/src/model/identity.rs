//! Who a back end says it is.

use std::fmt;

use hooklug_types::{EngineId, Incarnation, ServiceName};
use serde::Deserialize;

/// What a back end serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model server.
    Model,
    /// An application engine.
    Application,
}

/// Answer to `GET /identity`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BackendIdentity {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub engine: EngineId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its version.
    pub version: String,
    /// What it serves.
    pub kind: BackendKind,
}

impl fmt::Display for BackendIdentity {
    /// As in the headers `x-hooklug-expect` and `x-hooklug-engine`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.engine, self.incarnation)
    }
}

/// Answer to `GET /status`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct ServerStatus {
    /// Whether it takes work.
    pub ready: bool,
    /// Whether it is being replaced.
    pub draining: bool,
    /// Generations that it can run at once.
    pub slots: u32,
    /// Generations running now.
    pub running: u32,
}
