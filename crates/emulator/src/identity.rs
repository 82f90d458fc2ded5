//! Identity of a fake backend and its change on a restart.

use std::fmt;

use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use serde::{Deserialize, Serialize};

/// Kind of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model server.
    Model,
    /// An application engine.
    Application,
}

/// Response body of `GET /identity`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the service.
    pub service: ServiceName,
    /// Id of the engine.
    pub engine: EngineId,
    /// Incarnation of the process, new after each restart.
    pub incarnation: Incarnation,
    /// Version of the service.
    pub version: ServiceVersion,
    /// Kind of the backend.
    pub kind: BackendKind,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.engine, self.incarnation)
    }
}

/// Request to restart a fake backend in place: it closes its connections, clears its caches and
/// gets a new incarnation. Another service or engine simulates an address that is reused, another
/// version a release.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Restart {
    /// New service; `None` keeps the current one.
    pub service: Option<ServiceName>,
    /// New engine id; `None` keeps the current one.
    pub engine: Option<EngineId>,
    /// New version; `None` keeps the current one.
    pub version: Option<ServiceVersion>,
    /// Time for which the port is closed, in milliseconds.
    pub down_ms: u64,
}

impl Identity {
    /// The identity after a restart.
    #[must_use]
    pub fn restarted(&self, restart: &Restart) -> Self {
        Self {
            service: restart.service.clone().unwrap_or_else(|| self.service.clone()),
            engine: restart.engine.clone().unwrap_or_else(|| self.engine.clone()),
            version: restart.version.clone().unwrap_or_else(|| self.version.clone()),
            incarnation: Incarnation::at_start().max(self.incarnation.next()),
            kind: self.kind,
        }
    }
}
