//! A fake session-host engine over real RPC. It follows the shard's rules, commits events before it
//! sends them, and misbehaves as its script says.

mod records;
mod turns;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hooklug_protocol::engine::{
    AbortTurn, CloseSession, EngineRefusal, EngineReply, Join, OpenSession, RunTurn, TakeSession,
    ToolResult,
};
use hooklug_rpc::{LocalIdentity, Router, RpcServer};
use hooklug_state::shard::{self as state, EventBody, ShardCommand, ShardReply, TurnRecord};
use hooklug_store::MemoryState;
use hooklug_store::StateAccess;
use hooklug_types::*;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::{SECRET, address, id, loopback, test_deadline};

/// Scripted misbehaviour of the engine, and a log of received messages.
#[derive(Debug, Default)]
pub struct Script {
    /// Refusals returned to the next messages of any kind.
    pub refusals: VecDeque<EngineRefusal>,
    /// Closes the next turn streams after this many events, while the turn continues.
    pub cut_streams_after: VecDeque<usize>,
    /// Omits the event at this index of the next turn stream.
    pub skip_event: Option<usize>,
    /// Sends each event of turn streams twice.
    pub send_twice: bool,
    /// Never ends turns.
    pub hold_turns: bool,
    /// Ends turns as failed without producing a token.
    pub fail_turns: bool,
    /// Draining flag in reported load.
    pub draining: bool,
    /// Names of received messages, in order.
    pub seen: Vec<&'static str>,
}

pub struct FakeEngine {
    pub me: EngineIncarnation,
    pub version: ServiceVersion,
    pub rpc: SocketAddr,
    pub script: Arc<Mutex<Script>>,
    /// Limits token generation: each token consumes one permit.
    pub tokens: Arc<Semaphore>,
    state: MemoryState,
    stop: CancellationToken,
}

#[derive(Clone)]
struct Host {
    me: EngineIncarnation,
    version: ServiceVersion,
    state: MemoryState,
    script: Arc<Mutex<Script>>,
    tokens: Arc<Semaphore>,
}

impl FakeEngine {
    /// Starts a fake engine and acquires its lease.
    pub async fn start(name: &str, version: &str, run: u64, state: &MemoryState) -> Self {
        let me = EngineIncarnation { engine: id(name), incarnation: Incarnation(run) };
        let script: Arc<Mutex<Script>> = Arc::default();
        let tokens = Arc::new(Semaphore::new(1_000_000));
        let host = Host {
            me: me.clone(),
            version: id(version),
            state: state.clone(),
            script: script.clone(),
            tokens: tokens.clone(),
        };
        let listener = RpcServer::bind(loopback()).await.expect("failed to bind a port");
        let rpc = listener.local_addr().expect("no local address");
        let identity = LocalIdentity::new(address(NodeRole::Engine, run, rpc, "z1"), SECRET);
        let stop = CancellationToken::new();
        let server = RpcServer::new(listener, identity, host.router());
        tokio::spawn(server.run(stop.clone()));
        let state = state.clone();
        let engine = Self { me, version: id(version), rpc, script, tokens, state, stop };
        engine.renew().await;
        engine
    }

    /// Renews the lease.
    pub async fn renew(&self) {
        let command = ShardCommand::RenewLease { holder: self.me.clone() };
        let group = shard_of(self.me.engine.as_str());
        self.state
            .execute_shard(group, &command, test_deadline())
            .await
            .expect("shard unavailable");
    }

    /// Stops replying, like a killed process; its lease expires.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.script.lock().expect("lock is poisoned"));
    }

    pub fn count(&self, message: &str) -> usize {
        let script = self.script.lock().expect("lock is poisoned");
        script.seen.iter().filter(|seen| **seen == message).count()
    }
}

