//! A bounded cache of a program's immutable attributes: its tenant and its window group.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use hooklug_state::shard::ProgramRecord;
use hooklug_types::{ProgramId, TenantId, WindowGroup};

/// Capacity of the cache.
const CACHED_PROGRAMS: usize = 65_536;

/// Immutable attributes of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramInfo {
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// Group for window placement.
    pub group: Option<WindowGroup>,
}

/// Cache of program attributes by program.
#[derive(Debug, Default)]
pub struct ProgramCache {
    known: Mutex<HashMap<ProgramId, ProgramInfo>>,
}

impl ProgramCache {
    /// Returns the cached attributes of a program.
    #[must_use]
    pub fn get(&self, program: &ProgramId) -> Option<ProgramInfo> {
        self.lock().get(program).cloned()
    }

    /// Caches the attributes from a record. A full cache is cleared, which costs one query per
    /// program.
    pub fn learn(&self, record: &ProgramRecord) -> ProgramInfo {
        let info = ProgramInfo { tenant: record.tenant.clone(), group: record.group.clone() };
        let mut known = self.lock();
        if known.len() >= CACHED_PROGRAMS {
            known.clear();
        }
        known.insert(record.program.clone(), info.clone());
        info
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ProgramId, ProgramInfo>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
