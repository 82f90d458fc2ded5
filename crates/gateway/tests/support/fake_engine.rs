//! A scripted session-host engine over real rpc. It keeps to the shard's rules, writes events before
//! it releases them, and misbehaves where the script says so.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hooklug_protocol::engine::{
    AbortTurn, CloseSession, EngineRefusal, EngineReply, Join, JoinItem, OpenSession, RunTurn,
    TakeSession, ToolResult, TurnItem,
};
use hooklug_rpc::{ItemSink, LocalIdentity, Router, RpcServer};
use hooklug_state::shard::{
    self as state, BeginTurn, Event, EventBody, FinishTurn, ShardAnswer, ShardCommand, ShardQuery,
    ShardReply, TurnRecord, TurnState,
};
use hooklug_store::MemoryState;
use hooklug_store::StateAccess;
use hooklug_types::*;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::{SECRET, address, id, loopback, soon};

/// What the engine does wrong, and what it saw.
#[derive(Debug, Default)]
pub struct Script {
    /// Refusals of the next messages of any kind.
    pub refusals: VecDeque<EngineRefusal>,
    /// Ends the next turn streams after so many events, though the turn goes on.
    pub cut_streams_after: VecDeque<usize>,
    /// Leaves out the event at this place of the next turn stream.
    pub skip_event: Option<usize>,
    /// Sends each event of turn streams twice.
    pub send_twice: bool,
    /// Does not end turns.
    pub hold_turns: bool,
    /// Ends turns as failed, without a token.
    pub fail_turns: bool,
    /// What load tells.
    pub draining: bool,
    /// Messages by name, in order.
    pub seen: Vec<&'static str>,
}

