//! Asks application engines what became of a call whose answer was lost (docs/BACKENDS.md).

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

/// Engines asked about one call at most (ours).
const MOST_ENGINES: usize = 16;

/// An engine's word on a call. Only `done` settles anything.
#[derive(Debug, Deserialize)]
struct Found {
    state: FoundState,
    status: Option<u16>,
    body: Option<Box<RawValue>>,
}

/// How the call stands at that engine; `never` there does not show that no other engine ran it.
#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FoundState {
    Done,
    Running,
    Never,
}

/// The answer that an engine gave to a call, if one of them knows it.
pub async fn find_answer(
    pool: &Pool,
    targets: &[Arc<Target>],
    program: &ProgramId,
    call: &CallId,
    deadline: Instant,
) -> Option<Answer> {
    // Identifiers hold no characters that a query would need escaped, but for ':', which it allows.
    let dispatch = Dispatch {
        method: Method::GET,
        path: format!("/calls?call={program}/{call}"),
        body: Bytes::new(),
        call: None,
    };
    let asked = targets.iter().take(MOST_ENGINES);
    let mut asked: FuturesUnordered<_> =
        asked.map(|target| pool.exchange(target, &dispatch, deadline)).collect();
    while let Some(answered) = asked.next().await {
        if let Some(answer) = answered.ok().and_then(|answer| settled(&answer)) {
            return Some(answer);
        }
    }
    None
}

fn settled(answer: &Answer) -> Option<Answer> {
    if answer.status != 200 {
        return None;
    }
    let found: Found = serde_json::from_slice(&answer.body).ok()?;
    let status = found.status.filter(|s| matches!(s, 200..=299 | 400..=499))?;
    let body = found.body.map_or_else(Bytes::new, |body| Bytes::from(body.get().to_owned()));
    (found.state == FoundState::Done).then_some(Answer { status, body })
}
