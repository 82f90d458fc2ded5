//! Starts turns at a session's owner and joins sessions.

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
use crate::version_monitor::VersionMonitor;

/// A turn request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRequest {
    /// The session.
    pub key: SessionKey,
    /// The turn.
    pub turn: TurnId,
    /// The preceding turn.
    pub after: Option<TurnId>,
    /// The new input.
    pub input: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Group for window placement.
    pub group: Option<WindowGroup>,
    /// Whether the turn may use the capacity reserved for urgent work.
    pub urgent: bool,
    /// Last event that the caller already has; 0 for none.
    pub last_seen: EventSeq,
}

impl TurnRequest {
    fn to_message(&self, entry: &OwnerEntry, deadline: Instant) -> RunTurn {
        let left = deadline.saturating_duration_since(Instant::now());
        RunTurn {
            location: entry.location(&self.key),
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

/// A turn that its owner accepted, committed and is streaming.
pub struct RunningTurn {
    /// The owner.
    pub entry: OwnerEntry,
    /// The turn's record.
    pub record: TurnRecord,
    /// The turn's events.
    pub feed: Feed,
}

impl Owners {
    /// Starts a turn. Resending the same turn attaches to it, so the message may be sent again.
    ///
    /// # Errors
    /// [`MessageError`] when no owner accepted the request in time.
    pub async fn run_turn(
        &self,
        request: &TurnRequest,
        deadline: Instant,
    ) -> Result<RunningTurn, MessageError> {
        let sent = self.send(&request.key, deadline, |entry| async move {
            let message = request.to_message(&entry, deadline);
            let mut items = self.engines.open(&entry.owner, &message, deadline).await?;
            let record = self.wait_accepted(&entry, &mut items, deadline).await?;
            Ok((record, Feed::Turn(items)))
        });
        let (entry, (record, feed)) = sent.await?;
        Ok(RunningTurn { entry, record, feed })
    }

    async fn wait_accepted(
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
            TurnItem::Event(_) => {
                Err(EngineError::Lost("an event arrived before the turn was accepted".to_owned()))
            }
        }
    }

    /// Joins a session from its beginning: returns all events so far and the stream of later ones.
    ///
    /// # Errors
    /// [`MessageError`] when no owner accepted the request in time.
    pub async fn join(
        &self,
        key: &SessionKey,
        deadline: Instant,
    ) -> Result<(OwnerEntry, Vec<Event>, Feed), MessageError> {
        let sent = self.send(key, deadline, |entry| async move {
            let message = Join { location: entry.location(key), last_seen: None };
            let mut items = self.engines.open(&entry.owner, &message, deadline).await?;
            match first_item(&mut items, deadline).await? {
                JoinItem::Sync { history, .. } => Ok((history, Feed::Session(items))),
                JoinItem::Refused(refusal) => Err(refusal.into()),
                JoinItem::Event(_) => Err(EngineError::Lost(
                    "an event arrived before the session's history".to_owned(),
                )),
            }
        });
        let (entry, (history, feed)) = sent.await?;
        Ok((entry, history, feed))
    }
}

/// Records a turn's time to first token and its failures for the engine's version.
#[derive(Debug)]
pub struct TurnObserver {
    version_monitor: VersionMonitor,
    service: ServiceName,
    version: ServiceVersion,
    route: RouteName,
    started: Instant,
    seen_token: bool,
}

impl TurnObserver {
    /// Creates an observer of a turn requested at an instant.
    #[must_use]
    pub fn new(
        version_monitor: VersionMonitor,
        service: ServiceName,
        version: ServiceVersion,
        route: RouteName,
        started: Instant,
    ) -> Self {
        Self { version_monitor, service, version, route, started, seen_token: false }
    }

    fn record(&self, success: bool) {
        let latency = self.started.elapsed();
        self.version_monitor.record(&self.service, &self.version, &self.route, success, latency);
    }

    /// Records an event of the turn.
    pub fn observe(&mut self, body: &EventBody) {
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

/// Returns whether the end of a turn counts against its engine's version.
fn is_engine_fault(reason: &EndReason) -> bool {
    match reason {
        EndReason::Finished | EndReason::Aborted => false,
        EndReason::Interrupted => true,
        EndReason::Failed { code } => {
            !matches!(code, FailureCode::BudgetSpent | FailureCode::ProgramEnded)
        }
    }
}
