//! The state machine of the meta group: state, dispatch of commands and queries, and snapshots.

use hooklug_types::{Digest, FencingEpoch, Renewal, UnixMillis};
use serde::{Deserialize, Serialize};

use super::archive::BundleArchive;
use super::command::{MetaAnswer, MetaCommand, MetaQuery, MetaRefusal, MetaReply};
use super::record::{CoreLeader, MetaState};
use crate::{FrozenState, MachineError, StateMachine, decode, encode};

/// The result of a command.
pub(super) type CommandResult = Result<MetaReply, MetaRefusal>;

/// The full state of the meta group, which is also the content of a snapshot.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct FullState {
    pub clock: UnixMillis,
    pub meta: MetaState,
    pub archive: BundleArchive,
}

/// The state machine of the meta group (design document, section 3).
#[derive(Debug, Clone, Default)]
pub struct MetaMachine {
    pub(super) state: FullState,
}

impl MetaMachine {
    /// Creates the state of a cluster that is not formed yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a command. Each command is idempotent by its key.
    pub fn apply_command(&mut self, command: MetaCommand) -> MetaReply {
        self.dispatch(command).unwrap_or_else(MetaReply::Refused)
    }

    fn dispatch(&mut self, command: MetaCommand) -> CommandResult {
        match command {
            MetaCommand::Form { cluster, stores, placements } => {
                self.form(cluster, stores, placements)
            }
            MetaCommand::AdvanceClock { now } => Ok(self.advance_clock(now)),
            _ if self.state.meta.cluster == 0 => Err(MetaRefusal::NotFormed),
            MetaCommand::RegisterStore(store) => self.register_store(store),
            MetaCommand::SetStoreState { epoch, node, state } => {
                self.check_fencing(epoch)?;
                self.set_store_state(node, state)
            }
            MetaCommand::SetPlacement { epoch, group, expected, placement } => {
                self.check_fencing(epoch)?;
                self.set_placement(group, &expected, placement)
            }
            MetaCommand::AcquireLeadership { core, incarnation, address, seen } => {
                let epoch = seen.next();
                let candidate = CoreLeader {
                    core,
                    incarnation,
                    address,
                    epoch,
                    renewal: Renewal(0),
                    expired: false,
                };
                self.acquire_leadership(candidate, seen)
            }
            MetaCommand::RenewLeadership { epoch } => self.renew_leadership(epoch),
            MetaCommand::ExpireLeadership { epoch, renewal } => {
                self.expire_leadership(epoch, renewal)
            }
            MetaCommand::SubmitBundle(submit) => self.submit_bundle(submit),
            MetaCommand::RollBack { epoch, harm } => {
                self.check_fencing(epoch)?;
                self.roll_back(harm)
            }
            MetaCommand::BeginRollout { service, target, duration_ms } => {
                self.begin_rollout(service, target, duration_ms)
            }
            MetaCommand::MoveRollout { epoch, service, number, phase } => {
                self.check_fencing(epoch)?;
                self.move_rollout(&service, number, phase)
            }
            MetaCommand::NameStore { node, name } => Ok(self.name_store(node, name)),
            MetaCommand::RetireStore { node, min_remaining } => {
                self.retire_store(node, min_remaining)
            }
        }
    }

    /// Answers a query from the current state.
    #[must_use]
    pub fn answer(&self, query: &MetaQuery) -> MetaAnswer {
        let archive = &self.state.archive;
        match query {
            MetaQuery::State => MetaAnswer::State(Box::new(self.state.meta.clone())),
            MetaQuery::NewestBundle => MetaAnswer::NewestBundle(self.state.meta.bundle.clone()),
            MetaQuery::BundleBytes(version) => {
                let newest = self.state.meta.bundle.as_ref().map(|b| b.version);
                let found = version.or(newest).and_then(|v| archive.bytes(v));
                MetaAnswer::BundleBytes(found)
            }
            MetaQuery::Section(digest) => MetaAnswer::Section(archive.section(digest)),
            MetaQuery::History(limit) => MetaAnswer::History(archive.newest_records(*limit)),
        }
    }

    /// Returns the group's clock.
    #[must_use]
    pub fn clock(&self) -> UnixMillis {
        self.state.clock
    }

    fn advance_clock(&mut self, now: UnixMillis) -> MetaReply {
        self.state.clock = self.state.clock.max(now);
        MetaReply::Done
    }

    /// Accepts a controller's write only if it carries the current epoch and the leader's lease has
    /// not expired.
    fn check_fencing(&self, epoch: FencingEpoch) -> Result<(), MetaRefusal> {
        match &self.state.meta.leader {
            Some(leader) if leader.epoch == epoch && !leader.expired => Ok(()),
            _ => Err(self.stale_fencing()),
        }
    }

    pub(super) fn stale_fencing(&self) -> MetaRefusal {
        let current = self.state.meta.leader.as_ref().map(|l| l.epoch).unwrap_or_default();
        MetaRefusal::StaleFencing { current }
    }
}

impl StateMachine for MetaMachine {
    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, MachineError> {
        let command: MetaCommand = decode("meta command", command)?;
        Ok(encode(&self.apply_command(command)))
    }

    fn query(&self, query: &[u8]) -> Result<Vec<u8>, MachineError> {
        let query: MetaQuery = decode("meta query", query)?;
        Ok(encode(&self.answer(&query)))
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&self.state)
    }

    fn freeze(&self) -> FrozenState {
        let state = self.state.clone();
        Box::new(move || encode(&state))
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), MachineError> {
        self.state = decode("meta snapshot", snapshot)?;
        Ok(())
    }

    fn digest(&self) -> Digest {
        Digest::of(&self.snapshot())
    }
}
