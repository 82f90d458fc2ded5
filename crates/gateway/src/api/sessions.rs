//! Handlers of `/v1/programs/{program}/sessions/{session}`.

use std::sync::Arc;

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use hooklug_protocol::engine::{CloseSession, ToolResult};
use hooklug_state::shard::{Event, SessionRecord};
use hooklug_types::{EventSeq, ModelName, PrefixId, SessionKey, UnixMillis};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::admission::RequestContext;
use super::body::Fields;
use super::problem::{Code, Problem};
use super::request::ApiRequest;
use super::{sse, views};
use crate::client_stream::client_stream;
use crate::sessions::engines::EngineError;
use crate::sessions::follower::Follower;
use crate::sessions::opening::Opening;
use crate::sessions::owners::{MessageError, OwnerError};
use crate::shared::Shared;

/// Maximum length of a tool result's call id, in bytes.
const MAX_CALL_NAME_BYTES: usize = 256;

pub(super) async fn read_session(
    shared: &Shared,
    key: &SessionKey,
) -> Result<SessionRecord, Problem> {
    let record = shared.shards.session(key, Shared::shard_deadline()).await?;
    record.ok_or_else(|| Problem::new(Code::NoSession, "no such session"))
}

pub(crate) async fn put(req: ApiRequest, mut fields: Fields) -> Result<Response, Problem> {
    let ApiRequest { shared, context, .. } = &req;
    let model: ModelName = fields.id("model")?;
    let prefix: Option<PrefixId> = fields.optional_id("prefix")?;
    fields.deny_unknown()?;
    let key = req.own_session().await?;
    let (_, route) = context.bundle.bundle.session_route(&model).ok_or_else(|| {
        Problem::field(Code::NoRoute, "model", format!("no route serves model {model}"))
    })?;
    let opening = Opening { key, service: route.service.clone(), prefix };
    let record = shared.owners.open(&opening, Shared::session_deadline()).await?;
    Ok(axum::Json(views::session(&record)).into_response())
}

pub(crate) async fn get(req: ApiRequest) -> Result<Response, Problem> {
    let shared = &req.shared;
    let key = req.own_session().await?;
    let record = read_session(shared, &key).await?;
    Ok(axum::Json(views::session(&record)).into_response())
}

pub(crate) async fn delete(req: ApiRequest) -> Result<Response, Problem> {
    let shared = &req.shared;
    let key = req.own_session().await?;
    let deadline = Shared::session_deadline();
    let closed = shared.owners.send(&key, deadline, |entry| {
        let location = entry.location(&key);
        let shared = shared.clone();
        async move {
            let wall_deadline = UnixMillis::now().plus(deadline - Instant::now());
            let message = CloseSession { location, deadline: wall_deadline };
            shared.owners.engines.call(&entry.owner, &message, deadline).await
        }
    });
    let record = match closed.await {
        Ok((_, record)) => record,
        Err(MessageError::Owner(OwnerError::Closed(_))) => read_session(shared, &key).await?,
        Err(error) => reread_closed(shared, &key, error).await?,
    };
    shared.owners.forget(&key);
    Ok(axum::Json(views::session(&record)).into_response())
}

/// Handles a failed close: if the session turns out to be closed, by a lost reply or an earlier
/// request, the close succeeded.
async fn reread_closed(
    shared: &Shared,
    key: &SessionKey,
    error: MessageError,
) -> Result<SessionRecord, Problem> {
    let problem = Problem::from(error);
    if problem.code != Code::SessionClosed && problem.code != Code::TryAgain {
        return Err(problem);
    }
    let record = read_session(shared, key).await?;
    if record.closed { Ok(record) } else { Err(problem) }
}

pub(crate) async fn tool_result(req: ApiRequest, mut fields: Fields) -> Result<Response, Problem> {
    let shared = &req.shared;
    let call: String = fields.required("call")?;
    let result: Value = fields.required_value("result")?;
    fields.deny_unknown()?;
    if call.is_empty() || call.len() > MAX_CALL_NAME_BYTES {
        let detail = format!("must have 1 to {MAX_CALL_NAME_BYTES} bytes");
        return Err(Problem::field(Code::BadId, "call", detail));
    }
    let key = req.own_session().await?;
    let deadline = Shared::session_deadline();
    let result = result.to_string();
    let sent = shared.owners.send(&key, deadline, |entry| {
        let message = ToolResult {
            location: entry.location(&key),
            call: call.clone(),
            result: result.clone(),
        };
        let shared = shared.clone();
        async move { shared.owners.engines.call(&entry.owner, &message, deadline).await }
    });
    let (_, seq): (_, EventSeq) = sent.await?;
    Ok(axum::Json(json!({"seq": seq.0})).into_response())
}

