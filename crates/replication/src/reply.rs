//! The reply to a command.

use tokio::sync::oneshot;

use crate::ReplicationError;

/// Outcome of a command or a membership change: the state machine's encoded result, or an error.
pub type Outcome = Result<Vec<u8>, ReplicationError>;

/// One-shot callback for the outcome of a command or membership change. It is called on whichever
/// thread determines the outcome and must not block. If it is dropped before being sent, the
/// outcome is [`ReplicationError::Uncertain`].
pub struct Reply {
    /// `None` after the outcome is sent.
    callback: Option<Box<dyn FnOnce(Outcome) + Send>>,
}

impl Reply {
    /// Creates a reply that calls a function with the outcome.
    pub fn new(callback: impl FnOnce(Outcome) + Send + 'static) -> Self {
        Self { callback: Some(Box::new(callback)) }
    }

    /// Sends the outcome.
    pub fn send(mut self, outcome: Outcome) {
        self.complete(outcome);
    }

    fn complete(&mut self, outcome: Outcome) {
        if let Some(callback) = self.callback.take() {
            callback(outcome);
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        self.complete(Err(ReplicationError::Uncertain));
    }
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply").finish_non_exhaustive()
    }
}

impl From<oneshot::Sender<Outcome>> for Reply {
    fn from(sender: oneshot::Sender<Outcome>) -> Self {
        Self::new(move |outcome| drop(sender.send(outcome)))
    }
}
