//! Newest incarnation of a process seen at each address.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{PoisonError, RwLock};

use hooklug_types::Incarnation;

/// Newest known incarnations by IP address. A machine that lost power does not close its
/// connections, so a connection to its previous incarnation appears open until the idle timeout. A
/// handshake with a newer incarnation shows earlier that such a connection has failed.
#[derive(Debug, Default)]
pub(crate) struct NewestIncarnations {
    newest: RwLock<HashMap<IpAddr, Incarnation>>,
}

impl NewestIncarnations {
    /// Records the incarnation of a peer that completed the handshake.
    pub(crate) fn record(&self, ip: IpAddr, incarnation: Incarnation) {
        if self.newest_at(ip) >= Some(incarnation) {
            return;
        }
        let mut newest = self.newest.write().unwrap_or_else(PoisonError::into_inner);
        let known = newest.entry(ip).or_insert(incarnation);
        *known = incarnation.max(*known);
    }

    /// Newest incarnation seen at an IP address.
    pub(crate) fn newest_at(&self, ip: IpAddr) -> Option<Incarnation> {
        self.newest.read().unwrap_or_else(PoisonError::into_inner).get(&ip).copied()
    }
}
