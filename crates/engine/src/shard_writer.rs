//! Appends to shards: one in flight a shard, the next carries all that has gathered since
//! (design section 7). No timer: one event an append at low load, large batches at high load.

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

/// Longest wait for one append's answer (ours). Its commands are then sent again by their sessions.
const COMMIT_TIME: Duration = Duration::from_secs(1);

/// Pause after an append without an answer (ours).
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Most commands of one append (ours).
const BATCH_COMMANDS: usize = 512;

/// A session's command on its way to the shard.
#[derive(Debug)]
pub struct Submission {
    /// The command.
    pub command: ShardCommand,
    /// The session's commit.
    pub commit: CommitId,
    /// Where the answer goes.
    pub mailbox: Mailbox,
}

/// The writers of all shards, started as they are needed.
#[derive(Debug)]
pub struct ShardWriters {
    state: Arc<dyn StateAccess>,
    queues: Mutex<BTreeMap<GroupId, mpsc::UnboundedSender<Submission>>>,
}

impl ShardWriters {
    /// Writers over some state; a writer ends when this value is dropped.
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>) -> Self {
        Self { state, queues: Mutex::default() }
    }

    /// Puts a command into the next append. The queue is bounded by its users: a session has one commit in flight.
    pub fn submit(&self, group: GroupId, submission: Submission) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(group).or_insert_with(|| {
            let (queue, submissions) = mpsc::unbounded_channel();
            tokio::spawn(write(self.state.clone(), group, submissions));
            queue
        });
        // The writer ends only after its queue was dropped.
        let _ = queue.send(submission);
    }
}

async fn write(
    state: Arc<dyn StateAccess>,
    group: GroupId,
    mut submissions: mpsc::UnboundedReceiver<Submission>,
) {
    let mut gathered = Vec::new();
    while submissions.recv_many(&mut gathered, BATCH_COMMANDS).await > 0 {
        let taken = std::mem::take(&mut gathered);
        let (commands, waiting): (Vec<_>, Vec<_>) =
            taken.into_iter().map(|s| (s.command, (s.commit, s.mailbox))).unzip();
        match append(state.as_ref(), group, commands).await {
            Some(replies) => {
                for ((commit, mailbox), reply) in waiting.into_iter().zip(replies) {
                    mailbox.tell(Message::Committed { commit, reply });
                }
            }
            None => {
                for (commit, mailbox) in waiting {
                    mailbox.tell(Message::CommitUncertain { commit });
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The replies, one a command; `None` when the answer was lost or does not fit.
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
    let deadline = Instant::now() + COMMIT_TIME;
    match state.execute_shard(group, &command, deadline).await {
        Ok(ShardReply::Batch(replies)) if replies.len() == count => Some(replies),
        Ok(ShardReply::Batch(_)) => None,
        Ok(reply) => (count == 1).then(|| vec![reply]),
        Err(error) => {
            debug!(%error, "append without an answer");
            None
        }
    }
}