impl Host {
    fn router(self) -> Router {
        let host = Arc::new(self);
        let (a, b, c, d) = (host.clone(), host.clone(), host.clone(), host.clone());
        let (e, f, g) = (host.clone(), host.clone(), host.clone());
        Router::default()
            .route::<OpenSession, _, _>(move |_, request| {
                let host = a.clone();
                async move { host.open(request).await }
            })
            .route::<TakeSession, _, _>(move |_, request| {
                let host = b.clone();
                async move { host.take(request).await }
            })
            .route::<AbortTurn, _, _>(move |_, request| {
                let host = c.clone();
                async move { host.abort(request).await }
            })
            .route::<ToolResult, _, _>(move |_, request| {
                let host = d.clone();
                async move { host.tool_result(request).await }
            })
            .route::<CloseSession, _, _>(move |_, request| {
                let host = e.clone();
                async move { host.close(request).await }
            })
            .route_stream::<RunTurn, _, _>(move |_, request, sink| {
                let host = f.clone();
                async move { host.run_turn(request, sink).await }
            })
            .route_stream::<Join, _, _>(move |_, request, sink| {
                let host = g.clone();
                async move { host.join(request, sink).await }
            })
    }

    fn load(&self) -> EngineLoad {
        let script = self.script.lock().expect("lock is poisoned");
        EngineLoad { slots: 4, draining: script.draining, ..EngineLoad::default() }
    }

    fn reply<T>(&self, result: Result<T, EngineRefusal>) -> EngineReply<T> {
        EngineReply { load: self.load(), result }
    }

    fn receive(&self, message: &'static str) -> Result<(), EngineRefusal> {
        let mut script = self.script.lock().expect("lock is poisoned");
        script.seen.push(message);
        script.refusals.pop_front().map_or(Ok(()), Err)
    }

    async fn open(&self, request: OpenSession) -> EngineReply<state::SessionRecord> {
        if let Err(refusal) = self.receive("open") {
            return self.reply(Err(refusal));
        }
        let command = ShardCommand::OpenSession(state::OpenSession {
            key: request.key.clone(),
            owner: self.me.clone(),
            service: request.service,
            version: self.version.clone(),
            prefix: request.prefix,
        });
        let done = self.execute(&request.key.program, command).await;
        self.reply(done.map(session_of))
    }

    async fn take(&self, request: TakeSession) -> EngineReply<state::SessionRecord> {
        if let Err(refusal) = self.receive("take") {
            return self.reply(Err(refusal));
        }
        let command = ShardCommand::TakeSession(state::TakeSession {
            key: request.key.clone(),
            expected_epoch: request.expected_epoch,
            new_owner: self.me.clone(),
            version: self.version.clone(),
        });
        let done = self.execute(&request.key.program, command).await;
        self.reply(done.map(session_of))
    }

    async fn abort(&self, request: AbortTurn) -> EngineReply<TurnRecord> {
        if let Err(refusal) = self.receive("abort") {
            return self.reply(Err(refusal));
        }
        let key = request.location.key;
        let finish = self.finish(&key, request.location.epoch, &request.turn, EndReason::Aborted);
        let done = finish.await;
        self.reply(done)
    }

    async fn tool_result(&self, request: ToolResult) -> EngineReply<EventSeq> {
        if let Err(refusal) = self.receive("tool_result") {
            return self.reply(Err(refusal));
        }
        let key = request.location.key;
        let record = self.session(&key).await;
        let body = EventBody::ToolResult { call: request.call, result: request.result };
        let done = self.append(&record, record.open_turn.clone(), body).await;
        self.reply(done.map(|()| record.next_seq))
    }

    async fn close(&self, request: CloseSession) -> EngineReply<state::SessionRecord> {
        if let Err(refusal) = self.receive("close") {
            return self.reply(Err(refusal));
        }
        let key = request.location.key;
        let command =
            ShardCommand::CloseSession { key: key.clone(), epoch: request.location.epoch };
        let done = self.execute(&key.program, command).await;
        self.reply(done.map(session_of))
    }
}

fn session_of(reply: ShardReply) -> state::SessionRecord {
    match reply {
        ShardReply::Session(record) => record,
        other => panic!("unexpected reply: {other:?}"),
    }
}
