//! The turns of this gateway whose end is not recorded yet. A second request with the id of one of
//! them is not run: it would share the reservation of the first, which settles it when it ends.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hooklug_types::{ProgramId, TurnId};

use crate::TurnRequest;

type TurnKey = (ProgramId, TurnId);

/// The running turns of a process. Cheap to clone; clones share the turns.
#[derive(Debug, Clone, Default)]
pub struct RunningTurns {
    turns: Arc<Mutex<HashSet<TurnKey>>>,
}

impl RunningTurns {
    /// Registers a turn until the returned guard is dropped; `None` if it is registered already.
    #[must_use]
    pub fn register(&self, turn: &TurnRequest) -> Option<RunningTurn> {
        let key = (turn.program.clone(), turn.turn.clone());
        let is_new = self.lock().insert(key.clone());
        is_new.then(|| RunningTurn { key, turns: self.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<TurnKey>> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A registered turn.
#[derive(Debug)]
pub struct RunningTurn {
    key: TurnKey,
    turns: RunningTurns,
}

impl RunningTurn {
    /// The turn's program.
    #[must_use]
    pub fn program(&self) -> &ProgramId {
        &self.key.0
    }
}

impl Drop for RunningTurn {
    fn drop(&mut self) {
        self.turns.lock().remove(&self.key);
    }
}
