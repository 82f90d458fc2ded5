//! Injected link faults (cuts and delays) for failure tests. They can be set only with
//! `--enable-faults`.
//!
//! Faults act on the sending side. A cut link holds frames back until the cut is lifted, as TCP
//! does on a network that drops packets. A one-way partition is a cut on one side only.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Injected fault of the link to one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFault {
    /// Whether frames are held back.
    pub cut: bool,
    /// Delay added to each frame, in microseconds.
    pub delay_micros: u64,
}

/// Injected faults of this process's links, by the peer's IP address.
#[derive(Debug)]
pub struct LinkFaults {
    links: watch::Sender<BTreeMap<IpAddr, LinkFault>>,
}

impl Default for LinkFaults {
    fn default() -> Self {
        Self { links: watch::Sender::new(BTreeMap::new()) }
    }
}

impl LinkFaults {
    /// Replaces all faults.
    pub fn set(&self, links: BTreeMap<IpAddr, LinkFault>) {
        self.links.send_replace(links);
    }

    /// Returns the active faults.
    #[must_use]
    pub fn get(&self) -> BTreeMap<IpAddr, LinkFault> {
        self.links.borrow().clone()
    }

    /// Delay of frames sent to an address.
    #[must_use]
    pub fn delay_to(&self, ip: IpAddr) -> Duration {
        let links = self.links.borrow();
        links.get(&ip).map_or(Duration::ZERO, |l| Duration::from_micros(l.delay_micros))
    }

    /// Whether the link to an address is cut.
    #[must_use]
    pub fn is_cut(&self, ip: IpAddr) -> bool {
        self.links.borrow().get(&ip).is_some_and(|l| l.cut)
    }

    /// Waits until the link to an address is not cut.
    pub async fn wait_until_restored(&self, ip: IpAddr) {
        let mut links = self.links.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = links.wait_for(|l| !l.get(&ip).is_some_and(|f| f.cut)).await;
    }
}
