//! Bundles for the engines under test.

use std::sync::Arc;

use hooklug_bundle::Bundle;
use hooklug_bundle::model::{Service, ServiceKind, VersionEntry, VersionState};
use hooklug_control::InstalledBundle;
use hooklug_state::meta::{BundleOrigin, BundleRecord};
use hooklug_types::{BundleVersion, Digest, UnixMillis};

use super::{service, version};

/// A bundle with a model service of the given versions, oldest first.
pub fn bundle(number: u64, versions: &[(&str, VersionState)]) -> Bundle {
    let versions =
        versions.iter().map(|(name, state)| VersionEntry { version: version(name), state: *state });
    let service_entry = Service {
        kind: ServiceKind::Model,
        model: Some("advisor-7b".parse().unwrap()),
        versions: versions.collect(),
        slots: 16,
        concurrency_per_engine: 64,
        queue_per_engine: 256,
        steps: vec![100],
        step_seconds: 0,
        harm: hooklug_bundle::model::HarmThresholds::default(),
    };
    Bundle {
        version: BundleVersion(number),
        base: BundleVersion(number - 1),
        services: [(service(), service_entry)].into(),
        ..Bundle::default()
    }
}

pub fn installed(bundle: Bundle) -> Option<Arc<InstalledBundle>> {
    let record = BundleRecord {
        version: bundle.version,
        base: bundle.base,
        digest: Digest::of(b"test"),
        sections: [].into(),
        origin: BundleOrigin::Operators(Vec::new()),
        committed: UnixMillis(0),
    };
    Some(Arc::new(InstalledBundle { record, bundle }))
}
