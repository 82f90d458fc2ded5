//! The driver thread, which owns all replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use hooklug_raft::{HardState, Message};
use hooklug_types::GroupId;
use hooklug_wal::{SnapshotStore, Wal};
use tokio::sync::watch;
use tracing::error;

use crate::applier::{ApplyTask, GroupTask};
use crate::input::Input;
use crate::replica::is_from_leader;
use crate::snapshot_thread::SnapshotJob;
use crate::start::{GroupFactory, StartContext};
use crate::transport::Transport;
use crate::{Replica, ReplicationError, ReplicationSettings};

/// Maximum number of inputs handled per cycle; limits how long a message waits to be processed.
const MAX_INPUTS_PER_CYCLE: usize = 4_096;
/// Maximum number of overdue ticks processed at once after the process was suspended: the time that
/// passed in the meantime is no evidence that a leader failed.
const MAX_TICKS_AT_ONCE: u32 = 2;
/// Ticks between checks of the number of log segments.
const SEGMENT_CHECK_TICKS: u32 = 20;

/// Channels to the threads that work for the driver, and to the driver itself.
pub(crate) struct Workers {
    pub(crate) appliers: Vec<Sender<GroupTask>>,
    pub(crate) snapshots: Sender<SnapshotJob>,
    pub(crate) driver: Sender<Input>,
}

impl Workers {
    pub(crate) fn apply(&self, group: GroupId, task: ApplyTask) {
        let applier = group.0 as usize % self.appliers.len();
        // Sending can't fail: the appliers outlive the driver.
        let _ = self.appliers[applier].send((group, task));
    }
}

/// State of the driver thread.
pub(crate) struct Driver {
    pub(crate) settings: ReplicationSettings,
    pub(crate) replicas: BTreeMap<GroupId, Replica>,
    /// Hard states of removed replicas, retained so that a vote is never lost.
    pub(crate) removed: BTreeMap<GroupId, HardState>,
    pub(crate) wal: Wal,
    pub(crate) snapshot_store: SnapshotStore,
    pub(crate) factory: GroupFactory,
    pub(crate) context: StartContext,
    pub(crate) transport: Transport,
    pub(crate) workers: Workers,
    pub(crate) failure: watch::Sender<Option<String>>,
    pub(crate) dirty: BTreeSet<GroupId>,
    pub(crate) groups: Arc<Mutex<BTreeSet<GroupId>>>,
    /// Dropped, which closes the channel, after the driver has stopped and the log is closed.
    pub(crate) stopped: watch::Sender<()>,
}

impl Driver {
    /// Runs until the driver is stopped, then closes the log.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) {
        self.serve(inputs);
        self.wal.close();
        drop(self.stopped);
    }

    fn serve(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now() + self.settings.tick;
        let mut ticks = 0_u32;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let first = match inputs.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let rest = inputs.try_iter().take(MAX_INPUTS_PER_CYCLE);
            for input in first.into_iter().chain(rest) {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.handle(input);
            }
            let now = Instant::now();
            if now >= next_tick {
                let overdue =
                    now.duration_since(next_tick).as_micros() / self.settings.tick.as_micros();
                let due = u32::try_from(overdue).unwrap_or(u32::MAX).saturating_add(1);
                (0..due.min(MAX_TICKS_AT_ONCE)).for_each(|_| self.tick(now));
                next_tick = now + self.settings.tick;
                ticks += 1;
                if ticks.is_multiple_of(SEGMENT_CHECK_TICKS) {
                    self.snapshot_groups_pinning_log();
                }
            }
            self.dispatch_pending_work();
        }
    }

    fn tick(&mut self, now: Instant) {
        if self.failure.borrow().is_some() {
            return;
        }
        for (group, replica) in &mut self.replicas {
            replica.tick(now);
            self.dirty.insert(*group);
        }
    }

    fn handle(&mut self, input: Input) {
        let now = Instant::now();
        match input {
            Input::Messages(messages) => {
                for (group, message) in messages {
                    self.step(group, message, now);
                }
            }
            Input::Propose { group, command, reply } => match self.replica(group) {
                Ok(replica) => replica.propose(&command, reply),
                Err(error) => reply.send(Err(error)),
            },
            Input::ChangeMembers { group, change, reply } => match self.replica(group) {
                Ok(replica) => replica.change_members(change, reply, now),
                Err(error) => reply.send(Err(error)),
            },
            Input::Read { group, read } => match self.replica(group) {
                Ok(replica) => replica.read(read),
                Err(error) => drop(read.reply.send(Err(error))),
            },
            Input::Transfer { group, to, reply } => {
                drop(
                    reply.send(
                        self.replica(group).and_then(|replica| replica.transfer_leadership(to)),
                    ),
                );
            }
            Input::Campaign { group } => {
                if let Ok(replica) = self.replica(group) {
                    replica.campaign();
                }
            }
            Input::Bootstrap { group, conf, reply } => {
                drop(reply.send(self.bootstrap(group, conf)));
            }
            Input::Remove { group, leader_messages, reply } => {
                drop(reply.send(self.remove(group, leader_messages)));
            }
            Input::Status { reply } => {
                drop(reply.send(self.replicas.values().map(Replica::status).collect()));
            }
            Input::Persisted { groups, outcome } => match outcome {
                Ok(()) => self.persisted(groups, now),
                Err(error) => self.fail(error.to_string()),
            },
            Input::SnapshotWritten { group, meta, bytes } => {
                self.snapshot_written(group, meta, bytes);
            }
            Input::SnapshotReceived { group, from, term, snapshot } => {
                if let Ok(replica) = self.replica_or_new(group) {
                    replica.receive_snapshot(from, term, snapshot, now);
                }
            }
            Input::SnapshotSent { group, to, sent } => {
                if let Ok(replica) = self.replica(group) {
                    replica.report_snapshot(to, sent);
                }
            }
            Input::Failed { reason } => self.fail(reason),
            Input::Stop => {}
        }
    }

    /// Returns the replica of a group and schedules it for processing in this cycle.
    pub(crate) fn replica(&mut self, group: GroupId) -> Result<&mut Replica, ReplicationError> {
        if let Some(reason) = self.failure.borrow().clone() {
            return Err(ReplicationError::Failed(reason));
        }
        let replica = self.replicas.get_mut(&group).ok_or(ReplicationError::NoReplica(group))?;
        self.dirty.insert(group);
        Ok(replica)
    }

    fn step(&mut self, group: GroupId, message: Message, now: Instant) {
        // Only a leader's message creates a replica, and a replica without members must not reply
        // to vote requests.
        let from_leader = is_from_leader(&message);
        let replica = if from_leader { self.replica_or_new(group) } else { self.replica(group) };
        if let Ok(replica) = replica
            && (from_leader || replica.has_members())
        {
            replica.step(message, now);
        }
    }

    fn persisted(&mut self, groups: Vec<GroupId>, now: Instant) {
        for group in groups {
            let Some(replica) = self.replicas.get_mut(&group) else { continue };
            let messages = replica.persisted(now);
            self.transport.send(group, messages);
            self.dirty.insert(group);
        }
    }

    /// Fails all waiting requests and permanently stops acknowledging.
    fn fail(&mut self, reason: String) {
        if self.failure.borrow().is_some() {
            return;
        }
        error!(reason, "replication failed; rejecting all requests until the process restarts");
        let error = ReplicationError::Failed(reason.clone());
        self.failure.send_replace(Some(reason));
        self.replicas.values_mut().for_each(|replica| replica.fail_waiting(&error));
        self.dirty.clear();
    }
}
