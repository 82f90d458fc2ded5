//! Streams a session's events to one caller, from the owner while it is reachable and from the
//! shard's committed events otherwise, without lost, duplicate or mixed-up events.

use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::engine::{EngineRefusal, Join, JoinItem, TurnItem};
use hooklug_rpc::{ItemStream, RpcError};
use hooklug_state::shard::{Event, EventBody};
use hooklug_types::{EngineIncarnation, EventSeq, SessionKey, TurnId};
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, warn};

use super::cursor::{Cursor, EventPosition};
use super::engines::{EngineError, OwnerFault};
use super::load::RoutedStream;
use super::owner_table::OwnerEntry;
use super::owners::{FailedOwner, OwnerError, Owners};
use crate::api::sse;
use crate::backoff::Backoff;
use crate::client_stream::{ClientDisconnected, ClientSink};
use crate::sessions::turns::TurnObserver;

/// Maximum time to recover a broken stream before the caller's stream is aborted; covers the lease
/// time, one leader election and one engine that does not reply to a takeover request.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval of keep-alive comments on an idle stream.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Current source of events.
pub enum Feed {
    /// The owner's reply stream of a turn; only this turn's events.
    Turn(ItemStream<TurnItem>),
    /// The owner's session stream, shared by all followers.
    Session(ItemStream<JoinItem>),
}

/// An item of either kind of feed.
enum FeedItem {
    Event(Event),
    Sync(Vec<Event>),
    /// The owner refused, or released the session.
    Refused(EngineRefusal),
    /// An item that is not forwarded.
    Ignored,
}

/// Why relaying a feed ended.
enum RelayEnd {
    /// The stream's terminal event was forwarded.
    Complete,
    /// The caller disconnected or stopped reading.
    ClientDisconnected,
    /// The events are inconsistent; the stream must be aborted.
    Inconsistent(&'static str),
    /// The feed failed; the session may continue at another owner.
    FeedFailed(OwnerFault),
}

/// Streams a session's events to one caller.
pub struct Follower {
    owners: Arc<Owners>,
    key: SessionKey,
    /// The followed turn; `None` for the complete session.
    turn: Option<TurnId>,
    cursor: Cursor,
    sink: ClientSink,
    observer: Option<TurnObserver>,
    recovering_since: Option<Instant>,
}

impl Follower {
    /// Creates a follower of a turn, or of the session without one, that starts after an event that
    /// the caller has.
    #[must_use]
    pub fn new(
        owners: Arc<Owners>,
        key: SessionKey,
        turn: Option<TurnId>,
        after: EventSeq,
        sink: ClientSink,
    ) -> Self {
        let cursor = Cursor::after(after);
        Self { owners, key, turn, cursor, sink, observer: None, recovering_since: None }
    }

    /// Records the turn's progress for its engine's version.
    #[must_use]
    pub fn observed_by(mut self, observer: TurnObserver) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Runs until the stream ends. An aborted stream ends without its terminal event.
    pub async fn run(mut self, first: Option<(OwnerEntry, Feed)>) {
        let mut feed = first;
        let mut failed = None;
        loop {
            if let Some((entry, feed)) = feed.take() {
                let routed = self.owners.engines.load.route(&entry.owner);
                match self.relay(&entry.owner, feed, routed).await {
                    RelayEnd::Complete => return self.sink.finish(),
                    RelayEnd::ClientDisconnected => return self.abort("the caller disconnected"),
                    RelayEnd::Inconsistent(reason) => return self.abort(reason),
                    RelayEnd::FeedFailed(fault) => failed = Some(FailedOwner { entry, fault }),
                }
            }
            match self.recover(failed.take()).await {
                Ok(found) => feed = Some(found),
                Err(RelayEnd::Complete) => return self.sink.finish(),
                Err(RelayEnd::Inconsistent(reason)) => return self.abort(reason),
                Err(RelayEnd::ClientDisconnected | RelayEnd::FeedFailed(_)) => {
                    return self.abort("not recovered");
                }
            }
        }
    }

    fn abort(self, reason: &'static str) {
        debug!(session = %self.key, last = %self.cursor.last(), reason, "caller's event stream aborted");
        metrics::counter!("hooklug_gateway_streams_cut_total").increment(1);
    }

