//! What a run leaves behind: callers' records, operators' records, faults, and back ends' ledgers.
//!
//! All times are milliseconds since 1970 of the one machine that everything runs on.

use std::collections::BTreeMap;

use hooklug_emulator::LedgerLine;
use hooklug_fleet::caller::StreamEvent;
use serde_json::Value;

/// Milliseconds since 1970.
pub type Millis = u64;

/// A session's full name, `program/session`.
pub type SessionName = String;

/// Everything that the oracle judges.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Programs by name.
    pub programs: BTreeMap<String, ProgramRecord>,
    /// Sessions by full name.
    pub sessions: BTreeMap<SessionName, SessionRecord>,
    /// Turns that callers sent.
    pub turns: Vec<TurnRecord>,
    /// Calls that callers made.
    pub calls: Vec<CallRecord>,
    /// Bundles that operators submitted.
    pub submissions: Vec<SubmissionRecord>,
    /// Bundles read back.
    pub bundle_reads: Vec<BundleRead>,
    /// Versions in force at nodes, in the order in which they were seen.
    pub installed: Vec<InstalledSeen>,
    /// Engines told to drain.
    pub drains: Vec<DrainRecord>,
    /// Releases of versions that do harm.
    pub harmful: Vec<HarmfulRelease>,
    /// Faults, from their beginning to the return of the machine.
    pub disturbances: Vec<Disturbance>,
    /// How long service took to come back after faults were over.
    pub recoveries: Vec<Recovery>,
    /// Ledgers of all application engines.
    pub applications: Vec<LedgerLine>,
    /// Ledgers of all model servers.
    pub models: Vec<LedgerLine>,
}

impl Evidence {
    /// Notes that all machines are back and all drains over, for those that were not before.
    pub fn all_over(&mut self, at: Millis) {
        for disturbance in &mut self.disturbances {
            disturbance.until.get_or_insert(at);
        }
        for drain in &mut self.drains {
            drain.until.get_or_insert(at);
        }
    }
}

/// A program as declared and as its ledger stands at the end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgramRecord {
    /// Tokens that it may stream in all.
    pub budget: u64,
    /// Most tokens of any of its turns.
    pub longest_turn: u64,
    /// Tokens booked at the end, if it could be read.
    pub booked: Option<u64>,
}

/// A session as callers saw it.
#[derive(Debug, Clone, Default)]
pub struct SessionRecord {
    /// Owners seen.
    pub owners: Vec<OwnerSeen>,
    /// Streams of clients that joined it.
    pub joined: Vec<Vec<StreamEvent>>,
    /// Its whole history, read at the end, if it could be read.
    pub history: Option<Vec<StreamEvent>>,
}

/// An owner that an answer named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerSeen {
    /// The engine.
    pub owner: String,
    /// The epoch of its ownership.
    pub epoch: u64,
    /// When the request was sent.
    pub begun: Millis,
    /// Whether this answer opened the session.
    pub opened: bool,
}

/// A turn and all that came of it.
#[derive(Debug, Clone)]
pub struct TurnRecord {
    /// Its session.
    pub session: SessionName,
    /// Its name.
    pub turn: String,
    /// The turn that it follows.
    pub after: Option<String>,
    /// When it was first sent.
    pub begun: Millis,
    /// When its end was known.
    pub ended: Millis,
    /// Events in the order of their arrival, over all resumptions.
    pub events: Vec<StreamEvent>,
    /// A stream ended properly without a terminal event.
    pub ended_without_terminal: bool,
    /// What it was told in the end.
    pub claim: TurnClaim,
    /// Milliseconds to the first token.
    pub first_token_ms: Option<f64>,
    /// Milliseconds between tokens.
    pub gaps_ms: Vec<f64>,
    /// How often its stream was cut.
    pub cuts: u32,
}

/// What a caller was told of a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TurnClaim {
    /// Its terminal event came: `finished`, `interrupted`, `aborted` or `failed`.
    Ended(String),
    /// It was refused for good, with this code.
    Refused(String),
    /// No answer that claims anything came in time.
    Nothing(String),
}

/// A call and all that its caller was told.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// `program/call`.
    pub call: String,
    /// The tool.
    pub tool: String,
    /// Its arguments.
    pub arguments: Value,
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// When it was first sent.
    pub begun: Millis,
    /// When the last answer came.
    pub ended: Millis,
    /// Answers in the order of their arrival.
    pub claims: Vec<CallClaim>,
}

/// What a caller was told of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CallClaim {
    /// The application's answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its body.
        body: Value,
    },
    /// It did not run and never will.
    NotRun(String),
    /// It may have run.
    Unknown,
    /// Nothing is claimed.
    Nothing(String),
}

/// A bundle sent to one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmissionRecord {
    /// Its version.
    pub version: u64,
    /// The version that it was built on.
    pub base: u64,
    /// Digest of its content.
    pub digest: String,
    /// When it was sent.
    pub begun: Millis,
    /// When the answer came.
    pub answered: Millis,
    /// What the answer was.
    pub answer: SubmissionAnswer,
}

/// What an operator was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionAnswer {
    /// It is committed.
    Acknowledged,
    /// It is refused, with this text.
    Refused(String),
    /// Nothing is claimed.
    Nothing,
}

/// The newest bundle, read at a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleRead {
    /// When the read was sent.
    pub begun: Millis,
    /// The version read.
    pub version: u64,
}

/// The version that a node said is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstalledSeen {
    /// The node.
    pub node: String,
    /// When it was asked.
    pub begun: Millis,
    /// The version; 0 for none yet.
    pub version: u64,
}

/// An engine that was told to drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainRecord {
    /// The engine.
    pub engine: String,
    /// From when it is known.
    pub known: Millis,
    /// When it may take work again.
    pub until: Option<Millis>,
}

/// A version that fails, released on purpose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HarmfulRelease {
    /// Its name.
    pub version: String,
    /// Runs of it, by the ledgers, that make its harm clear.
    pub samples: usize,
}

/// A fault that hits some nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Disturbance {
    /// What it is.
    pub fault: String,
    /// Processes that it hits.
    pub hit: Vec<String>,
    /// When it began.
    pub from: Millis,
    /// When the machines were back.
    pub until: Option<Millis>,
}

/// How service came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    /// What had failed.
    pub after: String,
    /// When the machines were back.
    pub healed: Millis,
    /// When every gateway served a whole path again, if it did.
    pub served: Option<Millis>,
}
