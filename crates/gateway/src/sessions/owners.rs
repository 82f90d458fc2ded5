//! Resolves a session's owner: from the owner table, then from the shard's record, then by a
//! takeover.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_control::NodeHandle;
use hooklug_state::shard::SessionRecord;
use hooklug_types::{EngineIncarnation, ServiceName, ServiceVersion, SessionKey, ZoneName};
use tokio::time::{Instant, sleep_until};

use super::engines::{EngineClient, EngineError, OwnerFault};
use super::owner_table::{OWNER_TABLE_ENTRIES, OwnerEntry, OwnerTable};
use super::placement::{Candidate, EngineInfo, candidates};
use super::takeover::LeaseWait;
use crate::api::problem::{Code, Problem};
use crate::api::refusals::{RETRY_SOON, RETRY_STORE};
use crate::shards::{ShardError, Shards};
use crate::single_flight::SingleFlight;
use crate::versions::StoppedVersions;

/// Wait before the record of a session that is being handed over is read again.
const HAND_OVER_WAIT: Duration = Duration::from_millis(20);

/// Why no owner is available for a session.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OwnerError {
    /// The session does not exist.
    #[error("no such session")]
    NoSession,
    /// The session is closed.
    #[error("the session is closed")]
    Closed(Box<SessionRecord>),
    /// Its shard returned no usable reply.
    #[error(transparent)]
    Shard(#[from] ShardError),
    /// The former owner's lease has not expired, or no engine accepted the session.
    #[error("{detail}")]
    Unavailable {
        /// The reason.
        detail: String,
        /// Delay after which to retry.
        retry_after: Duration,
    },
}

impl From<OwnerError> for Problem {
    fn from(error: OwnerError) -> Self {
        let detail = error.to_string();
        match error {
            OwnerError::NoSession => Problem::new(Code::NoSession, detail),
            OwnerError::Closed(_) => Problem::new(Code::SessionClosed, detail),
            OwnerError::Shard(_) => Problem::try_again(detail, RETRY_STORE),
            OwnerError::Unavailable { retry_after, .. } => Problem::try_again(detail, retry_after),
        }
    }
}

/// A failed owner and the kind of failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedOwner {
    /// The owner entry that was used.
    pub entry: OwnerEntry,
    /// The kind of failure.
    pub fault: OwnerFault,
}

/// Resolves and caches the owners of sessions.
#[derive(Debug)]
pub struct Owners {
    table: Mutex<OwnerTable>,
    flights: SingleFlight<SessionKey>,
    pub(super) shards: Shards,
    /// Client of the session-host engines.
    pub engines: Arc<EngineClient>,
    pub(super) node: NodeHandle,
    pub(super) zone: ZoneName,
    pub(super) stopped: StoppedVersions,
}

impl Owners {
    /// Creates a resolver for a node.
    #[must_use]
    pub fn new(
        shards: Shards,
        engines: Arc<EngineClient>,
        node: NodeHandle,
        zone: ZoneName,
        stopped: StoppedVersions,
    ) -> Self {
        let table = Mutex::new(OwnerTable::new(OWNER_TABLE_ENTRIES));
        Self { table, flights: SingleFlight::default(), shards, engines, node, zone, stopped }
    }

    /// Updates the owner table from a record.
    pub fn learn(&self, record: &SessionRecord) {
        self.lock().learn(record);
    }

    /// Removes a session from the owner table.
    pub fn forget(&self, key: &SessionKey) {
        self.lock().forget(key);
    }

    /// Returns the owner. After a failure, returns another one if the failed one is unavailable.
    ///
    /// # Errors
    /// [`OwnerError`]; it states nothing about any turn.
    pub async fn resolve(
        &self,
        key: &SessionKey,
        failed: Option<FailedOwner>,
        deadline: Instant,
    ) -> Result<OwnerEntry, OwnerError> {
        if let Some(failed) = &failed {
            self.invalidate(key, failed);
        }
        if let Some(entry) = self.cached_owner(key) {
            return Ok(entry);
        }
        let flight = tokio::time::timeout_at(deadline, self.flights.acquire(key));
        let _flight = flight.await.map_err(|_| unavailable("the session is being taken over"))?;
        // The task that held the lock before may have found the owner.
        if let Some(entry) = self.cached_owner(key) {
            return Ok(entry);
        }
        self.resolve_from_shard(key, failed, deadline).await
    }

