//! Opens sessions: selects an engine, which records its ownership itself; the first writer wins.

use hooklug_protocol::engine::{EngineRefusal, OpenSession};
use hooklug_state::shard::{SessionRecord, ShardRefusal};
use hooklug_types::{EngineIncarnation, PrefixId, ServiceName, SessionKey};
use tokio::time::{Instant, sleep};
use tracing::info;

use super::engines::EngineError;
use super::owners::{OwnerError, Owners, unavailable};
use super::placement::{Candidate, choose};
use super::takeover::PLACEMENT_ATTEMPT_TIMEOUT;
use crate::api::problem::{Code, Problem};
use crate::api::refusals;
use crate::backoff::Backoff;

/// Parameters of a new session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
    /// The session.
    pub key: SessionKey,
    /// Service that runs its model.
    pub service: ServiceName,
    /// Shared prefix of its prompts.
    pub prefix: Option<PrefixId>,
}

impl Owners {
    /// Opens a session, or returns the record if it is already open.
    ///
    /// # Errors
    /// A problem for the caller; `try_again` when no engine accepted the session in time.
    pub async fn open(
        &self,
        opening: &Opening,
        deadline: Instant,
    ) -> Result<SessionRecord, Problem> {
        if let Some(record) = self.shards.session(&opening.key, deadline).await? {
            return check_existing(opening, record);
        }
        let mut backoff = Backoff::new(
            std::time::Duration::from_millis(20),
            std::time::Duration::from_millis(500),
        );
        let mut tried: Vec<EngineIncarnation> = Vec::new();
        loop {
            let mut open = self.candidates(&opening.service);
            open.retain(|c| !tried.contains(&c.engine));
            let chosen = choose(&open, opening.prefix.as_ref(), &self.zone, &mut rand::rng());
            if let Some(candidate) = chosen {
                if let Some(record) = self.request_open(opening, &candidate, deadline).await? {
                    return check_existing(opening, record);
                }
                tried.push(candidate.engine);
                continue;
            }
            let wait = backoff.next_wait();
            if Instant::now() + wait >= deadline {
                return Err(unavailable("no engine is available for the session").into());
            }
            sleep(wait).await;
            tried.clear();
        }
    }

    /// Asks one engine to open the session; `None` when another engine should be tried.
    async fn request_open(
        &self,
        opening: &Opening,
        candidate: &Candidate,
        deadline: Instant,
    ) -> Result<Option<SessionRecord>, Problem> {
        let request = OpenSession {
            key: opening.key.clone(),
            engine: candidate.engine.clone(),
            service: opening.service.clone(),
            prefix: opening.prefix.clone(),
        };
        let try_until = deadline.min(Instant::now() + PLACEMENT_ATTEMPT_TIMEOUT);
        match self.engines.call(&candidate.engine, &request, try_until).await {
            Ok(record) => {
                info!(session = %opening.key, engine = %candidate.engine, epoch = %record.epoch, "session opened");
                self.learn(&record);
                Ok(Some(record))
            }
            Err(EngineError::Refused(EngineRefusal::Shard(ShardRefusal::StaleEpoch {
                record,
            }))) => {
                self.learn(&record);
                Ok(Some(*record))
            }
            Err(EngineError::Refused(EngineRefusal::NotOwner { record: Some(record) })) => {
                self.learn(&record);
                Ok(Some(*record))
            }
            Err(EngineError::Refused(EngineRefusal::Shard(refusal))) => {
                Err(refusals::from_shard(&refusal))
            }
            // The engine may have recorded its ownership: read the record.
            Err(EngineError::Lost(_)) => Ok(self.shards.session(&opening.key, deadline).await?),
            Err(EngineError::Refused(_) | EngineError::Unreachable(_)) => Ok(None),
        }
    }
}

/// Checks that an existing session matches the request.
fn check_existing(opening: &Opening, record: SessionRecord) -> Result<SessionRecord, Problem> {
    if record.closed {
        return Err(OwnerError::Closed(Box::new(record)).into());
    }
    if record.service != opening.service {
        let detail = format!("the session uses service {}", record.service);
        return Err(Problem::field(Code::SessionDiffers, "model", detail));
    }
    if record.prefix != opening.prefix {
        return Err(Problem::field(
            Code::SessionDiffers,
            "prefix",
            "the session has another prefix",
        ));
    }
    Ok(record)
}
