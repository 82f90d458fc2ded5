//! The engine's RPC handlers.
//!
//! A caller that disconnects cancels its handler at any await point. Work that must complete, such
//! as opening and taking over a session, therefore runs in its own task. A stream disconnects its
//! client from the session when it is dropped.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::engine::{
    AbortTurn, CloseSession, EngineRefusal, EngineReply, Join, JoinItem, OpenSession, RunTurn,
    TakeSession, ToolResult, TurnItem,
};
use hooklug_rpc::{ItemSink, Router};
use hooklug_session::{Answer, ClientId, ClientItem, Message, SessionRefusal, TurnRequest};
use hooklug_state::shard::{
    SessionRecord, ShardAnswer, ShardQuery, ShardRefusal, TurnRecord, TurnState,
};
use hooklug_types::{Digest, EventSeq, SessionLocation, TokenCount, TurnId};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::loader::group_of;
use crate::ownership;
use crate::session_task::{Mailbox, loop_now};
use crate::shared::{STORE_TIMEOUT, Shared};

/// Attempts for a request whose session loop ends before it replies.
const LOOP_ATTEMPTS: usize = 3;

/// The router with all handlers of an engine.
#[must_use]
pub fn router(shared: &Arc<Shared>) -> Router {
    let open = with_shared(shared, |s, r: OpenSession| async move {
        to_reply(&s.clone(), run_detached(async move { ownership::open(&s, r).await }).await)
    });
    let take = with_shared(shared, |s, r: TakeSession| async move {
        to_reply(&s.clone(), run_detached(async move { ownership::take_over(&s, r).await }).await)
    });
    let abort =
        with_shared(
            shared,
            |s, r: AbortTurn| async move { to_reply(&s, abort_turn(&s, &r).await) },
        );
    let tool =
        with_shared(
            shared,
            |s, r: ToolResult| async move { to_reply(&s, tool_result(&s, &r).await) },
        );
    let close = with_shared(shared, |s, r: CloseSession| async move {
        to_reply(&s, close_session(&s, &r).await)
    });
    let (turns, joins) = (shared.clone(), shared.clone());
    Router::new()
        .route(move |_, request| open(request))
        .route(move |_, request| take(request))
        .route(move |_, request| abort(request))
        .route(move |_, request| tool(request))
        .route(move |_, request| close(request))
        .route_stream(move |_, request, sink| run_turn(turns.clone(), request, sink))
        .route_stream(move |_, request, sink| join(joins.clone(), request, sink))
}

fn with_shared<R, F, Fut>(shared: &Arc<Shared>, handler: F) -> impl Fn(R) -> Fut + use<R, F, Fut>
where
    F: Fn(Arc<Shared>, R) -> Fut,
{
    let shared = shared.clone();
    move |request| handler(shared.clone(), request)
}

fn to_reply<T>(shared: &Shared, result: Result<T, EngineRefusal>) -> EngineReply<T> {
    EngineReply { load: shared.load(), result }
}

/// Runs a future in its own task, so that it completes even when the caller is cancelled.
async fn run_detached<T: Send + 'static>(
    work: impl Future<Output = Result<T, EngineRefusal>> + Send + 'static,
) -> Result<T, EngineRefusal> {
    tokio::spawn(work).await.unwrap_or(Err(EngineRefusal::StoreUnavailable))
}

async fn find_mailbox(
    shared: &Arc<Shared>,
    location: &SessionLocation,
) -> Result<Mailbox, EngineRefusal> {
    let (shared, location) = (shared.clone(), location.clone());
    run_detached(async move { ownership::find_mailbox(&shared, &location).await }).await
}

