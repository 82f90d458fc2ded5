//! The identity and status documents of a backend.

use std::fmt;

use hooklug_types::{EngineId, Incarnation, ServiceName};
use serde::Deserialize;

/// Kind of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model server.
    Model,
    /// An application engine.
    Application,
}

/// Response body of `GET /identity`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BackendIdentity {
    /// Service that the backend belongs to.
    pub service: ServiceName,
    /// Engine id of the backend.
    pub engine: EngineId,
    /// Incarnation of the backend's process.
    pub incarnation: Incarnation,
    /// Software version of the backend.
    pub version: String,
    /// Kind of the backend.
    pub kind: BackendKind,
}

impl fmt::Display for BackendIdentity {
    /// Formats the identity as in the headers `x-hooklug-expect` and `x-hooklug-engine`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.engine, self.incarnation)
    }
}

/// Response body of `GET /status`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct ServerStatus {
    /// Whether the server accepts requests.
    pub ready: bool,
    /// Whether the server is draining before it is replaced.
    pub draining: bool,
    /// Maximum number of concurrent generations.
    pub slots: u32,
    /// Number of running generations.
    pub running: u32,
}
