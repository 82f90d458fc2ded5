//! Ends of turns that wait to be recorded, and the tasks that record them: one for each shard, which
//! sends all that wait there as a few commands. A shard that returns after an outage thus receives one
//! request of a gateway at a time, not one for each turn.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_state::encode;
use hooklug_state::shard::ShardCommand;
use hooklug_store::{StateAccess, Unavailable};
use hooklug_types::{GroupId, ProgramId, shard_of};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;
use tracing::{debug, warn};

use crate::running_turns::RunningTurn;

/// Maximum number of ends in one command.
pub const MAX_ENDS_PER_COMMAND: usize = 256;

/// Longest time for one attempt, within which the access itself retries.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time after which an attempt is overtaken: the shard has replied to a request that was sent so much
/// later, so the attempt is taken for lost and made again.
const OVERTAKEN_AFTER: Duration = Duration::from_millis(200);

/// Limits of the waiting ends of a process. An end beyond them is not recorded, so its turn counts
/// with its maximum number of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingLimits {
    /// Maximum number of ends.
    pub ends: usize,
    /// Maximum size of their commands, in bytes.
    pub bytes: usize,
}

impl Default for WaitingLimits {
    fn default() -> Self {
        Self { ends: 10_000, bytes: 16 << 20 }
    }
}

/// The end of a turn whose request is over.
#[derive(Debug)]
pub struct WaitingEnd {
    /// The turn, which stays registered until its end is recorded.
    pub turn: RunningTurn,
    /// The idempotent command that ends or cancels the turn. A refusal of it is final.
    pub command: ShardCommand,
    /// Time after which the shard may have deleted the turn's program.
    pub give_up: Instant,
}

/// An end in a queue, with the size of its command.
#[derive(Debug)]
struct QueuedEnd {
    end: WaitingEnd,
    bytes: usize,
}

/// Ends that wait for one shard.
#[derive(Debug, Default)]
struct ShardQueue {
    ends: VecDeque<QueuedEnd>,
    /// Whether a task records them.
    is_served: bool,
    /// When the latest request to which the shard has replied was sent.
    newest_replied: watch::Sender<Option<Instant>>,
}

/// All waiting ends of a process. Cheap to clone; clones share the queues.
#[derive(Debug, Clone)]
pub struct WaitingEnds {
    state: Arc<dyn StateAccess>,
    tasks: TaskTracker,
    queues: Arc<Mutex<Queues>>,
}

impl WaitingEnds {
    /// Creates empty queues, which are served by tasks of the given tracker.
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>, tasks: TaskTracker, limits: WaitingLimits) -> Self {
        let queues = Queues { limits, ..Queues::default() };
        Self { state, tasks, queues: Arc::new(Mutex::new(queues)) }
    }

    fn queues(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an end in the background, as soon as its shard is available.
    pub fn push(&self, end: WaitingEnd) {
        let shard = shard_of(end.turn.program().as_str());
        let must_serve = self.queues().push(shard, end);
        if must_serve {
            self.tasks.spawn(self.clone().serve(shard));
        }
    }

    /// Whether the end of a turn of this program waits here.
    #[must_use]
    pub fn has_end_of(&self, program: &ProgramId) -> bool {
        let queues = self.queues();
        let queue = queues.shards.get(&shard_of(program.as_str()));
        queue.is_some_and(|queue| {
            queue.ends.iter().any(|queued| queued.end.turn.program() == program)
        })
    }

    /// Reports that a shard has replied to a request that was sent at the given time.
    pub fn shard_replied(&self, shard: GroupId, sent: Instant) {
        if let Some(queue) = self.queues().shards.get(&shard) {
            queue.newest_replied.send_modify(|newest| *newest = (*newest).max(Some(sent)));
        }
    }

    /// Records the ends that wait for a shard until none is left.
    async fn serve(self, shard: GroupId) {
        while let Some(mut batch) = self.next_batch(shard) {
            match self.execute(shard, &mut batch).await {
                Some(Ok(())) => self.queues().remove(shard, batch.count),
                Some(Err(error)) => {
                    debug!(%error, ends = batch.count, "cannot record the ends of turns yet");
                    sleep(RETRY_PAUSE).await;
                }
                // The attempt was overtaken: try again at once.
                None => {}
            }
        }
    }

    /// Returns the first ends that wait for a shard. If there are none, the task of the shard must
    /// end.
    fn next_batch(&self, shard: GroupId) -> Option<Batch> {
        let mut queues = self.queues();
        queues.remove_expired(shard, Instant::now());
        let queue = queues.shards.get_mut(&shard)?;
        let first = queue.ends.iter().take(MAX_ENDS_PER_COMMAND);
        let commands: Vec<_> = first.map(|queued| queued.end.command.clone()).collect();
        if commands.is_empty() {
            queue.is_served = false;
            return None;
        }
        let (count, replied) = (commands.len(), queue.newest_replied.subscribe());
        Some(Batch { command: ShardCommand::Batch(commands), count, replied })
    }

    /// Executes a batch. Returns `None` if the attempt is overtaken.
    async fn execute(&self, shard: GroupId, batch: &mut Batch) -> Option<Result<(), Unavailable>> {
        let started = Instant::now();
        let deadline = started + ATTEMPT_TIMEOUT;
        let later = Some(started + OVERTAKEN_AFTER);
        let overtaken = batch.replied.wait_for(|sent| *sent >= later);
        tokio::select! {
            biased;
            result = self.state.execute_shard(shard, &batch.command, deadline) => {
                Some(result.map(drop))
            }
            _ = overtaken => None,
        }
    }
}

