//! Client for reads and writes of the replicated state, used by all processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use hooklug_protocol::Request;
use hooklug_protocol::store::{
    Execute, ExpireLease, LeaseSubject, LeaseVerdict, Query, StoreFault,
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

use crate::{StateAccess, Unavailable};

/// Timeout of one attempt. Short, so that the client soon moves on from a frozen or unreachable leader.
const ATTEMPT_TIME: Duration = Duration::from_millis(700);
/// How long a store stays suspect after a failed call: other stores are preferred, and redirects to it
/// are not followed.
const SUSPECT_TIME: Duration = Duration::from_millis(1_000);
/// First and longest pause between attempts; up to half of each pause is random.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(160);
/// Number of consecutive redirects that are followed without a pause.
const FREE_REDIRECTIONS: u32 = 2;

/// Linearizable access to the groups of a cluster. Cheap to clone; clones share the cached leaders.
#[derive(Debug, Clone)]
pub struct StoreClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    client: RpcClient,
    stores: watch::Receiver<Vec<SocketAddr>>,
    learnt: Mutex<Learnt>,
}

/// Known leaders and suspect stores, learned from earlier attempts.
#[derive(Debug, Default)]
struct Learnt {
    leaders: HashMap<GroupId, SocketAddr>,
    suspects: HashMap<SocketAddr, Instant>,
}

impl Learnt {
    fn is_suspect(&self, store: SocketAddr, now: Instant) -> bool {
        self.suspects.get(&store).is_some_and(|until| now < *until)
    }

    fn suspect(&mut self, store: SocketAddr, now: Instant) {
        self.suspects.insert(store, now + SUSPECT_TIME);
        self.leaders.retain(|_, leader| *leader != store);
    }
}

/// What to do after an unsuccessful attempt. The text is the reason for the failure.
enum Next {
    /// Retry at the store that the reply named.
    Redirect(SocketAddr),
    /// Retry at another store after a pause.
    Other(String),
    /// Retry at the same store after a pause.
    Again(String),
    /// Fail the call, since a retry cannot succeed.
    GiveUp(String),
}

impl StoreClient {
    /// Creates a client that finds the group leaders through any of the listed stores. The list may
    /// change at any time.
    #[must_use]
    pub fn new(client: RpcClient, stores: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self { inner: Arc::new(Inner { client, stores, learnt: Mutex::default() }) }
    }

    fn learnt(&self) -> MutexGuard<'_, Learnt> {
        self.inner.learnt.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a group's leader, with retries, until it replies or the deadline passes.
    async fn call<R, T>(
        &self,
        group: GroupId,
        request: &R,
        deadline: Instant,
    ) -> Result<T, Unavailable>
    where
        R: Request<Reply = Result<T, StoreFault>>,
        T: Send,
    {
        let mut attempts = Attempts::new(group);
        loop {
            let Some(store) = self.choose(&mut attempts) else {
                attempts.pause(deadline, "no store is known".to_owned()).await?;
                continue;
            };
            let until = deadline.min(Instant::now() + ATTEMPT_TIME);
            let answer = self.inner.client.call(store, request, until).await;
            let next = match answer {
                Ok(Ok(value)) => {
                    self.learnt().leaders.insert(group, store);
                    return Ok(value);
                }
                Ok(Err(fault)) => self.after_fault(group, store, fault),
                Err(error) => self.after_error(store, &error),
            };
            match next {
                Next::Redirect(leader) if attempts.follow(leader) => {}
                Next::Redirect(leader) => {
                    attempts.pause(deadline, format!("{store} redirects to {leader}")).await?;
                }
                Next::Again(reason) => {
                    attempts.named = Some(store);
                    attempts.pause(deadline, reason).await?;
                }
                Next::Other(reason) => attempts.pause(deadline, reason).await?,
                Next::GiveUp(reason) => return Err(Unavailable { group, reason }),
            }
        }
    }

