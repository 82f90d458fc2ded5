//! Parameters of the programs that generate load.

use std::time::Duration;

use hooklug_fleet::Topology;

/// Parameters of the programs that generate load.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Model that sessions request.
    pub model: String,
    /// Tools with repeatable calls.
    pub repeatable: Vec<String>,
    /// Tools with non-repeatable calls.
    pub non_repeatable: Vec<String>,
    /// Minimum and maximum number of tokens of a turn.
    pub turn_tokens: (u64, u64),
    /// Maximum number of calls after a turn.
    pub max_calls: u32,
    /// Share of calls that are non-repeatable.
    pub non_repeatable_share: f64,
    /// Share of turns that are followed by calls.
    pub call_share: f64,
    /// Maximum pause between turns.
    pub max_think_time: Duration,
    /// Maximum number of turns of a session.
    pub max_turns: u32,
    /// Share of programs whose budget suffices only for a few turns.
    pub small_budget_share: f64,
    /// Share of sessions that a second client joins.
    pub join_share: f64,
}

impl Profile {
    /// Creates a profile for a topology's services, with an even mix of calls.
    #[must_use]
    pub fn of(topology: &Topology) -> Self {
        let tools = || topology.applications.iter().flat_map(|group| &group.tools);
        let tools_where = |may_repeat: bool| -> Vec<String> {
            tools().filter(|t| t.may_repeat == may_repeat).map(|t| t.name.clone()).collect()
        };
        Self {
            model: topology.models.last().map(|g| g.model.to_string()).unwrap_or_default(),
            repeatable: tools_where(true),
            non_repeatable: tools_where(false),
            turn_tokens: (8, 40),
            max_calls: 2,
            non_repeatable_share: 0.5,
            call_share: 0.6,
            max_think_time: Duration::from_millis(300),
            max_turns: 12,
            small_budget_share: 0.25,
            join_share: 0.25,
        }
    }
}
