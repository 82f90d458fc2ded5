//! Handlers that show open sessions and their owners, as read from the shards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Path, Query, State};
use futures::future::join_all;
use hooklug_state::shard::{SessionRecord, ShardAnswer, ShardQuery};
use hooklug_types::{GroupId, META_GROUP, ProgramId, SessionId, SessionKey, shard_of};
use serde::Deserialize;
use tokio::time::Instant;

use crate::AdminContext;
use crate::answers::{SessionAnswer, SessionsAnswer};
use crate::problem::Problem;

type AdminState = State<Arc<AdminContext>>;

/// Timeout for reading one shard.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Page size for reading a shard's sessions, and default limit of the list.
const PAGE_SESSIONS: u32 = 1_000;

/// Query parameters of the session list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListQuery {
    /// Maximum number of listed sessions; the counts by owner include all sessions.
    limit: Option<usize>,
    /// Engine whose sessions are listed; all engines if not given.
    owner: Option<String>,
}

pub(crate) async fn list(
    State(admin): AdminState,
    Query(query): Query<ListQuery>,
) -> Json<SessionsAnswer> {
    let groups: Vec<GroupId> = GroupId::all().filter(|g| *g != META_GROUP).collect();
    let read = join_all(groups.iter().map(|group| read_shard(&admin, *group))).await;
    let mut answer = SessionsAnswer {
        sessions: Vec::new(),
        by_owner: BTreeMap::new(),
        unread_groups: Vec::new(),
    };
    for (group, records) in groups.iter().zip(read) {
        match records {
            Some(records) => records.iter().for_each(|r| add_session(&mut answer, r, &query)),
            None => answer.unread_groups.push(group.to_string()),
        }
    }
    answer.sessions.truncate(query.limit.unwrap_or(PAGE_SESSIONS as usize));
    Json(answer)
}

fn add_session(answer: &mut SessionsAnswer, record: &SessionRecord, query: &ListQuery) {
    let owner = record.owner.as_ref().map_or("(none)", |o| o.engine.as_str());
    *answer.by_owner.entry(owner.to_owned()).or_default() += 1;
    if query.owner.as_ref().is_none_or(|requested| requested == owner) {
        answer.sessions.push(session_answer(record));
    }
}

/// Reads all open sessions of a shard, page by page; `None` if it cannot be read in time.
async fn read_shard(admin: &AdminContext, group: GroupId) -> Option<Vec<SessionRecord>> {
    let deadline = Instant::now() + READ_TIMEOUT;
    let mut all: Vec<SessionRecord> = Vec::new();
    loop {
        let after = all.last().map(|s| s.key.clone());
        let query = ShardQuery::OpenSessions { after, limit: PAGE_SESSIONS };
        let answer = admin.context.state.query_shard(group, &query, deadline).await.ok()?;
        let ShardAnswer::OpenSessions(mut page) = answer else { return None };
        if page.is_empty() {
            return Some(all);
        }
        all.append(&mut page);
    }
}

pub(crate) async fn show(
    State(admin): AdminState,
    Path((program, session)): Path<(String, String)>,
) -> Result<Json<SessionAnswer>, Problem> {
    let program =
        ProgramId::new(&program).map_err(|e| Problem::bad_field("program", e.to_string()))?;
    let session =
        SessionId::new(&session).map_err(|e| Problem::bad_field("session", e.to_string()))?;
    let group = shard_of(program.as_str());
    let query = ShardQuery::Session(SessionKey { program, session });
    let deadline = Instant::now() + READ_TIMEOUT;
    match admin.context.state.query_shard(group, &query, deadline).await? {
        ShardAnswer::Session(Some(record)) => Ok(Json(session_answer(&record))),
        _ => Err(Problem::not_found("no_session", "there is no such session")),
    }
}

fn session_answer(record: &SessionRecord) -> SessionAnswer {
    SessionAnswer {
        program: record.key.program.to_string(),
        session: record.key.session.to_string(),
        owner: record.owner.as_ref().map(|o| o.engine.clone()),
        incarnation: record.owner.as_ref().map(|o| o.incarnation),
        epoch: record.epoch,
        service: record.service.clone(),
        version: record.version.clone(),
        open_turn: record.open_turn.as_ref().map(ToString::to_string),
        head: record.head.as_ref().map(ToString::to_string),
        closed: record.closed,
    }
}