/// The first ends of a shard's queue, as one command.
struct Batch {
    command: ShardCommand,
    count: usize,
    replied: watch::Receiver<Option<Instant>>,
}

/// The queues of all shards, with their total size.
#[derive(Debug, Default)]
struct Queues {
    limits: WaitingLimits,
    shards: BTreeMap<GroupId, ShardQueue>,
    ends: usize,
    bytes: usize,
    /// Whether the last end was not queued because of a limit.
    is_full: bool,
}

impl Queues {
    /// Adds an end; returns whether a task must be started for its shard.
    fn push(&mut self, shard: GroupId, end: WaitingEnd) -> bool {
        let bytes = encode(&end.command).len();
        if !self.has_capacity_for(bytes) {
            return false;
        }
        (self.ends, self.bytes) = (self.ends + 1, self.bytes + bytes);
        let queue = self.shards.entry(shard).or_default();
        queue.ends.push_back(QueuedEnd { end, bytes });
        let must_serve = !std::mem::replace(&mut queue.is_served, true);
        self.publish();
        must_serve
    }

    /// Checks the limits. Logs when one is first reached.
    fn has_capacity_for(&mut self, bytes: usize) -> bool {
        let fits = self.ends < self.limits.ends && self.bytes + bytes <= self.limits.bytes;
        if !fits {
            metrics::counter!("hooklug_ingress_ends_dropped_total").increment(1);
            if !self.is_full {
                warn!(ends = self.ends, bytes = self.bytes, "too many ends of turns wait");
            }
        }
        self.is_full = !fits;
        fits
    }

    /// Removes the first ends of a shard.
    fn remove(&mut self, shard: GroupId, count: usize) {
        let Some(queue) = self.shards.get_mut(&shard) else { return };
        let bytes = queue.ends.drain(..count).map(|queued| queued.bytes).sum();
        self.subtract(count, bytes);
    }

    fn remove_expired(&mut self, shard: GroupId, now: Instant) {
        let Some(queue) = self.shards.get_mut(&shard) else { return };
        let is_expired = |queued: &QueuedEnd| queued.end.give_up <= now;
        let expired = queue.ends.iter().filter(|queued| is_expired(queued));
        let (ends, bytes) = expired.fold((0, 0), |(ends, sum), q| (ends + 1, sum + q.bytes));
        if ends > 0 {
            warn!(%shard, ends, "the ends of turns were not recorded in time");
            queue.ends.retain(|queued| !is_expired(queued));
            self.subtract(ends, bytes);
        }
    }

    fn subtract(&mut self, ends: usize, bytes: usize) {
        (self.ends, self.bytes) = (self.ends - ends, self.bytes - bytes);
        self.publish();
    }

    fn publish(&self) {
        let gauge = |value: usize| u32::try_from(value).map_or(f64::from(u32::MAX), f64::from);
        metrics::gauge!("hooklug_ingress_waiting_ends").set(gauge(self.ends));
        metrics::gauge!("hooklug_ingress_waiting_end_bytes").set(gauge(self.bytes));
    }
}