    async fn resolve_from_shard(
        &self,
        key: &SessionKey,
        failed: Option<FailedOwner>,
        deadline: Instant,
    ) -> Result<OwnerEntry, OwnerError> {
        if is_hand_over(failed.as_ref()) {
            sleep_until(deadline.min(Instant::now() + HAND_OVER_WAIT)).await;
        }
        let record = self.shards.session(key, deadline).await?.ok_or(OwnerError::NoSession)?;
        self.resolve_record(&record, failed.as_ref(), deadline).await
    }

    /// Returns the owner in a freshly read record, or has the session taken over.
    async fn resolve_record(
        &self,
        record: &SessionRecord,
        failed: Option<&FailedOwner>,
        deadline: Instant,
    ) -> Result<OwnerEntry, OwnerError> {
        if record.closed {
            self.forget(&record.key);
            return Err(OwnerError::Closed(Box::new(record.clone())));
        }
        let Some(entry) = OwnerEntry::of(record) else {
            return self.take_over(record, deadline).await;
        };
        let fault = failed.filter(|f| f.entry.owner == entry.owner).map(|f| &f.fault);
        if matches!(fault, Some(OwnerFault::Failed)) || !self.is_listed(&entry.owner) {
            return self.replace_owner(record, &entry, LeaseWait::UntilExpired, deadline).await;
        }
        let is_uncertain = matches!(fault, Some(OwnerFault::ConnectionLost))
            || self.engines.is_suspect(&entry.owner);
        if is_uncertain {
            return self.replace_owner(record, &entry, LeaseWait::Never, deadline).await;
        }
        self.learn(record);
        Ok(entry)
    }

    /// Returns the engines that are eligible for a session of a service.
    pub(super) fn candidates(&self, service: &ServiceName) -> Vec<Candidate> {
        let Some(bundle) = self.node.bundle.borrow().clone() else { return Vec::new() };
        let Some(entry) = bundle.bundle.services.get(service) else { return Vec::new() };
        let view = self.node.view.borrow().clone();
        candidates(&view, service, entry, self)
    }

    pub(super) fn is_listed(&self, engine: &EngineIncarnation) -> bool {
        super::placement::address_of(&self.node.view.borrow(), engine).is_some()
    }

    /// Returns the cached entry unless its owner is no longer listed or failed recently. In that
    /// case the record is read, because a frozen engine stays listed for seconds, and each message
    /// sent to it would wait for a connection in vain.
    fn cached_owner(&self, key: &SessionKey) -> Option<OwnerEntry> {
        let entry = self.lock().get(key)?;
        let is_usable = self.is_listed(&entry.owner) && !self.engines.is_suspect(&entry.owner);
        is_usable.then_some(entry)
    }

    fn invalidate(&self, key: &SessionKey, failed: &FailedOwner) {
        let mut table = self.lock();
        match &failed.fault {
            OwnerFault::Moved(Some(record)) => {
                table.forget_epoch(key, failed.entry.epoch);
                // A refusing engine that reports itself as owner has an outdated record.
                if record.owner.as_ref() != Some(&failed.entry.owner) {
                    table.learn(record);
                }
            }
            OwnerFault::Moved(None) | OwnerFault::Failed | OwnerFault::ConnectionLost => {
                table.forget_epoch(key, failed.entry.epoch);
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OwnerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_hand_over(failed: Option<&FailedOwner>) -> bool {
    failed.is_some_and(|f| matches!(f.fault, OwnerFault::Moved(None)))
}

/// Creates a transient error.
pub(super) fn unavailable(detail: &str) -> OwnerError {
    OwnerError::Unavailable { detail: detail.to_owned(), retry_after: RETRY_SOON }
}

impl EngineInfo for Owners {
    fn work(&self, engine: &EngineIncarnation) -> u32 {
        self.engines.load.work(engine)
    }

    fn is_excluded(&self, engine: &EngineIncarnation) -> bool {
        self.engines.load.is_draining(engine) || self.engines.is_suspect(engine)
    }

    fn is_stopped(&self, service: &ServiceName, version: &ServiceVersion) -> bool {
        self.stopped.contains(service, version)
    }
}

/// Why a message to a session's owner failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// No owner is available.
    #[error(transparent)]
    Owner(#[from] OwnerError),
    /// The owner refused, or the message failed.
    #[error(transparent)]
    Engine(#[from] EngineError),
}
