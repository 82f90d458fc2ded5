//! The actions that are possible in a state of the model.

use hooklug_session::GenerationId;
use hooklug_types::EngineIncarnation;

use crate::caller::Caller;
use crate::engines::EngineModel;
use crate::network::InTransit;
use crate::world::World;

/// A single step of the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A message in transit arrives.
    Deliver(usize),
    /// A request is lost; its sender learns only that the outcome is unknown.
    LoseRequest(usize),
    /// A request is applied, but its reply is lost.
    LoseAnswer(usize),
    /// A request is delayed: its sender times out before it arrives.
    Delay(usize),
    /// A request or reply is duplicated: it arrives now and again later.
    Repeat(usize),
    /// The model produces the next output of a generation.
    Generate(usize, GenerationId),
    /// The model's response is truncated.
    Cut(usize, GenerationId),
    /// A stopped generation produces one more output.
    GenerateLate(usize, GenerationId),
    /// An engine's lease expires by the engine's own clock.
    LeaseTimeout(usize),
    /// An engine's loops learn that its lease has expired.
    NotifyLeaseLost(usize),
    /// The shard expires an engine's lease.
    Expire(usize),
    /// An engine is asked to hand over its sessions.
    HandOver(usize),
    /// A caller connects to the session's owner, or has an engine take over the session.
    Connect(usize, usize),
    /// A caller's connection breaks; the given number of latest event batches is lost.
    Break(usize, usize),
}

impl World {
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, message) in self.in_transit.iter().enumerate() {
            actions.push(Action::Deliver(index));
            if self.faults == 0 {
                continue;
            }
            match message {
                InTransit::Request { .. } => actions.extend([
                    Action::LoseRequest(index),
                    Action::LoseAnswer(index),
                    Action::Delay(index),
                    Action::Repeat(index),
                ]),
                InTransit::Take { .. } => {
                    actions.extend([
                        Action::LoseRequest(index),
                        Action::LoseAnswer(index),
                        Action::Delay(index),
                    ]);
                }
                InTransit::Reply { .. } => actions.push(Action::Repeat(index)),
                _ => {}
            }
        }
        for (engine, model) in self.engines.iter().enumerate() {
            self.engine_actions(engine, model, &mut actions);
        }
        for (number, caller) in self.callers.iter().enumerate() {
            self.caller_actions(number, caller, &mut actions);
        }
        actions
    }

    fn engine_actions(&self, engine: usize, model: &EngineModel, actions: &mut Vec<Action>) {
        for generation in &model.generations {
            if !generation.stopped {
                actions.push(Action::Generate(engine, generation.id));
                if self.faults > 0 {
                    actions.push(Action::Cut(engine, generation.id));
                }
            } else if self.faults > 0 {
                actions.push(Action::GenerateLate(engine, generation.id));
            }
        }
        if !model.lease_expired && self.lease_expiries > 0 {
            actions.push(Action::LeaseTimeout(engine));
        }
        if model.lease_expired && !model.loops.is_empty() {
            actions.push(Action::NotifyLeaseLost(engine));
        }
        if model.lease_expired && !self.has_expired(&model.name) {
            actions.push(Action::Expire(engine));
        }
        if self.hand_overs > 0 && !model.loops.is_empty() {
            actions.push(Action::HandOver(engine));
        }
    }

    fn caller_actions(&self, number: usize, caller: &Caller, actions: &mut Vec<Action>) {
        if caller.steps.is_empty() {
            return;
        }
        if caller.connected.is_some() {
            if self.faults > 0 {
                actions.push(Action::Break(number, 0));
                if !caller.batches.is_empty() {
                    actions.push(Action::Break(number, 1));
                }
            }
            return;
        }
        if caller.refused_at == Some(self.ledger()) {
            return;
        }
        let record = self.record(&caller.session);
        let is_moving = self.in_transit.iter().any(|w| match w {
            InTransit::Take { record, .. } | InTransit::Load { record, .. } => {
                record.key.session == caller.session
            }
            _ => false,
        });
        for engine in 0..self.engines.len() {
            let name = &self.engines[engine].name;
            let owns = record.owner.as_ref() == Some(name);
            let may_take = !self.engines[engine].lease_expired
                && record.owner.as_ref().is_none_or(|o| self.may_be_taken_from(o));
            if owns || (may_take && !is_moving) {
                actions.push(Action::Connect(number, engine));
            }
        }
    }

    fn may_be_taken_from(&self, owner: &EngineIncarnation) -> bool {
        self.has_expired(owner) || self.rules.take_without_expiry
    }
}
