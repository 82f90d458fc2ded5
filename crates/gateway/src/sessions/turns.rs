//! Starts turns at their owner and follows turns and sessions for callers.

use hooklug_protocol::engine::{Join, JoinItem, RunTurn, TurnItem};
use hooklug_rpc::ItemStream;
use hooklug_state::shard::{Event, EventBody, TurnRecord};
use hooklug_types::{
    EndReason, EventSeq, FailureCode, RouteName, ServiceName, ServiceVersion, SessionKey, TenantId,
    TokenCount, TurnId, WindowGroup,
};
use tokio::time::Instant;

use super::engines::EngineError;
use super::follower::{Feed, first_item};
use super::owner_table::OwnerEntry;
use super::owners::{MessageError, Owners};
use crate::version_monitor::Evidence;

/// A turn as its caller asked for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRequest {
    /// Which session.
    pub key: SessionKey,
    /// The turn.
    pub turn: TurnId,
    /// The turn that it follows.
    pub after: Option<TurnId>,
    /// The new input.
    pub input: String,
    /// Tokens that it may stream.
    pub max_tokens: TokenCount,
    /// Whose it is.
    pub tenant: TenantId,
    /// Its group for windows.
    pub group: Option<WindowGroup>,
    /// Whether it may use the urgent reserve.
    pub urgent: bool,
    /// Last event that the caller already has; 0 for none.
    pub last_seen: EventSeq,
}

impl TurnRequest {
    fn to_message(&self, entry: &OwnerEntry, deadline: Instant) -> RunTurn {
        let left = deadline.saturating_duration_since(Instant::now());
        RunTurn {
            place: entry.place(&self.key),
            turn: self.turn.clone(),
            after: self.after.clone(),
            input: self.input.clone(),
            max_tokens: self.max_tokens,
            tenant: self.tenant.clone(),
            group: self.group.clone(),
            urgent: self.urgent,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            last_seen: self.last_seen,
        }
    }
}

/// A turn that its owner has accepted: committed, and streaming.
pub struct RunningTurn {
    /// The owner.
    pub entry: OwnerEntry,
    /// The turn as recorded.
    pub record: TurnRecord,
    /// Its events.
    pub feed: Feed,
}

impl Owners {
    /// Starts a turn. A resend of the same turn attaches to it, so the message may be sent again.
    ///
    /// # Errors
    /// [`MessageError`].
    pub async fn run_turn(
        &self,
        request: &TurnRequest,
        deadline: Instant,
    ) -> Result<RunningTurn, MessageError> {
        let sent = self.send(&request.key, deadline, |entry| async move {
            let message = request.to_message(&entry, deadline);
            let mut items = self.engines.open(&entry.owner, &message, deadline).await?;
            let record = self.accepted(&entry, &mut items, deadline).await?;
            Ok((record, Feed::Turn(items)))
        });
        let (entry, (record, feed)) = sent.await?;
        Ok(RunningTurn { entry, record, feed })
    }

    async fn accepted(
        &self,
        entry: &OwnerEntry,
        items: &mut ItemStream<TurnItem>,
        deadline: Instant,
    ) -> Result<TurnRecord, EngineError> {
        let _routed = self.engines.load.route(&entry.owner);
        match first_item(items, deadline).await? {
            TurnItem::Accepted { turn, load } => {
                self.engines.load.report(&entry.owner, load);
                Ok(turn)
            }
            TurnItem::Refused { refusal, load } => {
                self.engines.load.report(&entry.owner, load);
                Err(refusal.into())
            }
            TurnItem::Event(_) => Err(EngineError::Lost("an event came first".to_owned())),
        }
    }

    /// Joins a session from its beginning: all events so far, and the common stream after them.
    ///
    /// # Errors
    /// [`MessageError`].
    pub async fn join(
        &self,
        key: &SessionKey,
        deadline: Instant,
    ) -> Result<(OwnerEntry, Vec<Event>, Feed), MessageError> {
        let sent = self.send(key, deadline, |entry| async move {
            let message = Join { place: entry.place(key), last_seen: None };
            let mut items = self.engines.open(&entry.owner, &message, deadline).await?;
            match first_item(&mut items, deadline).await? {
                JoinItem::Sync { history, .. } => Ok((history, Feed::Session(items))),
                JoinItem::Refused(refusal) => Err(refusal.into()),
                JoinItem::Event(_) => Err(EngineError::Lost("no sync came first".to_owned())),
            }
        });
        let (entry, (history, feed)) = sent.await?;
        Ok((entry, history, feed))
    }
}

/// What a turn shows of its engine's version: the time to the first token, and how it ends.
#[derive(Debug)]
pub struct TurnObserver {
    evidence: Evidence,
    service: ServiceName,
    version: ServiceVersion,
    route: RouteName,
    begun: Instant,
    seen_token: bool,
}

impl TurnObserver {
    /// An observer of a turn that was asked for at an instant.
    #[must_use]
    pub fn new(
        evidence: Evidence,
        service: ServiceName,
        version: ServiceVersion,
        route: RouteName,
        begun: Instant,
    ) -> Self {
        Self { evidence, service, version, route, begun, seen_token: false }
    }

    fn record(&self, success: bool) {
        let latency = self.begun.elapsed();
        self.evidence.record(&self.service, &self.version, &self.route, success, latency);
    }

    /// Notes an event of the turn.
    pub fn saw(&mut self, body: &EventBody) {
        match body {
            EventBody::Tokens { .. } | EventBody::ToolRequested { .. } if !self.seen_token => {
                self.seen_token = true;
                self.record(true);
            }
            EventBody::TurnEnded { reason, .. } if is_engine_fault(reason) => {
                self.record(false);
            }
            _ => {}
        }
    }
}

/// Whether a turn's end counts against its engine's version.
fn is_engine_fault(reason: &EndReason) -> bool {
    match reason {
        EndReason::Finished | EndReason::Aborted => false,
        EndReason::Interrupted => true,
        EndReason::Failed { code } => {
            !matches!(code, FailureCode::BudgetSpent | FailureCode::ProgramEnded)
        }
    }
}
