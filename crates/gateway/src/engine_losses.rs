//! Versions that lost an engine lately: what fails with a lost engine is no harm by its version. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hooklug_control::judge::JudgedVersion;
use hooklug_protocol::control::{ClusterView, MemberHealth};
use hooklug_types::{EngineId, Incarnation};

/// How long a loss counts as lately (ours): until the lost engine's turns have been taken over.
const LATELY: Duration = Duration::from_secs(10);

/// Live engine runs of a view, with their versions.
type Live = BTreeMap<(EngineId, Incarnation), JudgedVersion>;

/// Losses seen in the views of one node.
#[derive(Debug, Default)]
pub struct Losses {
    live: Live,
    lost: BTreeMap<JudgedVersion, Instant>,
}

impl Losses {
    /// Notes the engines of a view: those that lived before and do not now are lost.
    pub fn take_view(&mut self, view: &ClusterView, now: Instant) {
        let live = live_engines(view);
        for (run, version) in &self.live {
            if !live.contains_key(run) {
                self.lost.insert(version.clone(), now);
            }
        }
        self.live = live;
    }

    /// Versions that lost an engine lately.
    pub fn lately(&mut self, now: Instant) -> BTreeSet<JudgedVersion> {
        self.lost.retain(|_, at| now.saturating_duration_since(*at) < LATELY);
        self.lost.keys().cloned().collect()
    }
}

fn live_engines(view: &ClusterView) -> Live {
    let hosts = view.members.values().filter(|m| m.health == MemberHealth::Alive).filter_map(|m| {
        let hosted = m.engine.as_ref()?;
        let run = (hosted.engine.clone(), m.address.incarnation);
        let (service, version) = (hosted.service.clone(), hosted.version.clone());
        Some((run, JudgedVersion { service, version }))
    });
    let applications = view.engines.values().filter(|e| e.healthy).map(|e| {
        let (service, version) = (e.service.clone(), e.version.clone());
        ((e.engine.clone(), e.incarnation), JudgedVersion { service, version })
    });
    hosts.chain(applications).collect()
}