/// Sends a request to a session's loop and waits for the reply. If the loop ends first, looks the
/// session up again, so that the refusal carries the shard's record.
async fn request_reply(
    shared: &Arc<Shared>,
    location: &SessionLocation,
    message: impl Fn(hooklug_session::ReplyId) -> Message,
) -> Result<Result<Answer, SessionRefusal>, EngineRefusal> {
    for _ in 0..LOOP_ATTEMPTS {
        let mailbox = find_mailbox(shared, location).await?;
        let reply = shared.new_reply();
        if let Some(answer) = mailbox.request(reply, message(reply)).await {
            return Ok(answer);
        }
    }
    Err(EngineRefusal::StoreUnavailable)
}

async fn abort_turn(
    shared: &Arc<Shared>,
    request: &AbortTurn,
) -> Result<TurnRecord, EngineRefusal> {
    let turn = &request.turn;
    let message = |reply| Message::Abort { reply, turn: turn.clone() };
    match request_reply(shared, &request.location, message).await? {
        Ok(Answer::Turn(record)) => Ok(record),
        Err(SessionRefusal::UnknownTurn) => read_ended_turn(shared, &request.location, turn).await,
        Ok(_) => Err(EngineRefusal::StoreUnavailable),
        Err(refusal) => Err(to_refusal(refusal)),
    }
}

/// Reads a turn that the session's loop does not know; only the shard can confirm that it does not
/// exist.
async fn read_ended_turn(
    shared: &Shared,
    location: &SessionLocation,
    turn: &TurnId,
) -> Result<TurnRecord, EngineRefusal> {
    let query = ShardQuery::Turn { key: location.key.clone(), turn: turn.clone() };
    let deadline = Instant::now() + STORE_TIMEOUT;
    match shared.state.query_shard(group_of(&location.key), &query, deadline).await {
        Ok(ShardAnswer::Turn(Some(record))) if record.state != TurnState::Open => Ok(record),
        Ok(ShardAnswer::Turn(None)) => Err(EngineRefusal::Shard(ShardRefusal::NoOpenTurn)),
        _ => Err(EngineRefusal::StoreUnavailable),
    }
}

async fn tool_result(
    shared: &Arc<Shared>,
    request: &ToolResult,
) -> Result<EventSeq, EngineRefusal> {
    let message = |reply| Message::ToolResult {
        reply,
        call: request.call.clone(),
        result: request.result.clone(),
    };
    match request_reply(shared, &request.location, message).await? {
        Ok(Answer::ToolResult(seq)) => Ok(seq),
        Ok(_) => Err(EngineRefusal::StoreUnavailable),
        Err(refusal) => Err(to_refusal(refusal)),
    }
}

async fn close_session(
    shared: &Arc<Shared>,
    request: &CloseSession,
) -> Result<SessionRecord, EngineRefusal> {
    match request_reply(shared, &request.location, |reply| Message::Close { reply }).await {
        Ok(Ok(Answer::Closed(record))) => Ok(*record),
        Ok(Ok(_)) => Err(EngineRefusal::StoreUnavailable),
        Ok(Err(refusal)) => Err(to_refusal(refusal)),
        // Closing is idempotent: the session may have been closed by an earlier request.
        Err(EngineRefusal::NotOwner { record: Some(record) }) if record.closed => Ok(*record),
        Err(refusal) => Err(refusal),
    }
}

/// A client connected to a session; disconnects when dropped.
struct ConnectedClient {
    mailbox: Mailbox,
    client: ClientId,
    items: mpsc::Receiver<ClientItem>,
}

impl Drop for ConnectedClient {
    fn drop(&mut self) {
        self.mailbox.send(Message::Leave { client: self.client });
    }
}

async fn connect(
    shared: &Arc<Shared>,
    location: &SessionLocation,
    message: impl Fn(ClientId) -> Message,
) -> Result<ConnectedClient, EngineRefusal> {
    for _ in 0..LOOP_ATTEMPTS {
        let mailbox = find_mailbox(shared, location).await?;
        let client = shared.new_client();
        if let Some(items) = mailbox.connect(client, message(client)) {
            return Ok(ConnectedClient { mailbox, client, items });
        }
    }
    Err(EngineRefusal::StoreUnavailable)
}

