//! Where the answer to a command goes.

use tokio::sync::oneshot;

use crate::ReplicationError;

/// What a command or a membership change came to: the state machine's encoded reply.
pub type Outcome = Result<Vec<u8>, ReplicationError>;

/// Takes the outcome of one command or membership change, once, in whichever thread knows it. Must
/// not block. Dropped without one, it says that the outcome is uncertain.
pub struct Reply {
    /// `None` once it is used.
    answer: Option<Box<dyn FnOnce(Outcome) + Send>>,
}

impl Reply {
    /// A reply that calls a function.
    pub fn new(answer: impl FnOnce(Outcome) + Send + 'static) -> Self {
        Self { answer: Some(Box::new(answer)) }
    }

    /// Gives the outcome.
    pub fn send(mut self, outcome: Outcome) {
        self.give(outcome);
    }

    fn give(&mut self, outcome: Outcome) {
        if let Some(answer) = self.answer.take() {
            answer(outcome);
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        self.give(Err(ReplicationError::Uncertain));
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
