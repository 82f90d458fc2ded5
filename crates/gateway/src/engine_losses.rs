//! Versions that recently lost an engine. Failures caused by a lost engine must not count as a
//! regression of its version. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hooklug_control::judge::JudgedVersion;
use hooklug_protocol::control::{ClusterView, MemberHealth};
use hooklug_types::{EngineId, Incarnation};

/// How long a loss counts as recent; must cover the takeover of the lost engine's turns.
const RECENT_WINDOW: Duration = Duration::from_secs(10);

/// Live engine runs of a view and their versions.
type LiveEngines = BTreeMap<(EngineId, Incarnation), JudgedVersion>;

/// Engine losses seen in the cluster views of one node.
#[derive(Debug, Default)]
pub struct EngineLosses {
    live: LiveEngines,
    lost: BTreeMap<JudgedVersion, Instant>,
}

impl EngineLosses {
    /// Updates the live engines from a view. Engines that were live before and are missing now
    /// count as lost.
    pub fn apply_view(&mut self, view: &ClusterView, now: Instant) {
        let live = live_engines(view);
        for (run, version) in &self.live {
            if !live.contains_key(run) {
                self.lost.insert(version.clone(), now);
            }
        }
        self.live = live;
    }

    /// Returns the versions that recently lost an engine.
    pub fn recent(&mut self, now: Instant) -> BTreeSet<JudgedVersion> {
        self.lost.retain(|_, at| now.saturating_duration_since(*at) < RECENT_WINDOW);
        self.lost.keys().cloned().collect()
    }
}

fn live_engines(view: &ClusterView) -> LiveEngines {
    let hosts = view.members.values().filter(|m| m.health == MemberHealth::Alive).filter_map(|m| {
        let host = m.engine.as_ref()?;
        let run = (host.engine.clone(), m.address.incarnation);
        let (service, version) = (host.service.clone(), host.version.clone());
        Some((run, JudgedVersion { service, version }))
    });
    let applications = view.engines.values().filter(|e| e.healthy).map(|e| {
        let (service, version) = (e.service.clone(), e.version.clone());
        ((e.engine.clone(), e.incarnation), JudgedVersion { service, version })
    });
    hosts.chain(applications).collect()
}