    /// Chooses the store for the next attempt: the one that the last reply named, the known leader, or
    /// the next of the list.
    fn choose(&self, attempts: &mut Attempts) -> Option<SocketAddr> {
        let now = Instant::now();
        let learnt = self.learnt();
        let known = attempts.named.take().or_else(|| learnt.leaders.get(&attempts.group).copied());
        if let Some(store) = known.filter(|store| !learnt.is_suspect(*store, now)) {
            return Some(store);
        }
        let stores = self.inner.stores.borrow();
        let start = attempts.take_turn();
        let mut turns = (0..stores.len()).map(|turn| stores[(start + turn) % stores.len()]);
        let sound = turns.clone().find(|store| !learnt.is_suspect(*store, now));
        sound.or_else(|| turns.next())
    }

    fn after_fault(&self, group: GroupId, store: SocketAddr, fault: StoreFault) -> Next {
        let reason = format!("{store}: {fault}");
        let mut learnt = self.learnt();
        learnt.leaders.remove(&group);
        match fault {
            StoreFault::NotLeader { leader: Some(leader) } if leader != store => {
                if learnt.is_suspect(leader, Instant::now()) {
                    return Next::Other(reason);
                }
                learnt.leaders.insert(group, leader);
                Next::Redirect(leader)
            }
            StoreFault::NoReplica { replicas } => {
                let others: Vec<_> = replicas.into_iter().filter(|r| *r != store).collect();
                if others.is_empty() {
                    return Next::Other(reason);
                }
                Next::Redirect(others[rand::rng().random_range(0..others.len())])
            }
            StoreFault::Busy => Next::Again(reason),
            StoreFault::Refused { .. } => Next::GiveUp(reason),
            StoreFault::NotLeader { .. }
            | StoreFault::Uncertain
            | StoreFault::DiskFailed { .. }
            | StoreFault::NotFormed => Next::Other(reason),
        }
    }

    fn after_error(&self, store: SocketAddr, error: &RpcError) -> Next {
        self.learnt().suspect(store, Instant::now());
        Next::Other(format!("{store}: {error}"))
    }

    async fn execute<C: serde::Serialize, T: DeserializeOwned>(
        &self,
        group: GroupId,
        command: &C,
        deadline: Instant,
    ) -> Result<T, Unavailable> {
        let request = Execute { group, command: encode(command).into() };
        let reply = self.call(group, &request, deadline).await?;
        decode_reply(group, &reply)
    }

    async fn query<Q: serde::Serialize, T: DeserializeOwned>(
        &self,
        group: GroupId,
        query: &Q,
        deadline: Instant,
    ) -> Result<T, Unavailable> {
        let request = Query { group, query: encode(query) };
        let answer = self.call(group, &request, deadline).await?;
        decode_reply(group, &answer)
    }
}

fn decode_reply<T: DeserializeOwned>(group: GroupId, bytes: &[u8]) -> Result<T, Unavailable> {
    decode("reply", bytes).map_err(|e| Unavailable { group, reason: e.to_string() })
}

/// Retry state of one call.
struct Attempts {
    group: GroupId,
    named: Option<SocketAddr>,
    turn: usize,
    pause: Duration,
    redirections: u32,
}

impl Attempts {
    fn new(group: GroupId) -> Self {
        let turn = usize::from(rand::rng().random::<u8>());
        Self { group, named: None, turn, pause: FIRST_PAUSE, redirections: 0 }
    }

    fn take_turn(&mut self) -> usize {
        self.turn += 1;
        self.turn
    }

    /// Selects the store that a redirect names for the next attempt. Returns whether to retry without a
    /// pause.
    fn follow(&mut self, store: SocketAddr) -> bool {
        self.named = Some(store);
        self.redirections += 1;
        self.redirections <= FREE_REDIRECTIONS
    }

    /// Waits before the next attempt, with exponential backoff and jitter. Fails if the deadline would
    /// pass during the pause.
    async fn pause(&mut self, deadline: Instant, reason: String) -> Result<(), Unavailable> {
        let share: f64 = rand::rng().random_range(0.5..1.0);
        let end = Instant::now() + self.pause.mul_f64(share);
        if end >= deadline {
            return Err(Unavailable { group: self.group, reason });
        }
        tokio::time::sleep_until(end).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        self.redirections = 0;
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
    ) -> Result<LeaseVerdict, Unavailable> {
        self.call(group, &ExpireLease { group, subject }, deadline).await
    }
}
