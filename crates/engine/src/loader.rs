//! Loads a session's record and history from its shard.

use hooklug_session::LoadedSession;
use hooklug_state::shard::{Event, SessionRecord, ShardAnswer, ShardQuery};
use hooklug_store::{StateAccess, Unavailable};
use hooklug_types::{EventSeq, GroupId, SessionKey, UnixMillis, shard_of};
use tokio::time::Instant;

/// Maximum number of events requested per query; the size limit of a reply applies too.
const MAX_PAGE_EVENTS: u32 = 2_000;

/// Why a session could not be loaded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// The shard did not reply.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
    /// The replies are inconsistent, most likely because the session changed in between.
    #[error("the session changed while it was loaded")]
    Inconsistent,
}

/// The shard that stores a session.
#[must_use]
pub fn group_of(key: &SessionKey) -> GroupId {
    shard_of(key.program.as_str())
}

/// Reads a session's record, if it exists.
///
/// # Errors
/// When the shard did not reply.
pub async fn read_record(
    state: &dyn StateAccess,
    key: &SessionKey,
    deadline: Instant,
) -> Result<Option<SessionRecord>, LoadError> {
    let query = ShardQuery::Session(key.clone());
    match state.query_shard(group_of(key), &query, deadline).await? {
        ShardAnswer::Session(record) => Ok(record),
        _ => Err(LoadError::Inconsistent),
    }
}

/// Loads the history of a session and the end time of its program.
///
/// # Errors
/// When the shard did not reply, or the session changed while it was loaded.
pub async fn load(
    state: &dyn StateAccess,
    record: SessionRecord,
    deadline: Instant,
) -> Result<LoadedSession, LoadError> {
    let group = group_of(&record.key);
    let program = ShardQuery::Program(record.key.program.clone());
    let ShardAnswer::Program(Some(program)) = state.query_shard(group, &program, deadline).await?
    else {
        return Err(LoadError::Inconsistent);
    };
    let history = read_events(state, &record, deadline).await?;
    let left = UnixMillis::now().until(program.end_time);
    let now = std::time::Instant::now();
    // An end time beyond the range of `Instant` is treated as no end.
    let program_end = now.checked_add(left).unwrap_or(now + FAR_FUTURE);
    Ok(LoadedSession { record, history, program_end })
}

/// Offset that stands for "never" where an instant is required: about 30 years.
const FAR_FUTURE: std::time::Duration = std::time::Duration::from_secs(1_000_000_000);

async fn read_events(
    state: &dyn StateAccess,
    record: &SessionRecord,
    deadline: Instant,
) -> Result<Vec<Event>, LoadError> {
    let group = group_of(&record.key);
    let mut history: Vec<Event> = Vec::new();
    loop {
        let after = history.last().map_or(EventSeq(0), |e| e.seq);
        let query = ShardQuery::Events { key: record.key.clone(), after, limit: MAX_PAGE_EVENTS };
        let ShardAnswer::Events { events, more } =
            state.query_shard(group, &query, deadline).await?
        else {
            return Err(LoadError::Inconsistent);
        };
        let got_some = !events.is_empty();
        history.extend(events);
        if !more {
            break;
        }
        if !got_some {
            return Err(LoadError::Inconsistent);
        }
    }
    let contiguous = history.iter().zip(1..).all(|(e, seq)| e.seq == EventSeq(seq));
    let next = EventSeq(history.len() as u64 + 1);
    if contiguous && next == record.next_seq { Ok(history) } else { Err(LoadError::Inconsistent) }
}
