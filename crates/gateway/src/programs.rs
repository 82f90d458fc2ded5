//! A bounded cache of what never changes about a program: whose it is, and its group.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use hooklug_state::shard::ProgramRecord;
use hooklug_types::{ProgramId, TenantId, WindowGroup};

/// Programs that one gateway remembers (ours).
const CACHED_PROGRAMS: usize = 65_536;

/// What never changes about a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramFacts {
    /// Whose it is.
    pub tenant: TenantId,
    /// Group for windows.
    pub group: Option<WindowGroup>,
}

/// The cache.
#[derive(Debug, Default)]
pub struct Programs {
    known: Mutex<HashMap<ProgramId, ProgramFacts>>,
}

impl Programs {
    /// What is known of a program.
    #[must_use]
    pub fn get(&self, program: &ProgramId) -> Option<ProgramFacts> {
        self.lock().get(program).cloned()
    }

    /// Notes a record. A full cache starts anew: what it held costs one read each.
    pub fn learn(&self, record: &ProgramRecord) -> ProgramFacts {
        let facts = ProgramFacts { tenant: record.tenant.clone(), group: record.group.clone() };
        let mut known = self.lock();
        if known.len() >= CACHED_PROGRAMS {
            known.clear();
        }
        known.insert(record.program.clone(), facts.clone());
        facts
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ProgramId, ProgramFacts>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
