//! Default settings and bundle for tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use hooklug_bundle::{
    Bundle, HarmThresholds, Route, RouteMatch, Service, ServiceKind, Tenant, TenantLimits,
    VersionEntry, VersionState,
};
use hooklug_control::InstalledBundle;
use hooklug_settings::{
    CoreSettings, GatewayMode, GatewaySettings, OperatorSettings, Secret, Settings, StoreSettings,
};
use hooklug_state::meta::{BundleOrigin, BundleRecord};
use hooklug_types::*;

use super::{SECRET, id, loopback};

pub fn settings(mode: GatewayMode) -> Settings {
    Settings {
        rpc: loopback(),
        http: loopback(),
        zone: id("z1"),
        region: id("local"),
        seeds: Vec::new(),
        data_folder: None,
        cluster_secret: Secret::new(SECRET),
        grace_ms: 3_000,
        enable_faults: true,
        store: StoreSettings::default(),
        engine: None,
        gateway: GatewaySettings { mode, body_bytes: 4096, ..GatewaySettings::default() },
        core: CoreSettings::default(),
        operators: OperatorSettings::default(),
    }
}

fn service(kind: ServiceKind, versions: &[&str]) -> Service {
    let versions =
        versions.iter().map(|v| VersionEntry { version: id(v), state: VersionState::Sound });
    Service {
        kind,
        model: (kind == ServiceKind::Model).then(|| id("advisor-7b")),
        versions: versions.collect(),
        slots: 64,
        concurrency_per_engine: 64,
        queue_per_engine: 256,
        steps: vec![5, 25, 50, 100],
        step_seconds: 5,
        harm: HarmThresholds::default(),
    }
}

pub fn tool_route(tool: &str, may_repeat: bool) -> Route {
    Route {
        matches: RouteMatch::Tool { tool: tool.to_owned() },
        service: id("farm"),
        may_repeat,
        deadline_ms: 4_000,
        urgent: false,
    }
}

/// Returns a bundle with services `advisor` (sessions) and `farm` (tools), and tenants `dalatek`
/// (without keys) and `serra` (with key `k1`).
pub fn bundle() -> Bundle {
    let session = Route {
        matches: RouteMatch::Session { model: id("advisor-7b") },
        service: id("advisor"),
        may_repeat: false,
        deadline_ms: 8_000,
        urgent: false,
    };
    // Limits high enough for all tests except those of the limits, which set their own.
    let limits = TenantLimits { requests_per_second: 1e6, concurrency: 10_000 };
    let open = Tenant { key_digests: Vec::new(), group: None, limits };
    let key = blake3::hash(b"k1").to_hex().to_string();
    Bundle {
        version: BundleVersion(3),
        base: BundleVersion(2),
        services: BTreeMap::from([
            (id("advisor"), service(ServiceKind::Model, &["v1", "v2"])),
            (id("farm"), service(ServiceKind::Application, &["v1"])),
        ]),
        routes: BTreeMap::from([
            (id("sessions"), session),
            (id("alarms"), tool_route("send_alarm", false)),
            (id("sensors"), tool_route("read_sensor", true)),
        ]),
        windows: BTreeMap::new(),
        http: None,
        tenants: [
            (id("dalatek"), open.clone()),
            (id("serra"), Tenant { key_digests: vec![key], ..open }),
        ]
        .into_iter()
        .collect(),
    }
}

pub fn installed(bundle: Bundle) -> Arc<InstalledBundle> {
    let record = BundleRecord {
        version: bundle.version,
        base: bundle.base,
        digest: Digest::of(b"test"),
        sections: BTreeMap::new(),
        origin: BundleOrigin::Operators(Vec::new()),
        // Committed long ago, so its versions' rollouts are complete.
        committed: UnixMillis(0),
    };
    Arc::new(InstalledBundle { record, bundle })
}
