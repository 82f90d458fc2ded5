//! Settings and addresses that hollow nodes need to join a fleet.

use std::net::SocketAddr;

use anyhow::{Context, anyhow};
use hooklug_fleet::{Fleet, ProcessKind};
use hooklug_settings::Settings;

/// Settings and addresses that a node needs to join a fleet.
#[derive(Debug, Clone)]
pub(crate) struct ClusterAccess {
    /// Settings of a core of the fleet. Hollow nodes use other addresses, zones and seeds.
    pub(crate) settings: Settings,
    /// RPC addresses of the stores.
    pub(crate) stores: Vec<SocketAddr>,
    /// RPC addresses of the cores.
    pub(crate) cores: Vec<SocketAddr>,
}

impl ClusterAccess {
    /// Reads the settings of a fleet's processes.
    pub(crate) fn of(fleet: &Fleet) -> anyhow::Result<Self> {
        let of_kind = |kind| -> anyhow::Result<Vec<Settings>> {
            fleet.names(kind).into_iter().map(|name| read_settings(fleet, &name.id())).collect()
        };
        let cores = of_kind(ProcessKind::Core)?;
        let stores = of_kind(ProcessKind::Store)?;
        let addresses = |list: &[Settings]| list.iter().map(|s| s.rpc).collect();
        Ok(Self {
            settings: cores.first().cloned().ok_or_else(|| anyhow!("the fleet has no cores"))?,
            stores: addresses(&stores),
            cores: addresses(&cores),
        })
    }

    /// Returns three seeds for the n-th node: two stores and a core.
    pub(crate) fn seeds(&self, index: usize) -> Vec<SocketAddr> {
        let of = |list: &[SocketAddr], n: usize| list[n % list.len()];
        vec![of(&self.stores, index), of(&self.cores, index), of(&self.stores, index + 1)]
    }
}

fn read_settings(fleet: &Fleet, folder: &str) -> anyhow::Result<Settings> {
    let path = fleet.data().join(folder).join("settings.toml");
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("cannot read {}", path.display()))?;
    Ok(toml::from_str(&text)?)
}