async fn run_turn(shared: Arc<Shared>, request: RunTurn, sink: ItemSink<TurnItem>) {
    let (location, last_seen) = (request.location.clone(), request.last_seen);
    let turn = turn_request(request);
    let message = |client| Message::RunTurn { client, request: turn.clone(), last_seen };
    let refused = |refusal| TurnItem::Refused { refusal, load: shared.load() };
    let mut connected = match connect(&shared, &location, message).await {
        Ok(connected) => connected,
        Err(refusal) => {
            // Sending fails only if the caller has disconnected.
            let _ = sink.send(&refused(refusal)).await;
            return;
        }
    };
    while let Some(item) = connected.items.recv().await {
        let items = match item {
            ClientItem::Accepted(turn) => vec![TurnItem::Accepted { turn, load: shared.load() }],
            ClientItem::Events(events) => events.into_iter().map(TurnItem::Event).collect(),
            ClientItem::Refused(refusal) => vec![refused(to_refusal(refusal))],
            ClientItem::Sync { .. } => Vec::new(),
        };
        for item in items {
            if sink.send(&item).await.is_err() {
                return;
            }
        }
    }
}

fn turn_request(request: RunTurn) -> TurnRequest {
    let digest = content_digest(&request.after, &request.input, request.max_tokens);
    TurnRequest {
        turn: request.turn,
        after: request.after,
        input: request.input,
        max_tokens: request.max_tokens,
        digest,
        tenant: request.tenant,
        group: request.group,
        urgent: request.urgent,
        deadline: loop_now() + Duration::from_millis(request.deadline_ms).min(MAX_TURN_TIME),
    }
}

/// Upper bound of a turn's duration, whatever the caller requests: one day.
const MAX_TURN_TIME: Duration = Duration::from_secs(86_400);

/// Digest of a turn's content; distinguishes a resend from a different turn with the same id.
#[must_use]
pub fn content_digest(after: &Option<TurnId>, input: &str, max_tokens: TokenCount) -> Digest {
    Digest::of(&hooklug_state::encode(&(after, input, max_tokens)))
}

async fn join(shared: Arc<Shared>, request: Join, sink: ItemSink<JoinItem>) {
    let last_seen = request.last_seen;
    let message = |client| Message::Join { client, last_seen };
    let mut connected = match connect(&shared, &request.location, message).await {
        Ok(connected) => connected,
        Err(refusal) => {
            // Sending fails only if the caller has disconnected.
            let _ = sink.send(&JoinItem::Refused(refusal)).await;
            return;
        }
    };
    loop {
        // An idle session sends nothing, so a disconnect would not show as a failed send.
        let item = tokio::select! {
            item = connected.items.recv() => item,
            () = sink.closed() => return,
        };
        let items = match item {
            None => return,
            Some(ClientItem::Sync { record, history }) => vec![JoinItem::Sync { record, history }],
            Some(ClientItem::Events(events)) => events.into_iter().map(JoinItem::Event).collect(),
            Some(ClientItem::Refused(refusal)) => vec![JoinItem::Refused(to_refusal(refusal))],
            Some(ClientItem::Accepted(_)) => Vec::new(),
        };
        for item in items {
            if sink.send(&item).await.is_err() {
                return;
            }
        }
    }
}

fn to_refusal(refusal: SessionRefusal) -> EngineRefusal {
    match refusal {
        SessionRefusal::Shard(refusal) => EngineRefusal::Shard(refusal),
        SessionRefusal::NotOwner { record } => EngineRefusal::NotOwner { record },
        SessionRefusal::LeaseLost => EngineRefusal::LeaseLost,
        SessionRefusal::HandedOver => EngineRefusal::HandedOver,
        SessionRefusal::Overloaded { retry_after } => EngineRefusal::Overloaded {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        },
        SessionRefusal::DeadlineExceeded => EngineRefusal::DeadlineExceeded,
        SessionRefusal::UnknownTurn | SessionRefusal::TryAgain => EngineRefusal::StoreUnavailable,
    }
}
