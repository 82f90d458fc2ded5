//! State machines that record, as they apply commands, what the group's leader needs in addition to
//! the replicated state: clocks and renewal times. These records are local to a
//! replica.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hooklug_replication::ClockSource;
use hooklug_state::meta::{MetaCommand, MetaMachine, MetaReply};
use hooklug_state::shard::{AppliedStep, ShardMachine, ShardReply};
use hooklug_state::{FrozenState, MachineError, StateMachine, decode, encode};
use hooklug_types::{
    Digest, EngineIncarnation, FencingEpoch, GroupId, META_GROUP, Renewal, UnixMillis,
};
use serde::Serialize;
use tracing::error;

use crate::clock::AppliedClock;
use crate::clock_source::ObservedClock;
use crate::led_steps::{EarlyDeletion, LedSteps};
use crate::member_builds::{MemberBuilds, SameBuild};
use crate::time_source::TimeSource;

/// A lease renewal and the time when this replica applied it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AppliedRenewal {
    pub(crate) renewal: Renewal,
    pub(crate) at: Instant,
}

/// Local observations of one group's state machine.
#[derive(Debug)]
pub(crate) struct GroupObservations {
    times: Arc<dyn TimeSource>,
    clock: Mutex<AppliedClock>,
    led_steps: Mutex<LedSteps>,
    deleted_early: AtomicU64,
    engines: Mutex<BTreeMap<EngineIncarnation, AppliedRenewal>>,
    core_leader: Mutex<Option<(FencingEpoch, AppliedRenewal)>>,
}

impl GroupObservations {
    fn new(times: Arc<dyn TimeSource>) -> Self {
        let clock = AppliedClock { time: UnixMillis::default(), at: times.monotonic() };
        Self {
            times,
            clock: Mutex::new(clock),
            led_steps: Mutex::default(),
            deleted_early: AtomicU64::new(0),
            engines: Mutex::default(),
            core_leader: Mutex::default(),
        }
    }

    /// Reads this machine's wall clock.
    pub(crate) fn wall(&self) -> UnixMillis {
        self.times.wall()
    }

    /// Returns the steps that this replica has appended as leader.
    pub(crate) fn led_steps(&self) -> MutexGuard<'_, LedSteps> {
        self.led_steps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs and counts programs that a step of the clock deleted early, with all that decided it.
    fn check_deletions(&self, step: &AppliedStep) {
        let (now, wall, clock) = (self.times.monotonic(), self.wall(), self.clock());
        let mut led_steps = self.led_steps();
        let (attached_at, leading_since) = led_steps.times();
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        for EarlyDeletion { program, age } in led_steps.applied(step, now) {
            self.deleted_early.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("hooklug_store_deleted_early_total").increment(1);
            error!(
                program = %program.program,
                ?age,
                keep = ?program.keep,
                last_used = program.last_used.0,
                clock_before = step.from.0,
                clock = clock.time.0,
                clock_applied = ?since(Some(clock.at)),
                extended_ms = step.extended_ms,
                wall = wall.0,
                led_for = ?since(leading_since),
                followed_for = ?since(attached_at),
                "a program was deleted before its retention time was over"
            );
        }
    }

    /// Returns the group's clock and when this replica applied its value.
    pub(crate) fn clock(&self) -> AppliedClock {
        *self.clock.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when this replica applied a renewal of an engine's lease. `None` if it did not apply
    /// it, for example because it restored a snapshot.
    pub(crate) fn engine_renewed_at(
        &self,
        holder: &EngineIncarnation,
        renewal: Renewal,
    ) -> Option<Instant> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.get(holder).filter(|applied| applied.renewal == renewal).map(|applied| applied.at)
    }

    /// Returns when this replica applied a renewal of the core leader's lease.
    pub(crate) fn core_leader_renewed_at(
        &self,
        epoch: FencingEpoch,
        renewal: Renewal,
    ) -> Option<Instant> {
        let leader = self.core_leader.lock().unwrap_or_else(PoisonError::into_inner);
        leader
            .filter(|(leader_epoch, applied)| *leader_epoch == epoch && applied.renewal == renewal)
            .map(|(_, applied)| applied.at)
    }

    fn record_clock(&self, time: UnixMillis) {
        let mut clock = self.clock.lock().unwrap_or_else(PoisonError::into_inner);
        if clock.time != time {
            *clock = AppliedClock { time, at: self.times.monotonic() };
        }
    }

    fn record_engine_renewals(&self, reply: &ShardReply) {
        match reply {
            ShardReply::Lease(lease) => {
                let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
                if lease.expired {
                    engines.remove(&lease.holder);
                } else {
                    let applied =
                        AppliedRenewal { renewal: lease.renewal, at: self.times.monotonic() };
                    engines.insert(lease.holder.clone(), applied);
                }
            }
            ShardReply::Batch(replies) => {
                replies.iter().for_each(|reply| self.record_engine_renewals(reply));
            }
            _ => {}
        }
    }

