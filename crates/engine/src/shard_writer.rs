//! Batches the commands of sessions into appends to their shards (design document, section 7).
//!
//! Each shard has one append in flight; the next one carries all commands submitted in the
//! meantime. There is no batching timer: an append has one command at low load and many at high load.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_session::{CommitId, Message};
use hooklug_state::shard::{ShardCommand, ShardReply};
use hooklug_store::StateAccess;
use hooklug_types::GroupId;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::debug;

use crate::session_task::Mailbox;

/// Longest wait for the reply to an append. After it the sessions resend their commands.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after an append without a reply.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of commands per append.
const MAX_BATCH_COMMANDS: usize = 512;

/// A session's command to be committed in the shard.
#[derive(Debug)]
pub struct Submission {
    /// The command to append.
    pub command: ShardCommand,
    /// The session's id of the commit.
    pub commit: CommitId,
    /// The session's mailbox, which receives the result.
    pub mailbox: Mailbox,
}

/// The writers of all shards; each is started with the first command for its shard.
#[derive(Debug)]
pub struct ShardWriters {
    state: Arc<dyn StateAccess>,
    queues: Mutex<BTreeMap<GroupId, mpsc::UnboundedSender<Submission>>>,
}

impl ShardWriters {
    /// Creates the writers. Their tasks end when this value is dropped.
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>) -> Self {
        Self { state, queues: Mutex::default() }
    }

    /// Adds a command to the next append. The queue is bounded by the number of sessions, since each
    /// has one commit in flight.
    pub fn submit(&self, group: GroupId, submission: Submission) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(group).or_insert_with(|| {
            let (queue, submissions) = mpsc::unbounded_channel();
            tokio::spawn(run_writer(self.state.clone(), group, submissions));
            queue
        });
        // The writer ends only after its queue is dropped, so the send cannot fail.
        let _ = queue.send(submission);
    }
}

async fn run_writer(
    state: Arc<dyn StateAccess>,
    group: GroupId,
    mut submissions: mpsc::UnboundedReceiver<Submission>,
) {
    let mut batch = Vec::new();
    while submissions.recv_many(&mut batch, MAX_BATCH_COMMANDS).await > 0 {
        let submitted = std::mem::take(&mut batch);
        let (commands, waiting): (Vec<_>, Vec<_>) =
            submitted.into_iter().map(|s| (s.command, (s.commit, s.mailbox))).unzip();
        match append(state.as_ref(), group, commands).await {
            Some(replies) => {
                for ((commit, mailbox), reply) in waiting.into_iter().zip(replies) {
                    mailbox.send(Message::Committed { commit, reply });
                }
            }
            None => {
                for (commit, mailbox) in waiting {
                    mailbox.send(Message::CommitUncertain { commit });
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Appends the commands and returns one reply per command; `None` if the reply was lost or does not
/// match the commands.
async fn append(
    state: &dyn StateAccess,
    group: GroupId,
    mut commands: Vec<ShardCommand>,
) -> Option<Vec<ShardReply>> {
    let count = commands.len();
    metrics::histogram!("hooklug_append_commands").record(count as f64);
    let command = match commands.pop() {
        Some(only) if commands.is_empty() => only,
        Some(last) => {
            commands.push(last);
            ShardCommand::Batch(commands)
        }
        None => return Some(Vec::new()),
    };
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    match state.execute_shard(group, &command, deadline).await {
        Ok(ShardReply::Batch(replies)) if replies.len() == count => Some(replies),
        Ok(ShardReply::Batch(_)) => None,
        Ok(reply) => (count == 1).then(|| vec![reply]),
        Err(error) => {
            debug!(%error, "append to a shard failed");
            None
        }
    }
}
