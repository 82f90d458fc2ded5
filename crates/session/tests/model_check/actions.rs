//! What may happen next in a state.

use hooklug_session::GenerationId;
use hooklug_types::EngineIncarnation;

use crate::caller::Caller;
use crate::engines::EngineModel;
use crate::network::Wire;
use crate::world::World;

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A message on its way arrives.
    Deliver(usize),
    /// A request is lost; its sender learns nothing.
    LoseRequest(usize),
    /// A request is applied, its answer is lost.
    LoseAnswer(usize),
    /// A request is late: its sender gives up first, then it arrives.
    Delay(usize),
    /// A request or reply arrives and arrives again later.
    Repeat(usize),
    /// The model says the next thing in a generation.
    Say(usize, GenerationId),
    /// The model's answer is cut.
    Cut(usize, GenerationId),
    /// A generation that was stopped says one thing more.
    SayLate(usize, GenerationId),
    /// An engine's lease runs out by its own clock.
    RunOut(usize),
    /// An engine's loops learn that its lease has run out.
    Notice(usize),
    /// The shard expires the lease of an engine.
    Expire(usize),
    /// An engine is asked to hand its sessions over.
    HandOver(usize),
    /// A caller connects to the session's owner, or has an engine take the session.
    Connect(usize, usize),
    /// A caller's connection breaks; so many of the last pieces never arrived.
    Break(usize, usize),
}

impl World {
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (place, wire) in self.wires.iter().enumerate() {
            actions.push(Action::Deliver(place));
            if self.faults == 0 {
                continue;
            }
            match wire {
                Wire::Request { .. } => actions.extend([
                    Action::LoseRequest(place),
                    Action::LoseAnswer(place),
                    Action::Delay(place),
                    Action::Repeat(place),
                ]),
                Wire::Take { .. } => {
                    actions.extend([
                        Action::LoseRequest(place),
                        Action::LoseAnswer(place),
                        Action::Delay(place),
                    ]);
                }
                Wire::Reply { .. } => actions.push(Action::Repeat(place)),
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
                actions.push(Action::Say(engine, generation.id));
                if self.faults > 0 {
                    actions.push(Action::Cut(engine, generation.id));
                }
            } else if self.faults > 0 {
                actions.push(Action::SayLate(engine, generation.id));
            }
        }
        if !model.run_out && self.lapses > 0 {
            actions.push(Action::RunOut(engine));
        }
        if model.run_out && !model.loops.is_empty() {
            actions.push(Action::Notice(engine));
        }
        if model.run_out && !self.has_expired(&model.name) {
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
        let is_moving = self.wires.iter().any(|w| match w {
            Wire::Take { record, .. } | Wire::Load { record, .. } => {
                record.key.session == caller.session
            }
            _ => false,
        });
        for engine in 0..self.engines.len() {
            let name = &self.engines[engine].name;
            let owns = record.owner.as_ref() == Some(name);
            let may_take = !self.engines[engine].run_out
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
