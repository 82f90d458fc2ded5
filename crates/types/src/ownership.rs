//! Node roles, engine incarnations, session keys and session locations.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{EngineId, Incarnation, ProgramId, SessionEpoch, SessionId};

/// The role of a hooklug process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Accepts callers' requests and routes them.
    Gateway,
    /// Hosts sessions, next to a model server.
    Engine,
    /// Runs the controllers.
    Core,
    /// Stores the replicated state on its disk.
    Store,
}

impl fmt::Display for NodeRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gateway => "gateway",
            Self::Engine => "engine",
            Self::Core => "core",
            Self::Store => "store",
        })
    }
}

/// One run of a session-host engine process; it holds a lease and owns sessions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// The engine's name.
    pub engine: EngineId,
    /// The run of the engine's process.
    pub incarnation: Incarnation,
}

impl fmt::Display for EngineIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.engine, self.incarnation)
    }
}

/// The fully qualified id of a session: session ids are unique only within their program.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey {
    /// The program; its id is the shard key.
    pub program: ProgramId,
    /// The session within the program.
    pub session: SessionId,
}

impl fmt::Display for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.program, self.session)
    }
}

/// The owner and epoch of a session, as recorded in its shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionLocation {
    /// The session.
    pub key: SessionKey,
    /// The engine that owns the session.
    pub owner: EngineIncarnation,
    /// The epoch under which the owner holds the session.
    pub epoch: SessionEpoch,
}
