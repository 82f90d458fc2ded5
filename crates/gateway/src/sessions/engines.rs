//! Messages to session-host engines, with what each answer tells of the engine itself.

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

/// How long an engine that could not be reached gets no new session from here (ours).
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// Why an engine did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// It is not listed, or no connection could be had: it has not seen the message.
    #[error("engine cannot be reached: {0}")]
    Unreachable(String),
    /// The connection or the answer was lost: it may have seen the message.
    #[error("the engine's answer was lost: {0}")]
    Lost(String),
    /// It refused.
    #[error(transparent)]
    Refused(#[from] EngineRefusal),
}

/// What an error says about the session's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerFault {
    /// The owner cannot be reached, runs anew, or lost its lease: its lease must be ended first.
    Gone,
    /// The connection broke: the owner may well live.
    Interrupted,
    /// The owner is another one, or none; the record, if the engine knew it.
    Moved(Option<Box<SessionRecord>>),
}

impl EngineError {
    /// What the error says about the owner; `None` when it has nothing to do with ownership.
    #[must_use]
    pub fn owner_fault(&self) -> Option<OwnerFault> {
        match self {
            Self::Unreachable(_) => Some(OwnerFault::Gone),
            Self::Lost(_) => Some(OwnerFault::Interrupted),
            Self::Refused(EngineRefusal::NotOwner { record }) => {
                Some(OwnerFault::Moved(record.clone()))
            }
            Self::Refused(EngineRefusal::HandedOver) => Some(OwnerFault::Moved(None)),
            Self::Refused(EngineRefusal::WrongIncarnation { .. } | EngineRefusal::LeaseLost) => {
                Some(OwnerFault::Gone)
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

/// The session-host engines.
#[derive(Debug)]
pub struct Engines {
    client: RpcClient,
    node: NodeHandle,
    /// Load by engine.
    pub load: LoadTable,
    suspects: Mutex<HashMap<EngineIncarnation, Instant>>,
}

impl Engines {
    /// Engines of a node's view.
    #[must_use]
    pub fn new(client: RpcClient, node: NodeHandle) -> Self {
        Self { client, node, load: LoadTable::default(), suspects: Mutex::default() }
    }

    /// Sends a message and waits for its reply until the deadline.
    ///
    /// # Errors
    /// [`EngineError`].
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
        let reply = reply.map_err(|error| self.failed(engine, error))?;
        self.heard(engine);
        self.load.report(engine, reply.load);
        reply.result.map_err(EngineError::Refused)
    }

    /// Opens a stream; the deadline is for the opening only.
    ///
    /// # Errors
    /// [`EngineError`].
    pub async fn open<R: StreamRequest>(
        &self,
        engine: &EngineIncarnation,
        request: &R,
        deadline: Instant,
    ) -> Result<ItemStream<R::Item>, EngineError> {
        let address = self.address(engine)?;
        let opened = self.client.open(address, request, deadline).await;
        opened.map_err(|error| self.failed(engine, error))
    }

    /// Notes that a message to an engine failed.
    pub fn failed(&self, engine: &EngineIncarnation, error: RpcError) -> EngineError {
        self.lock().insert(engine.clone(), Instant::now() + SUSPECT_TIME);
        error.into()
    }

    /// Whether an engine failed just now.
    #[must_use]
    pub fn is_suspect(&self, engine: &EngineIncarnation) -> bool {
        self.lock().get(engine).is_some_and(|until| Instant::now() < *until)
    }

    /// Forgets engines that the view no longer lists, so that the tables stay bounded.
    pub fn forget_unlisted(&self) {
        let view = self.node.view.borrow().clone();
        let now = Instant::now();
        self.lock().retain(|_, until| now < *until);
        self.load.retain(|engine| address_of(&view, engine).is_some());
    }

    fn heard(&self, engine: &EngineIncarnation) {
        self.lock().remove(engine);
    }

    fn address(&self, engine: &EngineIncarnation) -> Result<SocketAddr, EngineError> {
        let view = self.node.view.borrow().clone();
        address_of(&view, engine)
            .ok_or_else(|| EngineError::Unreachable(format!("{engine} is not listed")))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EngineIncarnation, Instant>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
