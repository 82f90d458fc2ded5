//! What is searched: who wants what, what may go wrong, and which rules are broken on purpose.

/// Rules broken on purpose, to see that the search reports it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rules {
    /// Events go to clients when their commit is sent.
    pub release_before_commit: bool,
    /// A session is taken although its owner's lease is held.
    pub take_without_expiry: bool,
    /// After a lost answer the events are appended anew, behind what may be there already.
    pub renumber_repeats: bool,
}

/// One thing that a caller wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Run a turn to its end.
    Turn(&'static str),
    /// Tell the result of a tool call.
    Tool(&'static str),
    /// Abort a turn that another caller runs.
    Abort(&'static str),
    /// Follow the session until a turn has ended.
    Join(&'static str),
}

/// A small case.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Each caller's session and what it wants, one after the other; each behind a gateway of its own.
    pub callers: Vec<(&'static str, Vec<Step>)>,
    /// Leases that may run out.
    pub lapses: u8,
    /// Hand-overs that an engine may be asked for.
    pub hand_overs: u8,
    /// Messages that may be lost, late or repeated, connections that may break.
    pub faults: u8,
    /// Tokens that the model says a turn.
    pub tokens: u64,
    /// Token budget of the program.
    pub budget: u64,
    pub rules: Rules,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            callers: Vec::new(),
            lapses: 0,
            hand_overs: 0,
            faults: 0,
            tokens: 2,
            budget: 100,
            rules: Rules::default(),
        }
    }
}
