//! Identity check on each new connection (docs/BACKENDS.md).

use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use serde::Deserialize;

use super::Target;

/// Path of the identity endpoint.
pub const IDENTITY_PATH: &str = "/identity";

/// Maximum size of the identity response, in bytes.
pub const MAX_IDENTITY_BYTES: usize = 16 << 10;

/// Kind of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model server.
    Model,
    /// An application engine.
    Application,
}

/// Identity reported by a backend.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Identity {
    /// Its service.
    pub service: ServiceName,
    /// Its engine id.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its version.
    pub version: ServiceVersion,
    /// Its kind.
    pub kind: BackendKind,
}

impl Identity {
    /// Returns whether this is the expected engine.
    #[must_use]
    pub fn matches(&self, target: &Target) -> bool {
        self.kind == BackendKind::Application
            && self.service == target.service
            && self.engine == target.run.engine
            && self.incarnation == target.run.incarnation
            && self.version == target.version
    }
}
