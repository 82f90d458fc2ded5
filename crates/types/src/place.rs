//! Who holds what: node roles, engine incarnations and the place of a session.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{EngineId, Incarnation, ProgramId, SessionEpoch, SessionId};

/// What a hooklug process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Takes callers' requests and routes them.
    Gateway,
    /// Hosts sessions beside a model server.
    Engine,
    /// Runs the controllers.
    Core,
    /// Keeps the replicated state on its disk.
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

/// One run of one session-host engine: the holder of a lease and the owner of sessions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// The engine's name.
    pub engine: EngineId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

impl fmt::Display for EngineIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.engine, self.incarnation)
    }
}

/// A session's full name: sessions are named inside their program.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey {
    /// The program, which is the shard key.
    pub program: ProgramId,
    /// The session inside it.
    pub session: SessionId,
}

impl fmt::Display for SessionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.program, self.session)
    }
}

/// Where a session lives, as its shard recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionPlace {
    /// Which session.
    pub key: SessionKey,
    /// Its owner.
    pub owner: EngineIncarnation,
    /// The epoch that the owner holds it under.
    pub epoch: SessionEpoch,
}
