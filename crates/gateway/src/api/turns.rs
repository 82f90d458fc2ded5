//! Handlers of `/v1/programs/{program}/sessions/{session}/turns`.

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use hooklug_bundle::{Bundle, Route, RouteMatch};
use hooklug_protocol::engine::AbortTurn;
use hooklug_state::shard::{TurnRecord, TurnState};
use hooklug_types::{EventSeq, RouteName, ServiceName, SessionKey, TokenCount, TurnId};
use http::{HeaderMap, StatusCode};
use tracing::{Instrument, info_span};

use super::body::Fields;
use super::problem::{Code, Problem};
use super::request::ApiRequest;
use super::sessions::{
    check_last_event_id, engine_refusal_code, event_stream, last_event_id, read_session,
};
use super::{refusals, views};
use crate::client_stream::client_stream;
use crate::sessions::follower::Follower;
use crate::sessions::turns::{TurnObserver, TurnRequest};
use crate::shared::Shared;

/// Parsed body of a turn.
struct TurnBody {
    turn: TurnId,
    after: Option<TurnId>,
    input: String,
    max_tokens: TokenCount,
}

fn parse(mut fields: Fields) -> Result<TurnBody, Problem> {
    let turn = fields.id("turn")?;
    let after = fields.optional_id("after")?;
    let input = fields.required("input")?;
    let max_tokens = TokenCount(fields.required("max_tokens")?);
    fields.deny_unknown()?;
    if max_tokens.0 == 0 {
        return Err(Problem::field(Code::BadField, "max_tokens", "must be at least 1"));
    }
    Ok(TurnBody { turn, after, input, max_tokens })
}

fn session_route<'a>(
    bundle: &'a Bundle,
    service: &ServiceName,
) -> Option<(&'a RouteName, &'a Route)> {
    let mut routes = bundle.routes.iter();
    routes.find(|(_, r)| r.service == *service && matches!(r.matches, RouteMatch::Session { .. }))
}

pub(crate) async fn post(
    req: ApiRequest,
    headers: HeaderMap,
    fields: Fields,
) -> Result<Response, Problem> {
    let ApiRequest { shared, context, received_at, .. } = &req;
    let TurnBody { turn, after, input, max_tokens } = parse(fields)?;
    let last_seen = last_event_id(&headers)?.unwrap_or_default();
    shared.check_store_reachable()?;
    let key = req.own_session().await?;
    let group = shared.own_program(&context.caller, &key.program).await?.group;
    let entry = shared.owners.resolve(&key, None, Shared::session_deadline()).await?;
    let (route_name, route) =
        session_route(&context.bundle.bundle, &entry.service).ok_or_else(|| {
            Problem::new(Code::NoRoute, format!("no session route for service {}", entry.service))
        })?;
    let deadline = *received_at + Duration::from_millis(route.deadline_ms);
    let request = TurnRequest {
        key: key.clone(),
        turn: turn.clone(),
        after,
        input,
        max_tokens,
        tenant: context.caller.tenant.clone(),
        group,
        urgent: route.urgent,
        last_seen,
    };
    let running = shared.owners.run_turn(&request, deadline).await?;
    if has_seen_end(&running.record, last_seen) {
        return Ok(StatusCode::NO_CONTENT.into_response());
    }
    let entry = running.entry;
    let span = info_span!("turn", program = %key.program, session = %key.session, turn = %turn,
        epoch = %entry.epoch, engine = %entry.owner);
    let observer = TurnObserver::new(
        shared.version_monitor.clone(),
        entry.service.clone(),
        entry.version.clone(),
        route_name.clone(),
        *received_at,
    );
    let after = seq_before(&running.record).max(last_seen);
    let (sink, body) = client_stream(shared.abort_streams.clone(), context.guard.clone());
    let follower = Follower::new(shared.owners.clone(), key, Some(turn), after, sink);
    let follower = follower.observed_by(observer);
    shared.spawn(follower.run(Some((entry, running.feed))).instrument(span));
    Ok(event_stream(body))
}

/// Returns whether the caller already has the turn's terminal event.
fn has_seen_end(record: &TurnRecord, last_seen: EventSeq) -> bool {
    matches!(&record.state, TurnState::Ended { last_seq, .. } if last_seen >= *last_seq)
}

/// Returns the sequence number before a turn's first event.
fn seq_before(record: &TurnRecord) -> EventSeq {
    EventSeq(record.started.0.saturating_sub(1))
}

async fn read_turn(
    shared: &Shared,
    key: &SessionKey,
    turn: &TurnId,
) -> Result<TurnRecord, Problem> {
    let record = shared.shards.turn(key, turn, Shared::shard_deadline()).await?;
    match record {
        Some(record) => Ok(record),
        None => {
            read_session(shared, key).await?;
            Err(Problem::new(Code::NoTurn, "no such turn"))
        }
    }
}

pub(crate) async fn get(req: ApiRequest) -> Result<Response, Problem> {
    let shared = &req.shared;
    let turn: TurnId = req.id("turn")?;
    let key = req.own_session().await?;
    let record = read_turn(shared, &key, &turn).await?;
    Ok(axum::Json(views::turn(&record)).into_response())
}

pub(crate) async fn events(req: ApiRequest, headers: HeaderMap) -> Result<Response, Problem> {
    let ApiRequest { shared, context, .. } = &req;
    let turn: TurnId = req.id("turn")?;
    let last = last_event_id(&headers)?.unwrap_or_default();
    let key = req.own_session().await?;
    let record = read_turn(shared, &key, &turn).await?;
    match &record.state {
        TurnState::Refused(refusal) => return Err(refusals::from_shard(refusal)),
        // The caller has the terminal event; "204 No Content" makes an event source stop
        // reconnecting.
        TurnState::Ended { last_seq, .. } if last == *last_seq => {
            return Ok(StatusCode::NO_CONTENT.into_response());
        }
        TurnState::Ended { last_seq, .. } if last > *last_seq => {
            let detail = format!("the turn's last event is {last_seq}");
            return Err(Problem::field(Code::BadField, "last-event-id", detail));
        }
        TurnState::Ended { .. } => {}
        TurnState::Open => check_last_event_id(last, &read_session(shared, &key).await?)?,
    }
    let span = info_span!("turn", program = %key.program, session = %key.session, turn = %turn);
    let after = seq_before(&record).max(last);
    let (sink, body) = client_stream(shared.abort_streams.clone(), context.guard.clone());
    let follower = Follower::new(shared.owners.clone(), key, Some(turn), after, sink);
    shared.spawn(follower.run(None).instrument(span));
    Ok(event_stream(body))
}

pub(crate) async fn abort(req: ApiRequest) -> Result<Response, Problem> {
    let shared = &req.shared;
    let turn: TurnId = req.id("turn")?;
    let key = req.own_session().await?;
    let record = read_turn(shared, &key, &turn).await?;
    if record.state != TurnState::Open {
        return Ok(axum::Json(views::turn(&record)).into_response());
    }
    let deadline = Shared::session_deadline();
    let sent = shared.owners.send(&key, deadline, |entry| {
        let message = AbortTurn { location: entry.location(&key), turn: turn.clone() };
        let shared = shared.clone();
        async move { shared.owners.engines.call(&entry.owner, &message, deadline).await }
    });
    let record = match sent.await {
        Ok((_, record)) => record,
        // The turn ended before the abort arrived.
        Err(error) if error.is_closed() || engine_refusal_code(&error) == Some(Code::NoTurn) => {
            read_turn(shared, &key, &turn).await?
        }
        Err(error) => return Err(error.into()),
    };
    Ok(axum::Json(views::turn(&record)).into_response())
}
