//! Assigns a session to a new owner after the former owner's lease has ended (design document,
//! section 3).

use std::time::Duration;

use hooklug_protocol::engine::{EngineRefusal, TakeSession};
use hooklug_protocol::store::LeaseStatus;
use hooklug_state::shard::{SessionRecord, ShardRefusal};
use hooklug_types::{EngineIncarnation, SessionKey};
use tokio::time::{Instant, sleep};
use tracing::info;

use super::engines::EngineError;
use super::owner_table::OwnerEntry;
use super::owners::{OwnerError, Owners, unavailable};
use super::placement::{Candidate, choose};
use crate::backoff::Backoff;

/// Time one engine has to open or take over a session before another is tried.
pub(super) const PLACEMENT_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Margin added to a lease's remaining time, so that it has expired at the next check.
const LEASE_MARGIN: Duration = Duration::from_millis(20);

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Whether to wait for a lease that has not expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseWait {
    /// Wait until it expires: the owner has failed.
    UntilExpired,
    /// Do not wait: only a connection failed, and an owner with a valid lease is contacted again.
    Never,
}

/// Result of one takeover request to an engine.
enum TakeResult {
    /// This engine or another one owns the session.
    Owned(OwnerEntry),
    /// The engine refused; another one may accept.
    Refused,
    /// No engine can take over: the session is closed, missing or changing its owner.
    Failed(OwnerError),
}

impl Owners {
    /// Expires the recorded owner's lease, then has the session taken over. Returns the recorded
    /// owner if its lease was renewed and the view lists it.
    pub(super) async fn replace_owner(
        &self,
        record: &SessionRecord,
        entry: &OwnerEntry,
        lease_wait: LeaseWait,
        deadline: Instant,
    ) -> Result<OwnerEntry, OwnerError> {
        let mut owner_may_be_alive = lease_wait == LeaseWait::Never;
        loop {
            let left = match self.shards.expire_lease(&entry.owner, deadline).await? {
                LeaseStatus::Expired | LeaseStatus::Unknown => break,
                LeaseStatus::Held { left_ms } => Duration::from_millis(left_ms) + LEASE_MARGIN,
            };
            if owner_may_be_alive && self.is_listed(&entry.owner) {
                self.learn(record);
                return Ok(entry.clone());
            }
            if Instant::now() + left >= deadline {
                let detail =
                    format!("the lease of the former owner {} has not expired yet", entry.owner);
                return Err(OwnerError::Unavailable { detail, retry_after: left });
            }
            sleep(left).await;
            // A lease still held after its remaining time was renewed: the owner is alive.
            owner_may_be_alive = true;
        }
        self.take_over(record, deadline).await
    }

    /// Has a session without a live owner taken over by a selected engine.
    pub(super) async fn take_over(
        &self,
        record: &SessionRecord,
        deadline: Instant,
    ) -> Result<OwnerEntry, OwnerError> {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut tried: Vec<EngineIncarnation> = Vec::new();
        loop {
            let mut open = self.candidates(&record.service);
            // An incarnation that lost ownership never regains it, even if the view still lists it
            // and the prefix maps to it.
            open.retain(|c| !tried.contains(&c.engine) && record.owner.as_ref() != Some(&c.engine));
            let chosen = choose(&open, record.prefix.as_ref(), &self.zone, &mut rand::rng());
            match chosen {
                Some(candidate) => match self.request_takeover(record, &candidate, deadline).await?
                {
                    TakeResult::Owned(entry) => return Ok(entry),
                    TakeResult::Failed(error) => return Err(error),
                    TakeResult::Refused => tried.push(candidate.engine),
                },
                None => {
                    let wait = backoff.next_wait();
                    if Instant::now() + wait >= deadline {
                        return Err(unavailable("no engine is available to take over the session"));
                    }
                    sleep(wait).await;
                    tried.clear();
                }
            }
        }
    }

    async fn request_takeover(
        &self,
        record: &SessionRecord,
        candidate: &Candidate,
        deadline: Instant,
    ) -> Result<TakeResult, OwnerError> {
        let request = TakeSession {
            key: record.key.clone(),
            engine: candidate.engine.clone(),
            expected_epoch: record.epoch,
        };
        let try_until = deadline.min(Instant::now() + PLACEMENT_ATTEMPT_TIMEOUT);
        let taken = self.engines.call(&candidate.engine, &request, try_until).await;
        match taken {
            Ok(record) => {
                info!(session = %record.key, engine = %candidate.engine, epoch = %record.epoch, "session taken over");
                metrics::counter!("hooklug_gateway_takeovers_total").increment(1);
                Ok(self.owned(&record))
            }
            Err(EngineError::Refused(refusal)) => {
                self.handle_refusal(record, refusal, deadline).await
            }
            // The engine may have processed the message: only the record shows the result.
            Err(EngineError::Lost(_)) => self.reread(&record.key, record, deadline).await,
            Err(EngineError::Unreachable(_)) => Ok(TakeResult::Refused),
        }
    }

    async fn handle_refusal(
        &self,
        record: &SessionRecord,
        refusal: EngineRefusal,
        deadline: Instant,
    ) -> Result<TakeResult, OwnerError> {
        match refusal {
            EngineRefusal::Shard(ShardRefusal::SessionClosed) => {
                self.forget(&record.key);
                Ok(TakeResult::Failed(OwnerError::Closed(Box::new(record.clone()))))
            }
            EngineRefusal::Shard(ShardRefusal::NoSession) => {
                Ok(TakeResult::Failed(OwnerError::NoSession))
            }
            EngineRefusal::Shard(ShardRefusal::StaleEpoch { .. })
            | EngineRefusal::NotOwner { .. } => self.reread(&record.key, record, deadline).await,
            _ => Ok(TakeResult::Refused),
        }
    }

    /// Reads the record again; another engine may own the session under a newer epoch.
    async fn reread(
        &self,
        key: &SessionKey,
        before: &SessionRecord,
        deadline: Instant,
    ) -> Result<TakeResult, OwnerError> {
        let now = self.shards.session(key, deadline).await?.ok_or(OwnerError::NoSession)?;
        if now.closed {
            self.forget(key);
            return Ok(TakeResult::Failed(OwnerError::Closed(Box::new(now))));
        }
        if now.epoch == before.epoch {
            return Ok(TakeResult::Refused);
        }
        match OwnerEntry::of(&now) {
            Some(_) => Ok(self.owned(&now)),
            None => Ok(TakeResult::Failed(unavailable("the session is changing its owner"))),
        }
    }

    fn owned(&self, record: &SessionRecord) -> TakeResult {
        self.learn(record);
        match OwnerEntry::of(record) {
            Some(entry) => TakeResult::Owned(entry),
            None => TakeResult::Failed(unavailable("the session is changing its owner")),
        }
    }
}
