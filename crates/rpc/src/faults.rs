//! Cuts and delays of links, for failure tests. Opened only by `--enable-faults`.
//!
//! Faults act on the sending side: a cut holds frames back, as a network that drops packets makes
//! TCP do, and lets them go when it heals. A one-way cut is a cut at one end only.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// What is wrong with the link towards one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFault {
    /// Nothing gets through.
    pub cut: bool,
    /// Added delay of each frame, in microseconds.
    pub delay_micros: u64,
}

/// Faults of this process's links, by the peer's IP address.
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

    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> BTreeMap<IpAddr, LinkFault> {
        self.links.borrow().clone()
    }

    /// Delay of frames towards an address.
    #[must_use]
    pub fn delay_to(&self, ip: IpAddr) -> Duration {
        let links = self.links.borrow();
        links.get(&ip).map_or(Duration::ZERO, |l| Duration::from_micros(l.delay_micros))
    }

    /// Whether the link towards an address is cut.
    #[must_use]
    pub fn is_cut(&self, ip: IpAddr) -> bool {
        self.links.borrow().get(&ip).is_some_and(|l| l.cut)
    }

    /// Waits until the link towards an address is not cut.
    pub async fn passable(&self, ip: IpAddr) {
        let mut links = self.links.subscribe();
        // The sender lives as long as `self`, so the wait only ends by the condition.
        let _ = links.wait_for(|l| !l.get(&ip).is_some_and(|f| f.cut)).await;
    }
}
