//! Queries application engines for the result of a call whose response was lost (docs/BACKENDS.md).

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hooklug_types::{CallId, ProgramId};
use http::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::Instant;

use super::Target;
use super::answer::Answer;
use super::exchange::Dispatch;
use super::pool::Pool;

/// Maximum number of engines queried per call.
const MAX_ENGINES: usize = 16;

/// An engine's reply about a call. Only `done` determines the outcome.
#[derive(Debug, Deserialize)]
struct LookupReply {
    state: LookupState,
    status: Option<u16>,
    body: Option<Box<RawValue>>,
}

/// State of the call at that engine. `never` does not rule out that another engine ran it.
#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LookupState {
    Done,
    Running,
    Never,
}

/// Returns the response to a call, if one of the engines knows it.
pub async fn find_answer(
    pool: &Pool,
    targets: &[Arc<Target>],
    program: &ProgramId,
    call: &CallId,
    deadline: Instant,
) -> Option<Answer> {
    // Identifiers contain no characters that need escaping in a query; ':' is allowed there.
    let dispatch = Dispatch {
        method: Method::GET,
        path: format!("/calls?call={program}/{call}"),
        body: Bytes::new(),
        call: None,
    };
    let queries = targets.iter().take(MAX_ENGINES);
    let mut queries: FuturesUnordered<_> =
        queries.map(|target| pool.exchange(target, &dispatch, deadline)).collect();
    while let Some(result) = queries.next().await {
        if let Some(answer) = result.ok().and_then(|answer| final_answer(&answer)) {
            return Some(answer);
        }
    }
    None
}

fn final_answer(answer: &Answer) -> Option<Answer> {
    if answer.status != 200 {
        return None;
    }
    let reply: LookupReply = serde_json::from_slice(&answer.body).ok()?;
    let status = reply.status.filter(|s| matches!(s, 200..=299 | 400..=499))?;
    let body = reply.body.map_or_else(Bytes::new, |body| Bytes::from(body.get().to_owned()));
    (reply.state == LookupState::Done).then_some(Answer { status, body })
}
