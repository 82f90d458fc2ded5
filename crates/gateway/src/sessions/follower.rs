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

use super::cursor::{Cursor, Step};
use super::engines::{EngineError, OwnerFault};
use super::load::RoutedStream;
use super::owner_table::OwnerEntry;
use super::owners::{FailedOwner, OwnerError, Owners};
use crate::api::sse;
use crate::backoff::Backoff;
use crate::client_stream::{ClientGone, ClientSink};
use crate::sessions::turns::TurnObserver;

/// Maximum time to recover a broken stream before the caller's stream is aborted; covers the lease
/// time, one leader election and one engine that does not reply to a takeover request.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Interval of keep-alive comments on an idle stream.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(10);

const FIRST_WAIT: Duration = Duration::from_millis(10);
const LONGEST_WAIT: Duration = Duration::from_millis(500);

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
    Left(EngineRefusal),
    /// An item that is not forwarded.
    Nothing,
}

/// Why relaying a feed ended.
enum Ended {
    /// The stream's terminal event was forwarded.
    Whole,
    /// The caller disconnected or stopped reading.
    ClientGone,
    /// The events are inconsistent; the stream must be aborted.
    Doubt(&'static str),
    /// The feed failed; the session may continue at another owner.
    Broken(OwnerFault),
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
                    Ended::Whole => return self.sink.finish(),
                    Ended::ClientGone => return self.abandon("the caller disconnected"),
                    Ended::Doubt(why) => return self.abandon(why),
                    Ended::Broken(fault) => failed = Some(FailedOwner { entry, fault }),
                }
            }
            match self.recover(failed.take()).await {
                Ok(found) => feed = Some(found),
                Err(Ended::Whole) => return self.sink.finish(),
                Err(Ended::Doubt(why)) => return self.abandon(why),
                Err(Ended::ClientGone | Ended::Broken(_)) => return self.abandon("not recovered"),
            }
        }
    }

    fn abandon(self, why: &'static str) {
        debug!(session = %self.key, last = %self.cursor.last(), why, "caller's event stream aborted");
        metrics::counter!("hooklug_gateway_streams_cut_total").increment(1);
    }

    async fn relay(
        &mut self,
        owner: &EngineIncarnation,
        mut feed: Feed,
        _routed: RoutedStream,
    ) -> Ended {
        loop {
            let item = tokio::select! {
                item = next_item(&mut feed) => item,
                () = self.sink.closed() => return Ended::ClientGone,
                () = sleep(KEEP_ALIVE_TIME) => {
                    if self.sink.send(sse::KEEP_ALIVE).await.is_err() {
                        return Ended::ClientGone;
                    }
                    continue;
                }
            };
            let passed = match item {
                Err(broken) => return Ended::Broken(self.fault(owner, broken)),
                Ok(FeedItem::Left(refusal)) => return left(refusal),
                Ok(FeedItem::Nothing) => Ok(false),
                Ok(FeedItem::Sync(history)) => self.take_sync(&history).await,
                Ok(FeedItem::Event(event)) => self.take(event).await,
            };
            self.recovering_since = None;
            match passed {
                Ok(true) => return Ended::Whole,
                Ok(false) => {}
                Err(ended) => return ended,
            }
        }
    }

    /// Returns what a failed feed implies about the owner; marks the owner as suspect if its
    /// connection failed.
    fn fault(&self, owner: &EngineIncarnation, broken: FeedBroken) -> OwnerFault {
        if let FeedBroken::Rpc(error @ RpcError::ConnectionLost) = broken {
            self.owners.engines.failed(owner, error);
        }
        OwnerFault::Interrupted
    }

    /// Handles a sync in the middle of a stream, which only fills gaps.
    async fn take_sync(&mut self, history: &[Event]) -> Result<bool, Ended> {
        for event in history {
            if self.take(event.clone()).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Handles a committed event. Returns whether it completed the stream.
    async fn take(&mut self, event: Event) -> Result<bool, Ended> {
        match self.cursor.judge(event.seq) {
            Step::Seen => return Ok(false),
            Step::Next => {}
            Step::Gap => {
                let deadline = Instant::now() + RECOVERY_TIME;
                if self.catch_up(Some(event.seq), deadline).await? {
                    return Ok(true);
                }
                if self.cursor.judge(event.seq) != Step::Next {
                    return Err(Ended::Doubt("events are missing from the feed"));
                }
            }
        }
        self.pass(&event).await
    }

    /// Forwards the next event if it belongs to the followed turn. Returns whether it completed the
    /// stream.
    async fn pass(&mut self, event: &Event) -> Result<bool, Ended> {
        if !self.cursor.advance(event.seq) {
            return Err(Ended::Doubt("events are out of order"));
        }
        if !self.follows(event)? {
            return Ok(false);
        }
        if let Some(observer) = &mut self.observer {
            observer.saw(&event.body);
        }
        let sent = self.sink.send(sse::event(event)).await;
        sent.map_err(|ClientGone| Ended::ClientGone)?;
        Ok(self.is_terminal(&event.body))
    }

    fn follows(&self, event: &Event) -> Result<bool, Ended> {
        match (&self.turn, &event.turn) {
            (None, _) => Ok(true),
            (Some(wanted), Some(found)) if wanted == found => Ok(true),
            (Some(_), None) => Ok(false),
            (Some(_), Some(_)) => Err(Ended::Doubt("the feed contains an event of another turn")),
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
    ) -> Result<bool, Ended> {
        loop {
            let read = self.owners.shards.events(&self.key, self.cursor.last(), deadline).await;
            let (events, more) = read.map_err(|_| Ended::Broken(OwnerFault::Interrupted))?;
            for event in &events {
                if before.is_some_and(|before| event.seq >= before) {
                    return Ok(false);
                }
                if self.pass(event).await? {
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
    ) -> Result<(OwnerEntry, Feed), Ended> {
        let since = *self.recovering_since.get_or_insert_with(Instant::now);
        let deadline = since + RECOVERY_TIME;
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        loop {
            match self.try_recover(failed.take(), deadline).await {
                Ok(found) => return Ok(found),
                Err(Retry::No(ended)) => return Err(ended),
                Err(Retry::Yes(next)) => failed = next,
            }
            let wait = backoff.next_wait();
            if Instant::now() + wait >= deadline {
                warn!(session = %self.key, "event stream not recovered in time");
                return Err(Ended::Doubt("not recovered in time"));
            }
            tokio::select! {
                () = sleep(wait) => {}
                () = self.sink.closed() => return Err(Ended::ClientGone),
            }
        }
    }

    async fn try_recover(
        &mut self,
        failed: Option<FailedOwner>,
        deadline: Instant,
    ) -> Result<(OwnerEntry, Feed), Retry> {
        match self.catch_up(None, deadline).await {
            Ok(true) => return Err(Retry::No(Ended::Whole)),
            Ok(false) => {}
            Err(Ended::Broken(_)) => return Err(Retry::Yes(failed)),
            Err(ended) => return Err(Retry::No(ended)),
        }
        let entry = match self.owners.resolve(&self.key, failed, deadline).await {
            Ok(entry) => entry,
            Err(OwnerError::Closed(_)) => return Err(self.closed(deadline).await),
            Err(OwnerError::NoSession) => return Err(Retry::No(Ended::Doubt("no such session"))),
            Err(OwnerError::Shard(_) | OwnerError::NotNow { .. }) => return Err(Retry::Yes(None)),
        };
        let join = Join { place: entry.place(&self.key), last_seen: Some(self.cursor.last()) };
        match self.owners.engines.open(&entry.owner, &join, deadline).await {
            Ok(items) => Ok((entry, Feed::Session(items))),
            Err(error) => {
                let fault = error.owner_fault().unwrap_or(OwnerFault::Interrupted);
                Err(Retry::Yes(Some(FailedOwner { entry, fault })))
            }
        }
    }

    /// Forwards the last events of a closed session, all of which are committed.
    async fn closed(&mut self, deadline: Instant) -> Retry {
        match self.catch_up(None, deadline).await {
            Ok(true) => Retry::No(Ended::Whole),
            Ok(false) => Retry::No(Ended::Doubt("the session closed without the terminal event")),
            Err(Ended::Broken(_)) => Retry::Yes(None),
            Err(ended) => Retry::No(ended),
        }
    }
}

/// Why a recovery attempt failed, and whether to retry.
enum Retry {
    Yes(Option<FailedOwner>),
    No(Ended),
}

fn left(refusal: EngineRefusal) -> Ended {
    let fault = EngineError::Refused(refusal).owner_fault();
    Ended::Broken(fault.unwrap_or(OwnerFault::Interrupted))
}

/// Why a feed ended.
enum FeedBroken {
    /// The owner ended it, as it does for a slow client.
    Ended,
    /// The connection failed.
    Rpc(RpcError),
}

impl From<RpcError> for FeedBroken {
    fn from(error: RpcError) -> Self {
        Self::Rpc(error)
    }
}

async fn next_item(feed: &mut Feed) -> Result<FeedItem, FeedBroken> {
    match feed {
        Feed::Turn(items) => Ok(match items.next().await? {
            Some(TurnItem::Event(event)) => FeedItem::Event(event),
            Some(TurnItem::Accepted { .. }) => FeedItem::Nothing,
            Some(TurnItem::Refused { refusal, .. }) => FeedItem::Left(refusal),
            None => return Err(FeedBroken::Ended),
        }),
        Feed::Session(items) => Ok(match items.next().await? {
            Some(JoinItem::Event(event)) => FeedItem::Event(event),
            Some(JoinItem::Sync { history, .. }) => FeedItem::Sync(history),
            Some(JoinItem::Refused(refusal)) => FeedItem::Left(refusal),
            None => return Err(FeedBroken::Ended),
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
