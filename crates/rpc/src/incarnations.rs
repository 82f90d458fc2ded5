//! The newest run of a process that was seen at each address.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{PoisonError, RwLock};

use hooklug_types::Incarnation;

/// Newest runs by machine. A machine that lost power answers nothing: a connection to its former run looks alive until it
/// has been silent for long, and is known to be dead as soon as a newer run has shown itself.
#[derive(Debug, Default)]
pub(crate) struct NewestRuns {
    newest: RwLock<HashMap<IpAddr, Incarnation>>,
}

impl NewestRuns {
    /// Notes a run that proved the secret.
    pub(crate) fn note(&self, ip: IpAddr, run: Incarnation) {
        if self.at(ip) >= Some(run) {
            return;
        }
        let mut newest = self.newest.write().unwrap_or_else(PoisonError::into_inner);
        let known = newest.entry(ip).or_insert(run);
        *known = run.max(*known);
    }

    /// The newest run seen at a machine.
    pub(crate) fn at(&self, ip: IpAddr) -> Option<Incarnation> {
        self.newest.read().unwrap_or_else(PoisonError::into_inner).get(&ip).copied()
    }
}
