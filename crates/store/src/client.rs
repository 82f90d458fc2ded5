//! Client for reads and writes of the replicated state, used by all processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hooklug_protocol::Request;
use hooklug_protocol::store::{
    Execute, ExpireLease, LeaseStatus, LeaseSubject, Query, StoreRequestError,
};
use hooklug_rpc::{RpcClient, RpcError};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_state::{decode, encode};
use hooklug_types::{GroupId, META_GROUP};
use rand::RngExt;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::{Executed, StateAccess, Unavailable};

/// Timeout of one attempt. Short, so that the client soon moves on from a frozen or unreachable
/// leader.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a store stays suspect after a failed call: other stores are preferred, and redirects to
/// it are not followed.
const SUSPECT_DURATION: Duration = Duration::from_millis(1_000);
/// First and longest pause between attempts; up to half of each pause is random.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// Number of consecutive redirects that are followed without a pause.
const MAX_IMMEDIATE_REDIRECTS: u32 = 2;

/// Linearizable access to the groups of a cluster. Cheap to clone; clones share the cached leaders.
#[derive(Debug, Clone)]
pub struct StoreClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    client: RpcClient,
    stores: watch::Receiver<Vec<SocketAddr>>,
    routing: Mutex<RoutingCache>,
}

/// Known leaders and suspect stores, learned from earlier attempts.
#[derive(Debug, Default)]
struct RoutingCache {
    leaders: HashMap<GroupId, SocketAddr>,
    suspects: HashMap<SocketAddr, Instant>,
}

impl RoutingCache {
    fn is_suspect(&self, store: SocketAddr, now: Instant) -> bool {
        self.suspects.get(&store).is_some_and(|until| now < *until)
    }

    fn mark_suspect(&mut self, store: SocketAddr, now: Instant) {
        self.suspects.insert(store, now + SUSPECT_DURATION);
        self.leaders.retain(|_, leader| *leader != store);
    }
}

/// What to do after an unsuccessful attempt. The text is the reason for the failure.
enum RetryAction {
    /// Retry at the store that the reply named.
    Redirect(SocketAddr),
    /// Retry at another store after a pause.
    OtherStore(String),
    /// Retry at the same store after a pause.
    SameStore(String),
    /// Fail the call, since a retry cannot succeed.
    GiveUp(String),
}

impl StoreClient {
    /// Creates a client that finds the group leaders through any of the listed stores. The list may
    /// change at any time.
    #[must_use]
    pub fn new(client: RpcClient, stores: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self { inner: Arc::new(Inner { client, stores, routing: Mutex::default() }) }
    }

    fn routing(&self) -> MutexGuard<'_, RoutingCache> {
        self.inner.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a group's leader, with retries, until it replies or the deadline passes.
    async fn call<R, T>(
        &self,
        attempts: &mut Attempts,
        request: &R,
        deadline: Instant,
    ) -> Result<T, Unavailable>
    where
        R: Request<Reply = Result<T, StoreRequestError>>,
        T: Send,
    {
        let group = attempts.group;
        loop {
            let Some(store) = self.choose(attempts) else {
                attempts.back_off(deadline, "no store is known".to_owned()).await?;
                continue;
            };
            let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            let reply = self.inner.client.call(store, request, attempt_deadline).await;
            attempts.copy_may_follow |= may_take_effect_later(&reply);
            let action = match reply {
                Ok(Ok(value)) => {
                    self.routing().leaders.insert(group, store);
                    return Ok(value);
                }
                Ok(Err(error)) => self.action_after_request_error(group, store, error),
                Err(error) => self.action_after_error(store, &error),
            };
            match action {
                RetryAction::Redirect(leader) if attempts.follow_redirect(leader) => {}
                RetryAction::Redirect(leader) => {
                    attempts.back_off(deadline, format!("{store} redirects to {leader}")).await?;
                }
                RetryAction::SameStore(reason) => {
                    attempts.preferred = Some(store);
                    attempts.back_off(deadline, reason).await?;
                }
                RetryAction::OtherStore(reason) => attempts.back_off(deadline, reason).await?,
                RetryAction::GiveUp(reason) => return Err(Unavailable { group, reason }),
            }
        }
    }

    /// Chooses the store for the next attempt: the preferred one or the known leader, unless it is
    /// suspect; otherwise the next store of the list that is not suspect, or the next one if all
    /// are.
    fn choose(&self, attempts: &mut Attempts) -> Option<SocketAddr> {
        let now = Instant::now();
        let routing = self.routing();
        let known =
            attempts.preferred.take().or_else(|| routing.leaders.get(&attempts.group).copied());
        if let Some(store) = known.filter(|store| !routing.is_suspect(*store, now)) {
            return Some(store);
        }
        let stores = self.inner.stores.borrow();
        let start = attempts.next_index();
        let mut candidates =
            (0..stores.len()).map(|offset| stores[(start + offset) % stores.len()]);
        let healthy = candidates.clone().find(|store| !routing.is_suspect(*store, now));
        healthy.or_else(|| candidates.next())
    }