pub struct FakeEngine {
    pub me: EngineIncarnation,
    pub version: ServiceVersion,
    pub rpc: SocketAddr,
    pub script: Arc<Mutex<Script>>,
    /// Tokens that turns may produce; add permits to let them go on.
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
    /// An engine whose turns produce `tokens` one-token events each.
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
        let listener = RpcServer::bind(loopback()).await.expect("a port");
        let rpc = listener.local_addr().expect("an address");
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
        self.state.execute_shard(group, &command, soon()).await.expect("available");
    }

    /// Stops answering, like a killed process; its lease runs out.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    pub fn script(&self, change: impl FnOnce(&mut Script)) {
        change(&mut self.script.lock().expect("no panic under the lock"));
    }

    pub fn count(&self, message: &str) -> usize {
        let script = self.script.lock().expect("no panic under the lock");
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
            .stream::<RunTurn, _, _>(move |_, request, sink| {
                let host = f.clone();
                async move { host.run_turn(request, sink).await }
            })
            .stream::<Join, _, _>(move |_, request, sink| {
                let host = g.clone();
                async move { host.join(request, sink).await }
            })
    }

    fn load(&self) -> EngineLoad {
        let script = self.script.lock().expect("no panic under the lock");
        EngineLoad { slots: 4, draining: script.draining, ..EngineLoad::default() }
    }

    fn reply<T>(&self, result: Result<T, EngineRefusal>) -> EngineReply<T> {
        EngineReply { load: self.load(), result }
    }

    fn enter(&self, message: &'static str) -> Result<(), EngineRefusal> {
        let mut script = self.script.lock().expect("no panic under the lock");
        script.seen.push(message);
        script.refusals.pop_front().map_or(Ok(()), Err)
    }

    async fn execute(
        &self,
        program: &ProgramId,
        command: ShardCommand,
    ) -> Result<ShardReply, EngineRefusal> {
        let group = shard_of(program.as_str());
        match self.state.execute_shard(group, &command, soon()).await {
            Ok(ShardReply::Refused(refusal)) => Err(EngineRefusal::Ledger(refusal)),
            Ok(reply) => Ok(reply),
            Err(_) => Err(EngineRefusal::StoreUnavailable),
        }
    }

    async fn session(&self, key: &SessionKey) -> state::SessionRecord {
        let query = ShardQuery::Session(key.clone());
        let group = shard_of(key.program.as_str());
        match self.state.query_shard(group, &query, soon()).await {
            Ok(ShardAnswer::Session(Some(record))) => record,
            other => panic!("no session: {other:?}"),
        }
    }

    async fn events(&self, key: &SessionKey, after: EventSeq) -> Vec<Event> {
        let query = ShardQuery::Events { key: key.clone(), after, limit: 1000 };
        let group = shard_of(key.program.as_str());
        match self.state.query_shard(group, &query, soon()).await {
            Ok(ShardAnswer::Events { events, .. }) => events,
            other => panic!("no events: {other:?}"),
        }
    }

    async fn open(&self, request: OpenSession) -> EngineReply<state::SessionRecord> {
        if let Err(refusal) = self.enter("open") {
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
        if let Err(refusal) = self.enter("take") {
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
        if let Err(refusal) = self.enter("abort") {
            return self.reply(Err(refusal));
        }
        let key = request.place.key;
        let finish = self.finish(&key, request.place.epoch, &request.turn, EndReason::Aborted);
        let done = finish.await;
        self.reply(done)
    }

    async fn finish(
        &self,
        key: &SessionKey,
        epoch: SessionEpoch,
        turn: &TurnId,
        reason: EndReason,
    ) -> Result<TurnRecord, EngineRefusal> {
        let command = ShardCommand::FinishTurn(FinishTurn {
            key: key.clone(),
            epoch,
            turn: turn.clone(),
            reason,
        });
        match self.execute(&key.program, command).await? {
            ShardReply::Turn(grant) => Ok(grant.existing.expect("an ended turn")),
            other => panic!("unexpected {other:?}"),
        }
    }

    async fn tool_result(&self, request: ToolResult) -> EngineReply<EventSeq> {
        if let Err(refusal) = self.enter("tool_result") {
            return self.reply(Err(refusal));
        }
        let key = request.place.key;
        let record = self.session(&key).await;
        let body = EventBody::ToolResult { call: request.call, result: request.result };
        let done = self.append(&record, record.open_turn.clone(), body).await;
        self.reply(done.map(|()| record.next_seq))
    }

    async fn append(
        &self,
        record: &state::SessionRecord,
        turn: Option<TurnId>,
        body: EventBody,
    ) -> Result<(), EngineRefusal> {
        let command = ShardCommand::AppendEvents {
            key: record.key.clone(),
            epoch: record.epoch,
            turn,
            first_seq: record.next_seq,
            bodies: vec![body],
        };
        self.execute(&record.key.program, command).await.map(drop)
    }

    async fn close(&self, request: CloseSession) -> EngineReply<state::SessionRecord> {
        if let Err(refusal) = self.enter("close") {
            return self.reply(Err(refusal));
        }
        let key = request.place.key;
        let command = ShardCommand::CloseSession { key: key.clone(), epoch: request.place.epoch };
        let done = self.execute(&key.program, command).await;
        self.reply(done.map(session_of))
    }

    async fn run_turn(&self, request: RunTurn, sink: ItemSink<TurnItem>) {
        let refused = |refusal| TurnItem::Refused { refusal, load: self.load() };
        let begun = match self.enter("run_turn") {
            Ok(()) => self.begin(&request).await,
            Err(refusal) => Err(refusal),
        };
        let turn = match begun {
            Ok(turn) => turn,
            Err(refusal) => {
                let _ = sink.send(&refused(refusal)).await;
                return;
            }
        };
        let accepted = TurnItem::Accepted { turn: turn.clone(), load: self.load() };
        if sink.send(&accepted).await.is_err() {
            return;
        }
        if turn.state == TurnState::Open && turn.tokens.0 == 0 {
            let (host, request) = (self.clone(), request.clone());
            tokio::spawn(async move { host.generate(&request).await });
        }
        self.stream_turn(&request, &turn, &sink).await;
    }

    async fn begin(&self, request: &RunTurn) -> Result<TurnRecord, EngineRefusal> {
        let record = self.session(&request.place.key).await;
        if record.owner.as_ref() != Some(&self.me) {
            return Err(EngineRefusal::NotOwner { record: Some(Box::new(record)) });
        }
        let content = format!("{} {}", request.input, request.max_tokens);
        let command = ShardCommand::BeginTurn(BeginTurn {
            key: request.place.key.clone(),
            epoch: record.epoch,
            turn: request.turn.clone(),
            after: request.after.clone(),
            digest: Digest::of(content.as_bytes()),
            input: request.input.clone(),
            max_tokens: request.max_tokens,
        });
        match self.execute(&request.place.key.program, command).await? {
            ShardReply::Turn(grant) => Ok(grant.existing.unwrap_or(TurnRecord {
                turn: request.turn.clone(),
                after: request.after.clone(),
                digest: Digest::of(content.as_bytes()),
                started: grant.started,
                reserved: grant.reserved,
                tokens: TokenCount(0),
                state: TurnState::Open,
            })),
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Produces `max_tokens` tokens, one an event, then ends the turn.
    async fn generate(&self, request: &RunTurn) {
        let (hold, fail) = {
            let script = self.script.lock().expect("no panic under the lock");
            (script.hold_turns, script.fail_turns)
        };
        let key = &request.place.key;
        let count = if fail { 0 } else { request.max_tokens.0 };
        for place in 0..count {
            let Ok(permit) = self.tokens.acquire().await else { return };
            permit.forget();
            let record = self.session(key).await;
            let text = format!("{} ", place + 1);
            let body = EventBody::Tokens { text, count: TokenCount(1) };
            if self.append(&record, Some(request.turn.clone()), body).await.is_err() {
                return;
            }
        }
        if hold {
            return;
        }
        let reason = match fail {
            true => EndReason::Failed { code: FailureCode::BackendError },
            false => EndReason::Finished,
        };
        let _ = self.finish(key, self.session(key).await.epoch, &request.turn, reason).await;
    }

    async fn stream_turn(&self, request: &RunTurn, turn: &TurnRecord, sink: &ItemSink<TurnItem>) {
        let (cut, skip, twice) = {
            let mut script = self.script.lock().expect("no panic under the lock");
            (script.cut_streams_after.pop_front(), script.skip_event.take(), script.send_twice)
        };
        let mut last = EventSeq(turn.started.0.saturating_sub(1)).max(request.last_seen);
        let mut sent = 0;
        loop {
            for event in self.events(&request.place.key, last).await {
                last = event.seq;
                if event.turn.as_ref() != Some(&request.turn) {
                    continue;
                }
                if cut == Some(sent) {
                    return;
                }
                let ended = matches!(event.body, EventBody::TurnEnded { .. });
                let copies = if twice { 2 } else { 1 };
                for _ in 0..copies {
                    if skip == Some(sent) {
                        break;
                    }
                    if sink.send(&TurnItem::Event(event.clone())).await.is_err() {
                        return;
                    }
                }
                sent += 1;
                if ended {
                    return;
                }
            }
            if cut == Some(sent) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn join(&self, request: Join, sink: ItemSink<JoinItem>) {
        if let Err(refusal) = self.enter("join") {
            let _ = sink.send(&JoinItem::Refused(refusal)).await;
            return;
        }
        let key = request.place.key;
        let record = self.session(&key).await;
        if record.owner.as_ref() != Some(&self.me) {
            let refusal = EngineRefusal::NotOwner { record: Some(Box::new(record)) };
            let _ = sink.send(&JoinItem::Refused(refusal)).await;
            return;
        }
        let mut last = request.last_seen.unwrap_or_default();
        if request.last_seen.is_none() {
            let history = self.events(&key, EventSeq(0)).await;
            last = history.last().map_or(EventSeq(0), |event| event.seq);
            let sync = JoinItem::Sync { record: Box::new(record), history };
            if sink.send(&sync).await.is_err() {
                return;
            }
        }
        loop {
            for event in self.events(&key, last).await {
                last = event.seq;
                if sink.send(&JoinItem::Event(event)).await.is_err() {
                    return;
                }
            }
            tokio::select! {
                () = sink.closed() => return,
                () = tokio::time::sleep(Duration::from_millis(2)) => {}
            }
        }
    }
}

fn session_of(reply: ShardReply) -> state::SessionRecord {
    match reply {
        ShardReply::Session(record) => record,
        other => panic!("unexpected {other:?}"),
    }
}
