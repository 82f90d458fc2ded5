//! Application engines: connections that prove whose they are, answers that prove to be whole, and
//! the choice among engines (docs/BACKENDS.md).

pub mod answer;
pub mod balance;
pub mod exchange;
pub mod identity;
pub mod lookup;
pub mod pool;
mod state;
pub mod stats;
pub mod table;
pub mod wait_queue;

use std::net::SocketAddr;

use hooklug_protocol::control::ApplicationEngine;
use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion, ZoneName};

/// One run of one application engine. Connections are pooled by it, so that a reused address never
/// gets another engine's requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineRun {
    /// The engine.
    pub engine: EngineId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// An application engine that calls may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Which run of which engine.
    pub run: EngineRun,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

impl Target {
    /// The target that an engine of the view is.
    #[must_use]
    pub fn of(engine: &ApplicationEngine) -> Self {
        let run = EngineRun { engine: engine.engine.clone(), incarnation: engine.incarnation };
        Self {
            run,
            service: engine.service.clone(),
            version: engine.version.clone(),
            address: engine.address,
            zone: engine.zone.clone(),
        }
    }

    /// The identity as headers carry it: `service/engine/incarnation`.
    #[must_use]
    pub fn identity(&self) -> String {
        format!("{}/{}/{}", self.service, self.run.engine, self.run.incarnation)
    }
}
