//! Invariants that must hold in every state.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{SessionId, TurnId};

use crate::world::{CheckResult, World};

impl World {
    /// Checks that each turn's committed text is a prefix of the model's output, and that a tool
    /// result is recorded only once.
    pub fn check_logs(&self) -> CheckResult {
        for session in self.sessions() {
            let log = self.log(session);
            let results = log.iter().filter(|e| matches!(e.body, EventBody::ToolResult { .. }));
            if results.count() > 1 {
                return Err("a tool result is recorded twice".to_owned());
            }
            let mut generated: BTreeMap<&TurnId, usize> = BTreeMap::new();
            for event in &log {
                let (EventBody::Tokens { text, .. }, Some(turn)) = (&event.body, &event.turn)
                else {
                    continue;
                };
                let count = generated.entry(turn).or_default();
                *count += 1;
                if *text != format!("w{count}") {
                    return Err(format!("not committed as the model generated it: {event:?}"));
                }
            }
        }
        Ok(())
    }

    pub fn check_budget(&self) -> CheckResult {
        let (spent, reserved) = self.ledger();
        let tokens = |e: &Event| match e.body {
            EventBody::Tokens { count, .. } => count.0,
            _ => 0,
        };
        let streamed: u64 =
            self.sessions().map(|s| self.log(s).iter().map(tokens).sum::<u64>()).sum();
        if streamed > self.budget || spent + reserved > self.budget {
            return Err(format!(
                "over budget: {streamed} streamed, {spent} spent, {reserved} reserved"
            ));
        }
        Ok(())
    }

    fn sessions(&self) -> impl Iterator<Item = &SessionId> {
        let all: BTreeSet<_> = self.callers.iter().map(|c| &c.session).collect();
        all.into_iter()
    }
}
