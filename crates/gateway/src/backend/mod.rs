//! Application engines: identity-checked connections, response validation and load balancing
//! (docs/BACKENDS.md).

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

/// One process run of an application engine. Connections are pooled by run, so that a reused
/// address never gets another engine's requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineRun {
    /// The engine.
    pub engine: EngineId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// An application engine that can receive calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The engine and its run.
    pub run: EngineRun,
    /// Service that it provides.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

impl Target {
    /// Creates the target for an engine of the cluster view.
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

    /// Returns the identity in header form: `service/engine/incarnation`.
    #[must_use]
    pub fn identity(&self) -> String {
        format!("{}/{}/{}", self.service, self.run.engine, self.run.incarnation)
    }
}
