//! The state machines as a store runs them: what the leader needs to know beside the state is noted
//! as commands are applied. None of it is part of the state, so replicas may differ in it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hooklug_state::meta::{MetaCommand, MetaMachine, MetaReply};
use hooklug_state::shard::{ShardCommand, ShardMachine, ShardReply};
use hooklug_state::{FrozenState, MachineError, StateMachine, decode, encode};
use hooklug_types::{
    Digest, EngineIncarnation, FencingEpoch, GroupId, META_GROUP, Renewal, UnixMillis,
};
use serde::{Serialize, de::DeserializeOwned};

/// A renewal and when it was applied here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AppliedRenewal {
    /// Which.
    pub(crate) renewal: Renewal,
    /// When.
    pub(crate) at: Instant,
}

/// What was noted of one group.
#[derive(Debug, Default)]
pub(crate) struct GroupNotes {
    clock: AtomicU64,
    commands: AtomicU64,
    engines: Mutex<BTreeMap<EngineIncarnation, AppliedRenewal>>,
    core_leader: Mutex<Option<(FencingEpoch, AppliedRenewal)>>,
}

impl GroupNotes {
    /// The group's clock.
    pub(crate) fn clock(&self) -> UnixMillis {
        UnixMillis(self.clock.load(Ordering::Acquire))
    }

    /// Commands applied, but for steps of the clock.
    pub(crate) fn commands(&self) -> u64 {
        self.commands.load(Ordering::Acquire)
    }

    /// When a renewal of an engine's lease was applied here; `None` when it was not, as after a snapshot.
    pub(crate) fn engine_renewed(
        &self,
        holder: &EngineIncarnation,
        renewal: Renewal,
    ) -> Option<Instant> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.get(holder).filter(|applied| applied.renewal == renewal).map(|applied| applied.at)
    }

    /// When a renewal of the core leader's lease was applied here.
    pub(crate) fn core_leader_renewed(
        &self,
        epoch: FencingEpoch,
        renewal: Renewal,
    ) -> Option<Instant> {
        let leader = self.core_leader.lock().unwrap_or_else(PoisonError::into_inner);
        leader
            .filter(|(of, applied)| *of == epoch && applied.renewal == renewal)
            .map(|(_, applied)| applied.at)
    }

    fn note_step(&self, clock: UnixMillis, is_clock_step: bool) {
        self.clock.store(clock.0, Ordering::Release);
        if !is_clock_step {
            self.commands.fetch_add(1, Ordering::AcqRel);
        }
    }

    fn note_engine(&self, reply: &ShardReply) {
        match reply {
            ShardReply::Lease(lease) => {
                let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
                if lease.expired {
                    engines.remove(&lease.holder);
                } else {
                    let applied = AppliedRenewal { renewal: lease.renewal, at: Instant::now() };
                    engines.insert(lease.holder.clone(), applied);
                }
            }
            ShardReply::Batch(replies) => replies.iter().for_each(|reply| self.note_engine(reply)),
            _ => {}
        }
    }

    /// Only a renewal moves the instant: an acquisition asked again must not lengthen the lease, but
    /// the first one begins it.
    fn note_core_leader(&self, reply: &MetaReply) {
        let MetaReply::Leader(leader) = reply else { return };
        let mut noted = self.core_leader.lock().unwrap_or_else(PoisonError::into_inner);
        let known = noted.is_some_and(|(epoch, applied)| {
            epoch == leader.epoch && applied.renewal == leader.renewal
        });
        if !known {
            let applied = AppliedRenewal { renewal: leader.renewal, at: Instant::now() };
            *noted = Some((leader.epoch, applied));
        }
    }
}

/// Notes of all groups. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Notes {
    groups: Arc<BTreeMap<GroupId, Arc<GroupNotes>>>,
}

impl Notes {
    pub(crate) fn new() -> Self {
        Self { groups: Arc::new(GroupId::all().map(|group| (group, Arc::default())).collect()) }
    }

    /// Notes of a group; `None` for a group that no cluster has.
    pub(crate) fn of(&self, group: GroupId) -> Option<&Arc<GroupNotes>> {
        self.groups.get(&group)
    }

    /// The empty state machine of a group.
    pub(crate) fn machine(&self, group: GroupId, keep: Duration) -> Box<dyn StateMachine> {
        let notes = self.of(group).cloned().unwrap_or_default();
        if group == META_GROUP {
            Box::new(Observed { machine: MetaMachine::new(), notes })
        } else {
            Box::new(Observed { machine: ShardMachine::new(keep), notes })
        }
    }
}

/// A state machine whose commands leave notes.
trait NotedMachine: StateMachine {
    type Command: DeserializeOwned;
    type Reply: Serialize;
    /// What a command is called when it does not decode.
    const COMMAND: &str;

    fn apply_command(&mut self, command: Self::Command) -> Self::Reply;
    fn clock(&self) -> UnixMillis;
    fn is_clock_step(command: &Self::Command) -> bool;
    fn note(notes: &GroupNotes, reply: &Self::Reply);
}

impl NotedMachine for ShardMachine {
    type Command = ShardCommand;
    type Reply = ShardReply;
    const COMMAND: &str = "shard command";

    fn apply_command(&mut self, command: ShardCommand) -> ShardReply {
        self.apply_command(command)
    }

    fn clock(&self) -> UnixMillis {
        self.clock()
    }

    fn is_clock_step(command: &ShardCommand) -> bool {
        matches!(command, ShardCommand::AdvanceClock { .. })
    }

    fn note(notes: &GroupNotes, reply: &ShardReply) {
        notes.note_engine(reply);
    }
}

impl NotedMachine for MetaMachine {
    type Command = MetaCommand;
    type Reply = MetaReply;
    const COMMAND: &str = "meta command";

    fn apply_command(&mut self, command: MetaCommand) -> MetaReply {
        self.apply_command(command)
    }

    fn clock(&self) -> UnixMillis {
        self.clock()
    }

    fn is_clock_step(command: &MetaCommand) -> bool {
        matches!(command, MetaCommand::AdvanceClock { .. })
    }

    fn note(notes: &GroupNotes, reply: &MetaReply) {
        notes.note_core_leader(reply);
    }
}

/// A state machine with the notes of its group.
struct Observed<M> {
    machine: M,
    notes: Arc<GroupNotes>,
}

impl<M: NotedMachine> StateMachine for Observed<M> {
    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, MachineError> {
        let command = decode(M::COMMAND, command)?;
        let is_clock_step = M::is_clock_step(&command);
        let reply = self.machine.apply_command(command);
        M::note(&self.notes, &reply);
        self.notes.note_step(self.machine.clock(), is_clock_step);
        Ok(encode(&reply))
    }

    fn query(&self, query: &[u8]) -> Result<Vec<u8>, MachineError> {
        self.machine.query(query)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.machine.snapshot()
    }

    fn freeze(&self) -> FrozenState {
        self.machine.freeze()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), MachineError> {
        self.machine.restore(snapshot)?;
        self.notes.note_step(self.machine.clock(), true);
        Ok(())
    }

    fn digest(&self) -> Digest {
        self.machine.digest()
    }
}
