//! Scenarios to search: the callers' steps, the possible faults, and the rules that are
//! deliberately broken.

/// Rules that are deliberately broken, to verify that the search reports it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rules {
    /// Events are sent to clients when their commit is sent, not when it is acknowledged.
    pub release_before_commit: bool,
    /// A session is taken over although its owner's lease has not expired.
    pub take_without_expiry: bool,
    /// After a lost reply, the events are appended with new sequence numbers, which duplicates them
    /// if the first append was applied.
    pub renumber_repeats: bool,
}

/// A step of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Run a turn to its end.
    Turn(&'static str),
    /// Deliver the result of a tool call.
    Tool(&'static str),
    /// Abort a turn that another caller runs.
    Abort(&'static str),
    /// Follow the session until a turn has ended.
    Join(&'static str),
}

/// A scenario to search.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Each caller's session and its steps in order; each caller has its own gateway.
    pub callers: Vec<(&'static str, Vec<Step>)>,
    /// Number of leases that may expire.
    pub lease_expiries: u8,
    /// Number of hand-overs that may be requested of engines.
    pub hand_overs: u8,
    /// Number of faults: messages that are lost, delayed or duplicated, and connections that break.
    pub faults: u8,
    /// Number of tokens that the model generates per turn.
    pub tokens: u64,
    /// Token budget of the program.
    pub budget: u64,
    pub rules: Rules,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            callers: Vec::new(),
            lease_expiries: 0,
            hand_overs: 0,
            faults: 0,
            tokens: 2,
            budget: 100,
            rules: Rules::default(),
        }
    }
}
