//! What the meta group pays for many versions of a large bundle.

use std::collections::BTreeMap;

use hooklug_bundle::http::{
    HttpLimits, HttpRoute, HttpRouting, HttpService, RepeatRule, WeightedService,
};
use hooklug_bundle::{Bundle, canonical_bytes};
use hooklug_state::StateMachine;
use hooklug_state::meta::{
    GroupPlacement, KEPT_BYTES, MetaAnswer, MetaCommand, MetaMachine, MetaQuery, MetaReply,
    SubmitBundle,
};
use hooklug_types::{BundleVersion, GroupId, RouteName, ServiceName};

/// Routes of a large deployment.
const ROUTES: u64 = 400;

/// Changes of a long day.
const VERSIONS: u64 = 300;

fn formed() -> MetaMachine {
    let mut meta = MetaMachine::new();
    let placements = vec![(GroupId(1), GroupPlacement::default())];
    meta.apply_command(MetaCommand::Form { cluster: 1, stores: Vec::new(), placements });
    meta
}

fn service() -> ServiceName {
    ServiceName::new("alarms").expect("a name")
}

fn route(number: u64, timeout_ms: u64) -> HttpRoute {
    HttpRoute {
        host: format!("host-{number}.example"),
        path_prefix: format!("/path-{number}/"),
        repeat: RepeatRule::Once,
        streaming: true,
        keep_ms: Some(60_000),
        timeout_ms,
        target_latency_ms: 200,
        priority: 1,
        max_attempts: 2,
        sticky: true,
        backends: vec![WeightedService { service: service(), weight: 1 }],
    }
}

/// A bundle of many routes with the operators' text; `timeout_of` tells what each route says.
fn bundle(version: u64, timeout_of: impl Fn(u64) -> u64) -> Bundle {
    let name = |number| RouteName::new(format!("route-{number}")).expect("a name");
    let routes: BTreeMap<RouteName, HttpRoute> =
        (0..ROUTES).map(|number| (name(number), route(number, timeout_of(number)))).collect();
    let pool = HttpService { max_connections: 100, model: None };
    let text = serde_json::to_string(&routes).expect("plain data");
    let http = HttpRouting {
        routes,
        services: BTreeMap::from([(service(), pool)]),
        limits: HttpLimits::default(),
        document: format!("{{\"version\":{version},\"routes\":{text}}}"),
    };
    Bundle {
        version: BundleVersion(version),
        base: BundleVersion(version - 1),
        http: Some(http),
        ..Bundle::default()
    }
}

/// Each version changes the time limit of one route.
fn one_route_changed(version: u64) -> Bundle {
    bundle(version, |number| 1_000 + (number..version).step_by(ROUTES as usize).count() as u64)
}

fn submission(bundle: &Bundle) -> MetaCommand {
    MetaCommand::SubmitBundle(SubmitBundle {
        version: bundle.version,
        base: bundle.base,
        bytes: canonical_bytes(bundle),
        signed_by: Vec::new(),
    })
}

fn submit(meta: &mut MetaMachine, bundle: &Bundle) {
    let reply = meta.apply_command(submission(bundle));
    assert!(matches!(reply, MetaReply::Bundle(_)), "{reply:?}");
}

fn newest(meta: &MetaMachine) -> Vec<u8> {
    match meta.answer(&MetaQuery::BundleBytes(None)) {
        MetaAnswer::BundleBytes(Some((_, bytes))) => bytes,
        other => panic!("the newest bundle is gone: {other:?}"),
    }
}

/// Guards against stores that go over their memory because each version of a bundle is kept whole.
#[test]
fn hundreds_of_versions_cost_a_store_what_each_changed() {
    let mut meta = formed();
    for version in 1..=VERSIONS {
        submit(&mut meta, &one_route_changed(version));
    }
    let whole = canonical_bytes(&one_route_changed(VERSIONS));
    assert_eq!(newest(&meta), whole);
    let snapshot = meta.snapshot().len();
    assert!(snapshot < 20 * whole.len(), "{snapshot} bytes for versions of {}", whole.len());
}

/// Guards against stores that go over their memory when no two versions share anything.
#[test]
fn versions_that_share_nothing_are_kept_within_a_bound() {
    let mut meta = formed();
    let everything_changed = |version| bundle(version, |number| 1_000 + version * 1_000 + number);
    for version in 1..=60 {
        submit(&mut meta, &everything_changed(version));
    }
    let whole = canonical_bytes(&everything_changed(60));
    assert_eq!(newest(&meta), whole);
    let snapshot = meta.snapshot().len();
    assert!(snapshot < KEPT_BYTES + 2 * whole.len(), "{snapshot} bytes");
    let first = meta.apply_command(submission(&everything_changed(1)));
    assert!(
        matches!(first, MetaReply::Bundle(_)),
        "what was taken is acknowledged again: {first:?}"
    );
}
