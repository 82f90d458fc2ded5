//! Connects a group's clock to its replica: the observed state and the wall clock go in, encoded
//! commands come out.

use std::sync::Arc;
use std::time::Instant;

use hooklug_raft::ConfState;
use hooklug_replication::{ClockSource, StepOccasion};
use hooklug_state::encode;
use hooklug_state::meta::MetaCommand;
use hooklug_state::shard::ClockStep;
use hooklug_types::{GroupId, META_GROUP, UnixMillis};

use crate::clock::{Correction, GroupClock};
use crate::member_builds::MemberBuilds;
use crate::observations::GroupObservations;

/// Clock source of one replica.
#[derive(Debug)]
pub(crate) struct ObservedClock {
    group: GroupId,
    observations: Arc<GroupObservations>,
    builds: Arc<dyn MemberBuilds>,
    clock: GroupClock,
    is_attached: bool,
    /// The step that was returned last; it is appended or asked for again.
    due: Option<UnixMillis>,
}

impl ObservedClock {
    pub(crate) fn new(
        group: GroupId,
        observations: Arc<GroupObservations>,
        builds: Arc<dyn MemberBuilds>,
    ) -> Self {
        Self {
            group,
            observations,
            builds,
            clock: GroupClock::default(),
            is_attached: false,
            due: None,
        }
    }

    fn correction(&self, members: &ConfState) -> Correction {
        let mut members = members.voters.iter().chain(&members.learners);
        match members.any(|member| self.builds.lacks_step_details(*member)) {
            _ if self.group == META_GROUP => Correction::Jump,
            true => Correction::None,
            false => Correction::Split,
        }
    }
}

impl ClockSource for ObservedClock {
    fn leader_heard(&mut self, now: Instant) {
        self.clock.hear_leader(now);
        if !std::mem::replace(&mut self.is_attached, true) {
            self.observations.led_steps().attached(now);
        }
    }

    fn leadership_gained(&mut self, now: Instant, members: &ConfState) {
        let (applied, wall) = (self.observations.clock(), self.observations.wall());
        self.clock.lead(applied, wall, now, self.correction(members));
        self.observations.led_steps().lead(now);
    }

    fn due_step(&mut self, occasion: StepOccasion, now: Instant) -> Option<Vec<u8>> {
        let commands_wait = occasion == StepOccasion::CommandsWait;
        if !self.clock.is_step_due(commands_wait, now) {
            if commands_wait {
                self.observations.led_steps().use_last(now);
            }
            return None;
        }
        let step = self.clock.step(self.observations.clock(), now)?;
        self.due = Some(step.now);
        Some(encode_step(self.group, step))
    }

    fn step_appended(&mut self, now: Instant) {
        let Some(step) = self.due.take() else { return };
        self.clock.step_appended(step, now);
        self.observations.led_steps().append(step, now);
    }
}

fn encode_step(group: GroupId, step: ClockStep) -> Vec<u8> {
    if group == META_GROUP {
        encode(&MetaCommand::AdvanceClock { now: step.now })
    } else {
        step.encode()
    }
}
