//! Client of session-host engines that tracks their load and recent failures.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hooklug_control::NodeHandle;
use hooklug_protocol::engine::{EngineRefusal, EngineReply};
use hooklug_protocol::{Request, StreamRequest};
use hooklug_rpc::{ItemStream, RpcClient, RpcError};
use hooklug_state::shard::SessionRecord;
use hooklug_types::EngineIncarnation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::load::LoadTable;
use super::placement::address_of;

/// How long an engine gets no new session from this gateway after a failed message.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// Why a message to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine is not listed or could not be connected to; it has not received the message.
    #[error("cannot reach the session's engine: {0}")]
    Unreachable(String),
    /// The connection or the reply was lost; the engine may have received the message.
    #[error("the engine's reply was lost: {0}")]
    Lost(String),
    /// The engine refused.
    #[error(transparent)]
    Refused(#[from] EngineRefusal),
}

/// What an error implies about the session's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerFault {
    /// The owner is unreachable, restarted or lost its lease; its lease must be expired first.
    Failed,
    /// The connection failed; the owner may still be alive.
    ConnectionLost,
    /// The session has another owner or none; holds the record if the engine knew it.
    Moved(Option<Box<SessionRecord>>),
}

impl EngineError {
    /// Returns what the error implies about the owner; `None` when it is unrelated to ownership.
    #[must_use]
    pub fn owner_fault(&self) -> Option<OwnerFault> {
        match self {
            Self::Unreachable(_) => Some(OwnerFault::Failed),
            Self::Lost(_) => Some(OwnerFault::ConnectionLost),
            Self::Refused(EngineRefusal::NotOwner { record }) => {
                Some(OwnerFault::Moved(record.clone()))
            }
            Self::Refused(EngineRefusal::HandedOver) => Some(OwnerFault::Moved(None)),
            Self::Refused(EngineRefusal::WrongIncarnation { .. } | EngineRefusal::LeaseLost) => {
                Some(OwnerFault::Failed)
            }
            Self::Refused(_) => None,
        }
    }
}

impl From<RpcError> for EngineError {
    fn from(error: RpcError) -> Self {
        match error {
            RpcError::NotSent(reason) => Self::Unreachable(reason),
            other => Self::Lost(other.to_string()),
        }
    }
}

/// Client of the session-host engines.
#[derive(Debug)]
pub struct EngineClient {
    client: RpcClient,
    node: NodeHandle,
    /// Load of each engine.
    pub load: LoadTable,
    suspects: Mutex<HashMap<EngineIncarnation, Instant>>,
}

impl EngineClient {
    /// Creates a client for the engines of a node's view.
    #[must_use]
    pub fn new(client: RpcClient, node: NodeHandle) -> Self {
        Self { client, node, load: LoadTable::default(), suspects: Mutex::default() }
    }

    /// Sends a message and waits for its reply until the deadline.
    ///
    /// # Errors
    /// [`EngineError`] when there is no successful reply.
    pub async fn call<R, T>(
        &self,
        engine: &EngineIncarnation,
        request: &R,
        deadline: Instant,
    ) -> Result<T, EngineError>
    where
        R: Request<Reply = EngineReply<T>>,
        T: Serialize + DeserializeOwned + Send + 'static,
    {
        let address = self.address(engine)?;
        let reply = self.client.call(address, request, deadline).await;
        let reply = reply.map_err(|error| self.mark_failed(engine, error))?;
        self.clear_suspect(engine);
        self.load.report(engine, reply.load);
        reply.result.map_err(EngineError::Refused)
    }

    /// Opens a stream; the deadline applies to opening it only.
    ///
    /// # Errors
    /// [`EngineError`] when there is no successful reply.
    pub async fn open<R: StreamRequest>(
        &self,
        engine: &EngineIncarnation,
        request: &R,
        deadline: Instant,
    ) -> Result<ItemStream<R::Item>, EngineError> {
        let address = self.address(engine)?;
        let opened = self.client.open(address, request, deadline).await;
        opened.map_err(|error| self.mark_failed(engine, error))
    }

    /// Records that a message to an engine failed.
    pub fn mark_failed(&self, engine: &EngineIncarnation, error: RpcError) -> EngineError {
        self.lock().insert(engine.clone(), Instant::now() + SUSPECT_TIME);
        error.into()
    }

    /// Returns whether an engine failed recently.
    #[must_use]
    pub fn is_suspect(&self, engine: &EngineIncarnation) -> bool {
        self.lock().get(engine).is_some_and(|until| Instant::now() < *until)
    }

    /// Removes engines that the view no longer lists, so that the tables stay bounded.
    pub fn forget_unlisted(&self) {
        let view = self.node.view.borrow().clone();
        let now = Instant::now();
        self.lock().retain(|_, until| now < *until);
        self.load.retain(|engine| address_of(&view, engine).is_some());
    }

    fn clear_suspect(&self, engine: &EngineIncarnation) {
        self.lock().remove(engine);
    }

    fn address(&self, engine: &EngineIncarnation) -> Result<SocketAddr, EngineError> {
        let view = self.node.view.borrow().clone();
        address_of(&view, engine)
            .ok_or_else(|| EngineError::Unreachable(format!("{engine} is not in the cluster view")))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EngineIncarnation, Instant>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
