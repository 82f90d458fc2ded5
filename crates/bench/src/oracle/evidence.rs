//! The input of the oracle: records of callers and operators, injected faults, and ledgers of the
//! backends.
//!
//! All times are in milliseconds since 1970, from the clock of the one machine that everything runs
//! on.

use std::collections::BTreeMap;

use hooklug_emulator::LedgerLine;
use hooklug_fleet::caller::StreamEvent;
use serde_json::Value;

/// Milliseconds since 1970.
pub type Millis = u64;

/// Full name of a session, `program/session`.
pub type SessionName = String;

/// Everything that was recorded in a run.
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
    /// Bundles that operators read back.
    pub bundle_reads: Vec<BundleRead>,
    /// Active bundle versions that nodes reported, in the order of the polls.
    pub installed_versions: Vec<VersionObservation>,
    /// Drains of engines.
    pub drains: Vec<DrainRecord>,
    /// Releases of harmful versions.
    pub harmful_releases: Vec<HarmfulRelease>,
    /// Injected faults, from their start until the machines are back.
    pub injected_faults: Vec<InjectedFault>,
    /// Recoveries of service after faults.
    pub recoveries: Vec<Recovery>,
    /// Ledgers of all application engines.
    pub application_ledgers: Vec<LedgerLine>,
    /// Ledgers of all model servers.
    pub model_ledgers: Vec<LedgerLine>,
}

impl Evidence {
    /// Sets the end of all faults and drains that are still open.
    pub fn end_open_faults(&mut self, at: Millis) {
        for injected in &mut self.injected_faults {
            injected.ended_at.get_or_insert(at);
        }
        for drain in &mut self.drains {
            drain.ended_at.get_or_insert(at);
        }
    }
}

/// A program, and its budget accounting at the end of the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgramRecord {
    /// Tokens that it may stream in total.
    pub budget: u64,
    /// Maximum number of tokens of one of its turns.
    pub max_turn_tokens: u64,
    /// Tokens booked or reserved at the end of the run, if they could be read.
    pub booked: Option<u64>,
}

/// A session as its callers observed it.
#[derive(Debug, Clone, Default)]
pub struct SessionRecord {
    /// Owners that responses reported.
    pub owners: Vec<OwnerObservation>,
    /// Events that each joined client received.
    pub joined: Vec<Vec<StreamEvent>>,
    /// The complete history, read at the end of the run, if it could be read.
    pub history: Option<Vec<StreamEvent>>,
}

/// A session owner that a response reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerObservation {
    /// The owning engine.
    pub owner: String,
    /// The epoch of its ownership.
    pub epoch: u64,
    /// When the request was sent.
    pub sent_at: Millis,
    /// Whether the request opened the session.
    pub opened: bool,
}

/// A turn, its events and its outcome.
#[derive(Debug, Clone)]
pub struct TurnRecord {
    /// Full name of the session.
    pub session: SessionName,
    /// Id of the turn.
    pub turn: String,
    /// Id of the previous turn, if there is one.
    pub after: Option<String>,
    /// When the turn was first sent.
    pub sent_at: Millis,
    /// When its outcome was known.
    pub ended_at: Millis,
    /// Events in the order of arrival, over all resumptions.
    pub events: Vec<StreamEvent>,
    /// Whether a stream ended cleanly without a terminal event.
    pub ended_without_terminal: bool,
    /// The final outcome.
    pub claim: TurnClaim,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Times between tokens, in milliseconds.
    pub gaps_ms: Vec<f64>,
    /// Number of times that its stream was interrupted.
    pub cuts: u32,
}

/// The outcome of a turn, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TurnClaim {
    /// Received its terminal event: `finished`, `interrupted`, `aborted` or `failed`.
    Ended(String),
    /// Refused permanently, with this error code.
    Refused(String),
    /// No conclusive response arrived in time; holds the last error.
    Inconclusive(String),
}

/// A call and all its reported outcomes.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Full name of the call, `program/call`.
    pub call: String,
    /// Name of the called tool.
    pub tool: String,
    /// Arguments of the call.
    pub arguments: Value,
    /// Whether the call may run more than once.
    pub may_repeat: bool,
    /// When the call was first sent.
    pub sent_at: Millis,
    /// When its first outcome was known.
    pub ended_at: Millis,
    /// Reported outcomes in the order of arrival.
    pub claims: Vec<CallClaim>,
}

/// The outcome of a call, as one response reported it.
#[derive(Debug, Clone, PartialEq)]
pub enum CallClaim {
    /// The application returned a response.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: Value,
    },
    /// The call did not run and never will; holds the error code or state.
    NotRun(String),
    /// The call may have run.
    Unknown,
    /// The response does not say whether the call ran; holds the error.
    Inconclusive(String),
}

/// A bundle submitted to one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmissionRecord {
    /// Version of the bundle.
    pub version: u64,
    /// Version that the bundle is based on.
    pub base: u64,
    /// Digest of the bundle's content.
    pub digest: String,
    /// When the bundle was sent.
    pub sent_at: Millis,
    /// When the response arrived.
    pub answered_at: Millis,
    /// Outcome of the submission.
    pub outcome: SubmissionOutcome,
}

/// The outcome of a bundle submission, as reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// The bundle was committed.
    Acknowledged,
    /// The bundle was refused, with this reason.
    Refused(String),
    /// The response does not say whether the bundle was committed.
    Inconclusive,
}

/// The newest bundle version that a node returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleRead {
    /// When the request was sent.
    pub sent_at: Millis,
    /// The returned version.
    pub version: u64,
}

/// The active bundle version that a node reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionObservation {
    /// Name of the node.
    pub node: String,
    /// When the request was sent.
    pub sent_at: Millis,
    /// The reported version; 0 if the node has no bundle yet.
    pub version: u64,
}

/// A drain of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainRecord {
    /// Name of the engine.
    pub engine: String,
    /// When the drain started.
    pub started_at: Millis,
    /// When the engine accepts work again.
    pub ended_at: Option<Millis>,
}

/// A failing version that was released on purpose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HarmfulRelease {
    /// Name of the version.
    pub version: String,
    /// Number of runs after which the version must be recognized as harmful.
    pub samples: usize,
}

/// An injected fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InjectedFault {
    /// Description of the fault.
    pub description: String,
    /// Processes that it affects.
    pub targets: Vec<String>,
    /// When it started.
    pub started_at: Millis,
    /// When all affected machines were back.
    pub ended_at: Option<Millis>,
}

/// The recovery of service after a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    /// Description of the fault.
    pub fault: String,
    /// When the fault ended.
    pub fault_ended_at: Millis,
    /// When all gateways served requests again, or `None` if they did not in time.
    pub served_at: Option<Millis>,
}
