//! How long a round of discovery waits for its answers. Pure.

use std::time::Duration;

use super::CALL_TIME;

/// Wait of the first round (ours): a machine that is still dark must not hold up a node that starts together with it.
const FIRST_WAIT: Duration = Duration::from_millis(150);

/// Waits of the rounds: short at first, then doubled up to the time of an ordinary call, for peers that are far away.
#[derive(Debug, Clone, Copy)]
pub struct AskPatience {
    next: Duration,
}

impl Default for AskPatience {
    fn default() -> Self {
        Self { next: FIRST_WAIT }
    }
}

impl AskPatience {
    /// Longest wait for the answers of the next round.
    pub fn next_round(&mut self) -> Duration {
        let wait = self.next;
        self.next = (wait * 2).min(CALL_TIME);
        wait
    }
}