    async fn relay(
        &mut self,
        owner: &EngineIncarnation,
        mut feed: Feed,
        _routed: RoutedStream,
    ) -> RelayEnd {
        loop {
            let item = tokio::select! {
                item = next_item(&mut feed) => item,
                () = self.sink.closed() => return RelayEnd::ClientDisconnected,
                () = sleep(KEEP_ALIVE_INTERVAL) => {
                    if self.sink.send(sse::KEEP_ALIVE).await.is_err() {
                        return RelayEnd::ClientDisconnected;
                    }
                    continue;
                }
            };
            let complete = match item {
                Err(error) => return RelayEnd::FeedFailed(self.fault(owner, error)),
                Ok(FeedItem::Refused(refusal)) => return owner_refused(refusal),
                Ok(FeedItem::Ignored) => Ok(false),
                Ok(FeedItem::Sync(history)) => self.apply_sync(&history).await,
                Ok(FeedItem::Event(event)) => self.accept(event).await,
            };
            self.recovering_since = None;
            match complete {
                Ok(true) => return RelayEnd::Complete,
                Ok(false) => {}
                Err(ended) => return ended,
            }
        }
    }

    /// Returns what a failed feed implies about the owner; marks the owner as suspect if its
    /// connection failed.
    fn fault(&self, owner: &EngineIncarnation, error: FeedError) -> OwnerFault {
        if let FeedError::Rpc(error @ RpcError::ConnectionLost) = error {
            self.owners.engines.mark_failed(owner, error);
        }
        OwnerFault::ConnectionLost
    }

