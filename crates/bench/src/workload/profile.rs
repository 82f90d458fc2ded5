//! What programs do, as numbers.

use std::time::Duration;

use hooklug_fleet::Topology;

/// What programs do.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Model that sessions ask for.
    pub model: String,
    /// Tools whose calls may be repeated.
    pub repeatable: Vec<String>,
    /// Tools whose calls may not.
    pub once: Vec<String>,
    /// Tokens of a turn, shortest and longest.
    pub turn_tokens: (u64, u64),
    /// Calls after a turn, most.
    pub calls: u32,
    /// Share of calls that may not be repeated.
    pub once_share: f64,
    /// Share of turns after which a call is made.
    pub call_share: f64,
    /// Longest pause between turns.
    pub think: Duration,
    /// Turns of a session, most.
    pub turns: u32,
    /// Share of programs whose budget ends within a few turns.
    pub small_budget_share: f64,
    /// Share of sessions that a second client joins.
    pub join_share: f64,
}

impl Profile {
    /// What fits a topology's services, with an even mix.
    #[must_use]
    pub fn of(topology: &Topology) -> Self {
        let tools = || topology.applications.iter().flat_map(|group| &group.tools);
        let named = |may_repeat: bool| -> Vec<String> {
            tools().filter(|t| t.may_repeat == may_repeat).map(|t| t.name.clone()).collect()
        };
        Self {
            model: topology.models.last().map(|g| g.model.to_string()).unwrap_or_default(),
            repeatable: named(true),
            once: named(false),
            turn_tokens: (8, 40),
            calls: 2,
            once_share: 0.5,
            call_share: 0.6,
            think: Duration::from_millis(300),
            turns: 12,
            small_budget_share: 0.25,
            join_share: 0.25,
        }
    }
}