    /// Records the time of a new epoch or renewal. The time of a known one is kept, since a
    /// repeated acquisition must not extend the lease.
    fn record_core_leader(&self, reply: &MetaReply) {
        let MetaReply::Leader(leader) = reply else { return };
        let mut recorded = self.core_leader.lock().unwrap_or_else(PoisonError::into_inner);
        let known = recorded.is_some_and(|(epoch, applied)| {
            epoch == leader.epoch && applied.renewal == leader.renewal
        });
        if !known {
            let applied = AppliedRenewal { renewal: leader.renewal, at: self.times.monotonic() };
            *recorded = Some((leader.epoch, applied));
        }
    }
}

/// Local observations of all groups. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Observations {
    times: Arc<dyn TimeSource>,
    builds: Arc<dyn MemberBuilds>,
    groups: Arc<BTreeMap<GroupId, Arc<GroupObservations>>>,
}

impl Observations {
    /// Creates the observations of a process that has these clocks, among stores of the same build.
    #[must_use]
    pub fn new(times: Arc<dyn TimeSource>) -> Self {
        Self::with_builds(times, Arc::new(SameBuild))
    }

    /// Creates the observations of a process among stores that may run other builds.
    #[must_use]
    pub fn with_builds(times: Arc<dyn TimeSource>, builds: Arc<dyn MemberBuilds>) -> Self {
        let observe = |group| (group, Arc::new(GroupObservations::new(times.clone())));
        let groups = Arc::new(GroupId::all().map(observe).collect());
        Self { times, builds, groups }
    }

    /// Returns the observations of a group, or `None` if the group id is unknown.
    pub(crate) fn group(&self, group: GroupId) -> Option<&Arc<GroupObservations>> {
        self.groups.get(&group)
    }

    /// Number of programs that were deleted before their retention time was over, by the clock of this
    /// process.
    #[must_use]
    pub fn deleted_early(&self) -> u64 {
        self.groups.values().map(|group| group.deleted_early.load(Ordering::Relaxed)).sum()
    }

    /// Creates the clock source of a group's replica.
    #[must_use]
    pub fn clock_source(&self, group: GroupId) -> Box<dyn ClockSource> {
        Box::new(ObservedClock::new(group, self.group_or_new(group), self.builds.clone()))
    }

    /// Creates the empty state machine of a group, which retains finished records for `retention`.
    #[must_use]
    pub fn machine(&self, group: GroupId, retention: Duration) -> Box<dyn StateMachine> {
        let observations = self.group_or_new(group);
        if group == META_GROUP {
            Box::new(ObservedMachine { machine: MetaMachine::new(), observations })
        } else {
            Box::new(ObservedMachine { machine: ShardMachine::new(retention), observations })
        }
    }

    fn group_or_new(&self, group: GroupId) -> Arc<GroupObservations> {
        let new = || Arc::new(GroupObservations::new(self.times.clone()));
        self.group(group).cloned().unwrap_or_else(new)
    }
}

/// A state machine whose clock and replies can be observed.
trait ObservableMachine: StateMachine {
    type Reply: Serialize;

    fn apply_logged(&mut self, command: &[u8]) -> Result<Self::Reply, MachineError>;
    fn clock(&self) -> UnixMillis;
    fn record(observations: &GroupObservations, reply: &Self::Reply);

    /// What the last step of the clock did, in machines that delete records.
    fn last_step(&self) -> Option<&AppliedStep> {
        None
    }
}

impl ObservableMachine for ShardMachine {
    type Reply = ShardReply;

    fn apply_logged(&mut self, command: &[u8]) -> Result<ShardReply, MachineError> {
        self.apply_logged(command)
    }

    fn last_step(&self) -> Option<&AppliedStep> {
        Some(self.last_step())
    }

    fn clock(&self) -> UnixMillis {
        self.clock()
    }

    fn record(observations: &GroupObservations, reply: &ShardReply) {
        observations.record_engine_renewals(reply);
    }
}

impl ObservableMachine for MetaMachine {
    type Reply = MetaReply;

    fn apply_logged(&mut self, command: &[u8]) -> Result<MetaReply, MachineError> {
        let command: MetaCommand = decode("meta command", command)?;
        Ok(self.apply_command(command))
    }

    fn clock(&self) -> UnixMillis {
        self.clock()
    }

    fn record(observations: &GroupObservations, reply: &MetaReply) {
        observations.record_core_leader(reply);
    }
}

/// A state machine that updates the observations of its group.
struct ObservedMachine<M> {
    machine: M,
    observations: Arc<GroupObservations>,
}

impl<M: ObservableMachine> StateMachine for ObservedMachine<M> {
    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, MachineError> {
        let clock = self.machine.clock();
        let reply = self.machine.apply_logged(command)?;
        M::record(&self.observations, &reply);
        if self.machine.clock() != clock {
            self.observations.record_clock(self.machine.clock());
            self.machine.last_step().inspect(|step| self.observations.check_deletions(step));
        }
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
        self.observations.led_steps().clear();
        self.observations.record_clock(self.machine.clock());
        Ok(())
    }

    fn digest(&self) -> Digest {
        self.machine.digest()
    }
}
