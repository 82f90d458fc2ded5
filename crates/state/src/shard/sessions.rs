//! Sessions: open, takeover, hand-over and close. The epoch fences every former owner.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use hooklug_types::{EndReason, SessionEpoch, SessionKey};

use super::command::{OpenSession, ShardRefusal, ShardReply, TakeSession};
use super::event::EventBody;
use super::event_log::EventLog;
use super::expiry::ExpiryItem;
use super::machine::{CommandResult, SessionEntry, ShardMachine};
use super::query::SessionRecord;

impl ShardMachine {
    /// Opens a session at an owner. If the session exists, it keeps its owner; if it has none, the
    /// requesting engine becomes the owner.
    pub(super) fn open_session(&mut self, open: OpenSession) -> CommandResult {
        let first_epoch = self.state.epoch_floor.next();
        let program = self.program_mut(&open.key.program)?;
        let Ok(session) = program.session_mut(&open.key.session) else {
            let entry = SessionEntry::new(open, first_epoch);
            let record = entry.record.clone();
            program.sessions.insert(record.key.session.clone(), entry.into());
            return Ok(ShardReply::Session(record));
        };
        if session.record.closed {
            return Err(ShardRefusal::SessionClosed);
        }
        if session.record.owner.is_none() {
            session.record.owner = Some(open.owner);
            session.record.version = open.version;
            session.record.epoch = session.record.epoch.next();
        }
        Ok(ShardReply::Session(session.record.clone()))
    }

    /// Takes over a session and ends its open turn as `Interrupted`. This does not check that the
    /// former owner's lease has expired: the lease may be in another shard, and the sender must
    /// have had its expiry committed there.
    pub(super) fn take_session(&mut self, take: TakeSession) -> CommandResult {
        let session = self.session_mut(&take.key)?;
        let record = &session.record;
        let already_applied = record.epoch == take.expected_epoch.next()
            && record.owner.as_ref() == Some(&take.new_owner);
        if already_applied {
            return Ok(ShardReply::Session(record.clone()));
        }
        if record.closed {
            return Err(ShardRefusal::SessionClosed);
        }
        if record.epoch != take.expected_epoch {
            return Err(record.stale_epoch());
        }
        self.seal_open_turn(&take.key)?;
        let session = self.session_mut(&take.key)?;
        session.record.owner = Some(take.new_owner);
        session.record.version = take.version;
        session.record.epoch = session.record.epoch.next();
        Ok(ShardReply::Session(session.record.clone()))
    }

    /// Ends a session's open turn, if there is one, as `Interrupted`.
    pub(super) fn seal_open_turn(&mut self, key: &SessionKey) -> Result<(), ShardRefusal> {
        let session = self.session_mut(key)?;
        match session.record.open_turn.clone() {
            Some(turn) => self.end_turn(key, &turn, EndReason::Interrupted).map(drop),
            None => Ok(()),
        }
    }

    /// Releases ownership of a session between turns.
    pub(super) fn hand_over(&mut self, key: &SessionKey, epoch: SessionEpoch) -> CommandResult {
        let session = self.session_mut(key)?;
        let record = &mut session.record;
        if record.closed {
            return Err(ShardRefusal::SessionClosed);
        }
        let already_released =
            record.owner.is_none() && (record.epoch == epoch || record.epoch == epoch.next());
        if already_released {
            return Ok(ShardReply::Session(record.clone()));
        }
        if record.epoch != epoch {
            return Err(record.stale_epoch());
        }
        if let Some(turn) = record.open_turn.clone() {
            return Err(ShardRefusal::TurnOpen { turn });
        }
        record.owner = None;
        record.epoch = epoch.next();
        Ok(ShardReply::Session(record.clone()))
    }

    /// Closes a session between turns. Closing a closed session succeeds under any epoch.
    pub(super) fn close_session(&mut self, key: &SessionKey, epoch: SessionEpoch) -> CommandResult {
        let clock = self.state.clock;
        let expires_at = self.retention_end();
        let program = self.program_mut(&key.program)?;
        let session = program.session_mut(&key.session)?;
        if session.record.closed {
            return Ok(ShardReply::Session(session.record.clone()));
        }
        if session.record.epoch != epoch {
            return Err(session.record.stale_epoch());
        }
        if let Some(turn) = session.record.open_turn.clone() {
            return Err(ShardRefusal::TurnOpen { turn });
        }
        session.push_event(None, EventBody::Closed);
        session.record.owner = None;
        session.record.closed = true;
        let record = session.record.clone();
        program.last_ended = clock;
        self.schedule_expiry(expires_at, ExpiryItem::Session(key.clone()));
        Ok(ShardReply::Session(record))
    }

    /// Returns up to `limit` sessions that are not closed, in key order, after the given key.
    pub(super) fn open_sessions(
        &self,
        after: Option<&SessionKey>,
        limit: u32,
    ) -> Vec<SessionRecord> {
        let from = after.map_or(Bound::Unbounded, |key| Bound::Included(key.program.clone()));
        self.state
            .programs
            .range((from, Bound::Unbounded))
            .flat_map(|(_, program)| program.sessions.values())
            .map(|session| &session.record)
            .filter(|record| !record.closed && after.is_none_or(|key| record.key > *key))
            .take(limit as usize)
            .cloned()
            .collect()
    }
}

impl SessionEntry {
    fn new(open: OpenSession, epoch: SessionEpoch) -> Self {
        let log = EventLog::default();
        let record = SessionRecord {
            key: open.key,
            owner: Some(open.owner),
            epoch,
            service: open.service,
            version: open.version,
            prefix: open.prefix,
            head: None,
            open_turn: None,
            next_seq: log.next_seq(),
            closed: false,
        };
        Self { record, turns: BTreeMap::new(), log, tool_results: BTreeSet::new() }
    }

    /// Appends an event to the stream and returns its sequence number.
    pub(super) fn push_event(
        &mut self,
        turn: Option<hooklug_types::TurnId>,
        body: EventBody,
    ) -> hooklug_types::EventSeq {
        let seq = self.log.push(turn, body);
        self.record.next_seq = self.log.next_seq();
        seq
    }

    /// Accepts a write only if the session is owned, or was closed, under this epoch.
    pub(super) fn check_epoch(&self, epoch: SessionEpoch) -> Result<(), ShardRefusal> {
        let owned = self.record.owner.is_some() || self.record.closed;
        if owned && self.record.epoch == epoch { Ok(()) } else { Err(self.record.stale_epoch()) }
    }
}

impl SessionRecord {
    pub(super) fn stale_epoch(&self) -> ShardRefusal {
        ShardRefusal::StaleEpoch { record: Box::new(self.clone()) }
    }
}