    /// Handles a sync in the middle of a stream, which only fills gaps.
    async fn apply_sync(&mut self, history: &[Event]) -> Result<bool, RelayEnd> {
        for event in history {
            if self.accept(event.clone()).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Handles a committed event. Returns whether it completed the stream.
    async fn accept(&mut self, event: Event) -> Result<bool, RelayEnd> {
        match self.cursor.classify(event.seq) {
            EventPosition::Duplicate => return Ok(false),
            EventPosition::Next => {}
            EventPosition::Gap => {
                let deadline = Instant::now() + RECOVERY_TIMEOUT;
                if self.catch_up(Some(event.seq), deadline).await? {
                    return Ok(true);
                }
                if self.cursor.classify(event.seq) != EventPosition::Next {
                    return Err(RelayEnd::Inconsistent("events are missing from the feed"));
                }
            }
        }
        self.forward(&event).await
    }

    /// Forwards the next event if it belongs to the followed turn. Returns whether it completed the
    /// stream.
    async fn forward(&mut self, event: &Event) -> Result<bool, RelayEnd> {
        if !self.cursor.advance(event.seq) {
            return Err(RelayEnd::Inconsistent("events are out of order"));
        }
        if !self.is_followed(event)? {
            return Ok(false);
        }
        if let Some(observer) = &mut self.observer {
            observer.observe(&event.body);
        }
        let sent = self.sink.send(sse::event(event)).await;
        sent.map_err(|ClientDisconnected| RelayEnd::ClientDisconnected)?;
        Ok(self.is_terminal(&event.body))
    }

    fn is_followed(&self, event: &Event) -> Result<bool, RelayEnd> {
        match (&self.turn, &event.turn) {
            (None, _) => Ok(true),
            (Some(followed), Some(found)) if followed == found => Ok(true),
            (Some(_), None) => Ok(false),
            (Some(_), Some(_)) => {
                Err(RelayEnd::Inconsistent("the feed contains an event of another turn"))
            }
        }
    }

    fn is_terminal(&self, body: &EventBody) -> bool {
        match body {
            EventBody::TurnEnded { .. } => self.turn.is_some(),
            EventBody::Closed => self.turn.is_none(),
            _ => false,
        }
    }

    /// Forwards committed events from the shard, up to but excluding `before` or all of them.
    /// Returns whether the stream is complete.
    async fn catch_up(
        &mut self,
        before: Option<EventSeq>,
        deadline: Instant,
    ) -> Result<bool, RelayEnd> {
        loop {
            let read = self.owners.shards.events(&self.key, self.cursor.last(), deadline).await;
            let (events, more) =
                read.map_err(|_| RelayEnd::FeedFailed(OwnerFault::ConnectionLost))?;
            for event in &events {
                if before.is_some_and(|before| event.seq >= before) {
                    return Ok(false);
                }
                if self.forward(event).await? {
                    return Ok(true);
                }
            }
            if !more {
                return Ok(false);
            }
        }
    }

    /// Finds the session's owner after its feed failed and resumes after the last forwarded event.
    async fn recover(
        &mut self,
        mut failed: Option<FailedOwner>,
    ) -> Result<(OwnerEntry, Feed), RelayEnd> {
        let since = *self.recovering_since.get_or_insert_with(Instant::now);
        let deadline = since + RECOVERY_TIMEOUT;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        loop {
            match self.try_recover(failed.take(), deadline).await {
                Ok(found) => return Ok(found),
                Err(RecoveryError::Final(ended)) => return Err(ended),
                Err(RecoveryError::Retryable(next)) => failed = next,
            }
            let wait = backoff.next_wait();
            if Instant::now() + wait >= deadline {
                warn!(session = %self.key, "event stream not recovered in time");
                return Err(RelayEnd::Inconsistent("not recovered in time"));
            }
            tokio::select! {
                () = sleep(wait) => {}
                () = self.sink.closed() => return Err(RelayEnd::ClientDisconnected),
            }
        }
    }

    async fn try_recover(
        &mut self,
        failed: Option<FailedOwner>,
        deadline: Instant,
    ) -> Result<(OwnerEntry, Feed), RecoveryError> {
        match self.catch_up(None, deadline).await {
            Ok(true) => return Err(RecoveryError::Final(RelayEnd::Complete)),
            Ok(false) => {}
            Err(RelayEnd::FeedFailed(_)) => return Err(RecoveryError::Retryable(failed)),
            Err(ended) => return Err(RecoveryError::Final(ended)),
        }
        let entry = match self.owners.resolve(&self.key, failed, deadline).await {
            Ok(entry) => entry,
            Err(OwnerError::Closed(_)) => return Err(self.finish_closed(deadline).await),
            Err(OwnerError::NoSession) => {
                return Err(RecoveryError::Final(RelayEnd::Inconsistent("no such session")));
            }
            Err(OwnerError::Shard(_) | OwnerError::Unavailable { .. }) => {
                return Err(RecoveryError::Retryable(None));
            }
        };
        let join =
            Join { location: entry.location(&self.key), last_seen: Some(self.cursor.last()) };
        match self.owners.engines.open(&entry.owner, &join, deadline).await {
            Ok(items) => Ok((entry, Feed::Session(items))),
            Err(error) => {
                let fault = error.owner_fault().unwrap_or(OwnerFault::ConnectionLost);
                Err(RecoveryError::Retryable(Some(FailedOwner { entry, fault })))
            }
        }
    }

    /// Forwards the last events of a closed session, all of which are committed.
    async fn finish_closed(&mut self, deadline: Instant) -> RecoveryError {
        match self.catch_up(None, deadline).await {
            Ok(true) => RecoveryError::Final(RelayEnd::Complete),
            Ok(false) => RecoveryError::Final(RelayEnd::Inconsistent(
                "the session closed without the terminal event",
            )),
            Err(RelayEnd::FeedFailed(_)) => RecoveryError::Retryable(None),
            Err(ended) => RecoveryError::Final(ended),
        }
    }
}

/// Why a recovery attempt failed, and whether to retry.
enum RecoveryError {
    Retryable(Option<FailedOwner>),
    Final(RelayEnd),
}

fn owner_refused(refusal: EngineRefusal) -> RelayEnd {
    let fault = EngineError::Refused(refusal).owner_fault();
    RelayEnd::FeedFailed(fault.unwrap_or(OwnerFault::ConnectionLost))
}

/// Why a feed ended.
enum FeedError {
    /// The owner ended it, as it does for a slow client.
    Closed,
    /// The connection failed.
    Rpc(RpcError),
}

impl From<RpcError> for FeedError {
    fn from(error: RpcError) -> Self {
        Self::Rpc(error)
    }
}

async fn next_item(feed: &mut Feed) -> Result<FeedItem, FeedError> {
    match feed {
        Feed::Turn(items) => Ok(match items.next().await? {
            Some(TurnItem::Event(event)) => FeedItem::Event(event),
            Some(TurnItem::Accepted { .. }) => FeedItem::Ignored,
            Some(TurnItem::Refused { refusal, .. }) => FeedItem::Refused(refusal),
            None => return Err(FeedError::Closed),
        }),
        Feed::Session(items) => Ok(match items.next().await? {
            Some(JoinItem::Event(event)) => FeedItem::Event(event),
            Some(JoinItem::Sync { history, .. }) => FeedItem::Sync(history),
            Some(JoinItem::Refused(refusal)) => FeedItem::Refused(refusal),
            None => return Err(FeedError::Closed),
        }),
    }
}

/// Returns the next item of a stream before the deadline; used for the first reply.
pub async fn first_item<T: serde::de::DeserializeOwned>(
    items: &mut ItemStream<T>,
    deadline: Instant,
) -> Result<T, EngineError> {
    let left = deadline.saturating_duration_since(Instant::now());
    match timeout(left, items.next()).await {
        Err(_) => Err(EngineError::Lost("no reply before the deadline".to_owned())),
        Ok(Err(error)) => Err(error.into()),
        Ok(Ok(None)) => Err(EngineError::Lost("the stream ended".to_owned())),
        Ok(Ok(Some(item))) => Ok(item),
    }
}
