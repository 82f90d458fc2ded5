//! Opens sessions, takes them over from other engines and starts their loops.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use hooklug_protocol::engine::{EngineRefusal, OpenSession, TakeSession};
use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_session::{Message, Session};
use hooklug_state::shard::{
    OpenSession as OpenCommand, SessionRecord, ShardCommand, ShardRefusal, ShardReply,
    TakeSession as TakeCommand,
};
use hooklug_types::{EngineIncarnation, SessionKey, SessionLocation, shard_of};
use tokio::time::Instant;

use crate::loader::{LoadError, group_of, load, read_record};
use crate::session_task::{self, Mailbox, loop_now};
use crate::shared::{STORE_TIMEOUT, Shared};

/// Opens a session on this engine, unless another engine owns it.
///
/// # Errors
/// [`EngineRefusal`] if the session cannot be opened here.
pub async fn open(
    shared: &Arc<Shared>,
    request: OpenSession,
) -> Result<SessionRecord, EngineRefusal> {
    check_incarnation(shared, &request.engine)?;
    let _opening_lock = shared.table.lock_opening(&request.key).await;
    if shared.table.get(&request.key).is_none() {
        check_accepts_sessions(shared)?;
    }
    if request.service != shared.settings.service {
        let reason = format!("this engine serves {}", shared.settings.service);
        return Err(EngineRefusal::NotReady { reason });
    }
    let command = ShardCommand::OpenSession(OpenCommand {
        key: request.key.clone(),
        owner: shared.engine.clone(),
        service: request.service,
        version: shared.settings.version.clone(),
        prefix: request.prefix,
    });
    let record = execute(shared, &request.key, &command).await?;
    ensure_loop(shared, record).await
}

/// Takes over a session without an owner or whose owner's lease has expired; the shard of the lease
/// decides whether it has.
///
/// # Errors
/// [`EngineRefusal`] if the session cannot be taken over.
pub async fn take_over(
    shared: &Arc<Shared>,
    request: TakeSession,
) -> Result<SessionRecord, EngineRefusal> {
    check_incarnation(shared, &request.engine)?;
    let _opening_lock = shared.table.lock_opening(&request.key).await;
    let record = record_of(shared, &request.key).await?;
    if record.owner.as_ref() == Some(&shared.engine) {
        return ensure_loop(shared, record).await;
    }
    check_accepts_sessions(shared)?;
    if record.closed || record.epoch != request.expected_epoch {
        return Err(not_owner(record));
    }
    if let Some(owner) = &record.owner
        && !has_expired(shared, owner).await?
    {
        return Err(not_owner(record));
    }
    let command = ShardCommand::TakeSession(TakeCommand {
        key: request.key.clone(),
        expected_epoch: request.expected_epoch,
        new_owner: shared.engine.clone(),
        version: shared.settings.version.clone(),
    });
    let record = execute(shared, &request.key, &command).await?;
    ensure_loop(shared, record).await
}

/// Finds the loop of a session that a gateway expects on this engine; starts it if the shard
/// records this engine as the owner.
///
/// # Errors
/// [`EngineRefusal::NotOwner`] with the shard's record if this engine is not the owner.
pub async fn find_mailbox(
    shared: &Arc<Shared>,
    location: &SessionLocation,
) -> Result<Mailbox, EngineRefusal> {
    check_incarnation(shared, &location.owner)?;
    if !shared.lease.is_held() {
        return Err(EngineRefusal::LeaseLost);
    }
    if let Some(session) = shared.table.get(&location.key) {
        if session.epoch >= location.epoch {
            return Ok(session.mailbox);
        }
        // The gateway has seen a later epoch than this loop; the shard's record decides.
        let record = record_of(shared, &location.key).await?;
        session.mailbox.send(Message::OwnerChanged { record: Box::new(record.clone()) });
        if record.epoch != session.epoch {
            return Err(not_owner(record));
        }
        return Ok(session.mailbox);
    }
    let _opening_lock = shared.table.lock_opening(&location.key).await;
    if let Some(session) = shared.table.get(&location.key) {
        return Ok(session.mailbox);
    }
    let record = record_of(shared, &location.key).await?;
    get_or_start_loop(shared, record).await
}