pub(crate) async fn events(req: ApiRequest, headers: HeaderMap) -> Result<Response, Problem> {
    let ApiRequest { shared, context, .. } = &req;
    let key = req.own_session().await?;
    match last_event_id(&headers)? {
        Some(last) => resume(shared, context, key, last).await,
        None => join(shared, context, key).await,
    }
}

async fn resume(
    shared: &Arc<Shared>,
    context: &RequestContext,
    key: SessionKey,
    last: EventSeq,
) -> Result<Response, Problem> {
    let record = read_session(shared, &key).await?;
    check_last_event_id(last, &record)?;
    if record.closed && last.next() >= record.next_seq {
        return Ok(StatusCode::NO_CONTENT.into_response());
    }
    let (sink, body) = client_stream(shared.abort_streams.clone(), context.guard.clone());
    let follower = Follower::new(shared.owners.clone(), key, None, last, sink);
    shared.spawn(follower.run(None));
    Ok(event_stream(body))
}

async fn join(
    shared: &Arc<Shared>,
    context: &RequestContext,
    key: SessionKey,
) -> Result<Response, Problem> {
    let joined = shared.owners.join(&key, Shared::session_deadline()).await;
    let (history, feed) = match joined {
        Ok((entry, history, feed)) => (history, Some((entry, feed))),
        Err(error) if error.is_closed() => (read_closed_history(shared, &key).await?, None),
        Err(error) => return Err(error.into()),
    };
    let is_contiguous = history.iter().zip(1..).all(|(event, seq)| event.seq == EventSeq(seq));
    if !is_contiguous {
        return Err(Problem::try_again(
            "the session's history is incomplete",
            super::refusals::RETRY_SOON,
        ));
    }
    let last = history.last().map_or(EventSeq(0), |event| event.seq);
    let (sink, body) = client_stream(shared.abort_streams.clone(), context.guard.clone());
    let first = sse::sync(&key.session, &history);
    let owners = shared.owners.clone();
    shared.spawn(async move {
        if sink.send(first).await.is_err() {
            return;
        }
        if feed.is_none() {
            return sink.finish();
        }
        Follower::new(owners, key, None, last, sink).run(feed).await;
    });
    Ok(event_stream(body))
}

/// Reads all events of a session without an owner.
async fn read_closed_history(shared: &Shared, key: &SessionKey) -> Result<Vec<Event>, Problem> {
    let deadline = Shared::shard_deadline();
    let mut history: Vec<Event> = Vec::new();
    loop {
        let last = history.last().map_or(EventSeq(0), |event| event.seq);
        let (events, more) = shared.shards.events(key, last, deadline).await?;
        history.extend(events);
        if !more {
            return Ok(history);
        }
    }
}

/// Parses the `Last-Event-ID` header, if present.
pub(super) fn last_event_id(headers: &HeaderMap) -> Result<Option<EventSeq>, Problem> {
    let Some(value) = headers.get("last-event-id") else { return Ok(None) };
    let seq = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let bad = || Problem::field(Code::BadField, "last-event-id", "must be the id of an event");
    Ok(Some(EventSeq(seq.ok_or_else(bad)?)))
}

/// Rejects the id of an event that does not exist yet.
pub(super) fn check_last_event_id(last: EventSeq, record: &SessionRecord) -> Result<(), Problem> {
    if last < record.next_seq {
        return Ok(());
    }
    let detail = format!("the next event is {}", record.next_seq);
    Err(Problem::field(Code::BadField, "last-event-id", detail))
}

/// Builds a response that streams events.
pub(super) fn event_stream(body: Body) -> Response {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Returns the code of an owner's refusal that is unrelated to ownership.
pub(super) fn engine_refusal_code(error: &MessageError) -> Option<Code> {
    match error {
        MessageError::Engine(EngineError::Refused(refusal)) => {
            Some(super::refusals::from_engine(refusal).code)
        }
        _ => None,
    }
}
