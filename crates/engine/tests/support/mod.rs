//! Engines, model servers and in-memory state in one process.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the helpers")]

pub mod model_server;
pub mod stalled;

mod bundles;
mod running;
mod streams;
mod world;

use std::time::Duration;

use hooklug_types::{
    GroupId, ProgramId, ServiceName, ServiceVersion, SessionId, SessionKey, TurnId, shard_of,
};
use tokio::time::Instant;

pub use bundles::*;
pub use running::*;
pub use streams::*;
pub use world::*;

/// Timeout of the tests, long enough that a passing test never reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub fn service() -> ServiceName {
    ServiceName::new("advisor").unwrap()
}

pub fn version(name: &str) -> ServiceVersion {
    ServiceVersion::new(name).unwrap()
}

pub fn turn(name: &str) -> TurnId {
    TurnId::new(name).unwrap()
}

pub fn key(program: &str, session: &str) -> SessionKey {
    SessionKey {
        program: ProgramId::new(program).unwrap(),
        session: SessionId::new(session).unwrap(),
    }
}

pub fn group(key: &SessionKey) -> GroupId {
    shard_of(key.program.as_str())
}

pub fn test_deadline() -> Instant {
    Instant::now() + TEST_TIMEOUT
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(TEST_TIMEOUT, waiting).await.is_ok(), "timed out: {what}");
}