/// Reads the session's record from its shard.
///
/// # Errors
/// When the session does not exist, or the shard did not reply.
pub async fn record_of(shared: &Shared, key: &SessionKey) -> Result<SessionRecord, EngineRefusal> {
    let record = read_record(shared.state.as_ref(), key, store_deadline()).await;
    record.map_err(load_refusal)?.ok_or(EngineRefusal::Shard(ShardRefusal::NoSession))
}

/// A refusal that carries the record with the current owner.
#[must_use]
pub fn not_owner(record: SessionRecord) -> EngineRefusal {
    EngineRefusal::NotOwner { record: Some(Box::new(record)) }
}

async fn ensure_loop(
    shared: &Arc<Shared>,
    record: SessionRecord,
) -> Result<SessionRecord, EngineRefusal> {
    get_or_start_loop(shared, record.clone()).await.map(|_| record)
}

/// Returns the loop of a session whose record names this engine as the owner, and starts it if
/// needed. The caller holds the key's opening lock.
async fn get_or_start_loop(
    shared: &Arc<Shared>,
    record: SessionRecord,
) -> Result<Mailbox, EngineRefusal> {
    if record.closed || record.owner.as_ref() != Some(&shared.engine) {
        return Err(not_owner(record));
    }
    if let Some(session) = shared.table.get(&record.key) {
        return Ok(session.mailbox);
    }
    let epoch = record.epoch;
    let loaded =
        load(shared.state.as_ref(), record, store_deadline()).await.map_err(load_refusal)?;
    let session = Session::new(loaded, shared.session_config(), loop_now());
    let mailbox = session_task::start(shared, session, epoch);
    if shared.handing_over.load(Ordering::Acquire) {
        mailbox.send(Message::HandOver);
    }
    Ok(mailbox)
}

async fn execute(
    shared: &Shared,
    key: &SessionKey,
    command: &ShardCommand,
) -> Result<SessionRecord, EngineRefusal> {
    let reply = shared.state.execute_shard(group_of(key), command, store_deadline()).await;
    match reply {
        Ok(ShardReply::Session(record)) => Ok(record),
        Ok(ShardReply::Refused(ShardRefusal::StaleEpoch { record })) => {
            Err(EngineRefusal::NotOwner { record: Some(record) })
        }
        Ok(ShardReply::Refused(refusal)) => Err(EngineRefusal::Shard(refusal)),
        Ok(_) | Err(_) => Err(EngineRefusal::StoreUnavailable),
    }
}

async fn has_expired(shared: &Shared, owner: &EngineIncarnation) -> Result<bool, EngineRefusal> {
    let group = shard_of(owner.engine.as_str());
    let subject = LeaseSubject::Engine(owner.clone());
    match shared.state.expire_lease(group, subject, store_deadline()).await {
        Ok(LeaseStatus::Expired | LeaseStatus::Unknown) => Ok(true),
        Ok(LeaseStatus::Held { .. }) => Ok(false),
        Err(_) => Err(EngineRefusal::StoreUnavailable),
    }
}

fn check_incarnation(shared: &Shared, expected: &EngineIncarnation) -> Result<(), EngineRefusal> {
    if *expected == shared.engine {
        Ok(())
    } else {
        Err(EngineRefusal::WrongIncarnation { running: shared.engine.clone() })
    }
}

fn check_accepts_sessions(shared: &Shared) -> Result<(), EngineRefusal> {
    if shared.is_draining() {
        return Err(EngineRefusal::Draining);
    }
    match shared.unready_reason() {
        Some(reason) => Err(EngineRefusal::NotReady { reason: reason.to_owned() }),
        None => Ok(()),
    }
}

fn load_refusal(_: LoadError) -> EngineRefusal {
    EngineRefusal::StoreUnavailable
}

fn store_deadline() -> Instant {
    Instant::now() + STORE_TIMEOUT
}
