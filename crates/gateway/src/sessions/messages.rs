//! Sends messages to a session's owner, following ownership changes until the deadline.

use std::future::Future;
use std::time::Duration;

use hooklug_types::SessionKey;
use tokio::time::{Instant, sleep};

use super::engines::EngineError;
use super::owner_table::OwnerEntry;
use super::owners::{FailedOwner, MessageError, OwnerError, Owners};
use crate::api::problem::Problem;
use crate::api::refusals;
use crate::backoff::Backoff;

const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
const MAX_BACKOFF: Duration = Duration::from_millis(200);

impl Owners {
    /// Sends a message to the owner. The message must be idempotent: it is sent again when the
    /// owner changed or the reply was lost.
    ///
    /// # Errors
    /// [`MessageError`]: the last refusal, or why no owner could be reached in time.
    pub async fn send<T, F, Sent>(
        &self,
        key: &SessionKey,
        deadline: Instant,
        mut message: F,
    ) -> Result<(OwnerEntry, T), MessageError>
    where
        F: FnMut(OwnerEntry) -> Sent,
        Sent: Future<Output = Result<T, EngineError>>,
    {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut failed = None;
        loop {
            let entry = self.resolve(key, failed.take(), deadline).await?;
            let error = match message(entry.clone()).await {
                Ok(answer) => return Ok((entry, answer)),
                Err(error) => error,
            };
            let Some(fault) = error.owner_fault() else { return Err(error.into()) };
            failed = Some(FailedOwner { entry, fault });
            let wait = backoff.next_wait();
            if Instant::now() + wait >= deadline {
                return Err(error.into());
            }
            sleep(wait).await;
        }
    }
}

impl From<MessageError> for Problem {
    fn from(error: MessageError) -> Self {
        match error {
            MessageError::Owner(error) => error.into(),
            MessageError::Engine(EngineError::Refused(refusal)) => refusals::from_engine(&refusal),
            MessageError::Engine(error) => {
                Problem::try_again(error.to_string(), refusals::RETRY_SOON)
            }
        }
    }
}

impl MessageError {
    /// Returns whether the session turned out to be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Owner(OwnerError::Closed(_)))
    }
}