    fn action_after_request_error(
        &self,
        group: GroupId,
        store: SocketAddr,
        error: StoreRequestError,
    ) -> RetryAction {
        let reason = format!("{store}: {error}");
        let mut routing = self.routing();
        routing.leaders.remove(&group);
        match error {
            StoreRequestError::NotLeader { leader: Some(leader) } if leader != store => {
                if routing.is_suspect(leader, Instant::now()) {
                    return RetryAction::OtherStore(reason);
                }
                routing.leaders.insert(group, leader);
                RetryAction::Redirect(leader)
            }
            StoreRequestError::NoReplica { replicas } => {
                let others: Vec<_> = replicas.into_iter().filter(|r| *r != store).collect();
                if others.is_empty() {
                    return RetryAction::OtherStore(reason);
                }
                RetryAction::Redirect(others[rand::rng().random_range(0..others.len())])
            }
            StoreRequestError::Busy => RetryAction::SameStore(reason),
            StoreRequestError::Refused { .. } => RetryAction::GiveUp(reason),
            StoreRequestError::NotLeader { .. }
            | StoreRequestError::Uncertain
            | StoreRequestError::DiskFailed { .. }
            | StoreRequestError::NotFormed => RetryAction::OtherStore(reason),
        }
    }

    fn action_after_error(&self, store: SocketAddr, error: &RpcError) -> RetryAction {
        self.routing().mark_suspect(store, Instant::now());
        RetryAction::OtherStore(format!("{store}: {error}"))
    }

    async fn execute<C: serde::Serialize, T: DeserializeOwned>(
        &self,
        group: GroupId,
        command: &C,
        deadline: Instant,
    ) -> Result<T, Unavailable> {
        let reply = self.execute_attempts(&mut Attempts::new(group), command, deadline).await?;
        decode_reply(group, &reply)
    }

    async fn execute_attempts<C: serde::Serialize>(
        &self,
        attempts: &mut Attempts,
        command: &C,
        deadline: Instant,
    ) -> Result<Bytes, Unavailable> {
        let request = Execute { group: attempts.group, command: encode(command).into() };
        self.call(attempts, &request, deadline).await
    }

    async fn query<Q: serde::Serialize, T: DeserializeOwned>(
        &self,
        group: GroupId,
        query: &Q,
        deadline: Instant,
    ) -> Result<T, Unavailable> {
        let request = Query { group, query: encode(query) };
        let answer = self.call(&mut Attempts::new(group), &request, deadline).await?;
        decode_reply(group, &answer)
    }
}

/// Whether a request may still take effect after this result of an attempt.
fn may_take_effect_later<T>(result: &Result<Result<T, StoreRequestError>, RpcError>) -> bool {
    match result {
        Ok(reply) => matches!(
            reply,
            Err(StoreRequestError::Uncertain | StoreRequestError::DiskFailed { .. })
        ),
        Err(error) => !error.is_not_sent(),
    }
}

fn decode_reply<T: DeserializeOwned>(group: GroupId, bytes: &[u8]) -> Result<T, Unavailable> {
    decode("reply", bytes).map_err(|e| Unavailable { group, reason: e.to_string() })
}

/// Retry state of one call.
struct Attempts {
    group: GroupId,
    /// Store to call next, set after a redirect or a busy reply.
    preferred: Option<SocketAddr>,
    index: usize,
    backoff: Duration,
    redirects: u32,
    /// Whether the request of an earlier attempt may still take effect.
    copy_may_follow: bool,
}

impl Attempts {
    fn new(group: GroupId) -> Self {
        let index = usize::from(rand::rng().random::<u8>());
        Self {
            group,
            preferred: None,
            index,
            backoff: INITIAL_BACKOFF,
            redirects: 0,
            copy_may_follow: false,
        }
    }

    fn next_index(&mut self) -> usize {
        self.index += 1;
        self.index
    }

    /// Selects the store that a redirect names for the next attempt. Returns whether to retry
    /// without a pause.
    fn follow_redirect(&mut self, store: SocketAddr) -> bool {
        self.preferred = Some(store);
        self.redirects += 1;
        self.redirects <= MAX_IMMEDIATE_REDIRECTS
    }

    /// Waits before the next attempt, with exponential backoff and jitter. Fails if the deadline
    /// would pass during the pause.
    async fn back_off(&mut self, deadline: Instant, reason: String) -> Result<(), Unavailable> {
        let factor: f64 = rand::rng().random_range(0.5..1.0);
        let end = Instant::now() + self.backoff.mul_f64(factor);
        if end >= deadline {
            return Err(Unavailable { group: self.group, reason });
        }
        tokio::time::sleep_until(end).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.redirects = 0;
        Ok(())
    }
}

#[async_trait]
impl StateAccess for StoreClient {
    async fn execute_shard(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<ShardReply, Unavailable> {
        self.execute(group, command, deadline).await
    }

    async fn execute_shard_tracked(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<Executed, Unavailable> {
        let mut attempts = Attempts::new(group);
        let reply = self.execute_attempts(&mut attempts, command, deadline).await?;
        let reply = decode_reply(group, &reply)?;
        Ok(Executed { reply, copy_may_follow: attempts.copy_may_follow })
    }

    async fn query_shard(
        &self,
        group: GroupId,
        query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable> {
        self.query(group, query, deadline).await
    }

    async fn execute_meta(
        &self,
        command: &MetaCommand,
        deadline: Instant,
    ) -> Result<MetaReply, Unavailable> {
        self.execute(META_GROUP, command, deadline).await
    }

    async fn query_meta(
        &self,
        query: &MetaQuery,
        deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable> {
        self.query(META_GROUP, query, deadline).await
    }

    async fn expire_lease(
        &self,
        group: GroupId,
        subject: LeaseSubject,
        deadline: Instant,
    ) -> Result<LeaseStatus, Unavailable> {
        self.call(&mut Attempts::new(group), &ExpireLease { group, subject }, deadline).await
    }
}
