//! Who a stand-in is.

use std::fmt;

use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use serde::{Deserialize, Serialize};

/// What kind of back end it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model server.
    Model,
    /// An application engine.
    Application,
}

/// Answer to `GET /identity`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Service that it serves.
    pub service: ServiceName,
    /// Its name.
    pub engine: EngineId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// What it is.
    pub kind: BackendKind,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.service, self.engine, self.incarnation)
    }
}

/// Restarts a stand-in in place: connections break, caches empty, the incarnation is new. With another
/// service or engine the address is reused, with another version it is a release.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Restart {
    /// New service; `None` keeps it.
    pub service: Option<ServiceName>,
    /// New engine name; `None` keeps it.
    pub engine: Option<EngineId>,
    /// New version; `None` keeps it.
    pub version: Option<ServiceVersion>,
    /// How long the port is closed in between, in milliseconds.
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
