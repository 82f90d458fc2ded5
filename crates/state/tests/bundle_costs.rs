//! Memory and log size of the meta group for many versions of a large bundle.

use std::collections::BTreeMap;

use hooklug_bundle::http::{
    HttpLimits, HttpRoute, HttpRouting, HttpService, RepeatRule, WeightedService,
};
use hooklug_bundle::{Bundle, canonical_bytes};
use hooklug_state::meta::{
    BundleContent, BundleRecord, GroupPlacement, MetaAnswer, MetaCommand, MetaMachine, MetaQuery,
    MetaRefusal, MetaReply, RETAINED_CONTENT_BYTES, SubmitBundle,
};
use hooklug_state::{StateMachine, encode};
use hooklug_types::{BundleVersion, GroupId, RouteName, ServiceName};

/// Number of routes of a large deployment.
const ROUTES: u64 = 400;

/// Number of bundle versions submitted in a busy day.
const VERSIONS: u64 = 300;

fn formed_cluster() -> MetaMachine {
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

/// A bundle of many routes with the operators' document; `timeout_of` returns the timeout of each
/// route.
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

/// Bundle in which each version changes the timeout of one route.
fn one_route_changed(version: u64) -> Bundle {
    bundle(version, |number| 1_000 + (number..version).step_by(ROUTES as usize).count() as u64)
}

fn submission(bundle: &Bundle) -> MetaCommand {
    MetaCommand::SubmitBundle(SubmitBundle {
        version: bundle.version,
        base: bundle.base,
        content: BundleContent::Full(canonical_bytes(bundle)),
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
        other => panic!("the newest bundle is missing: {other:?}"),
    }
}

/// Guards against stores that run out of memory because every version of a bundle is stored in
/// full.
#[test]
fn bundle_history_size_grows_with_the_changes_only() {
    let mut meta = formed_cluster();
    for version in 1..=VERSIONS {
        submit(&mut meta, &one_route_changed(version));
    }
    let whole = canonical_bytes(&one_route_changed(VERSIONS));
    assert_eq!(newest(&meta), whole);
    let snapshot = meta.snapshot().len();
    assert!(snapshot < 20 * whole.len(), "{snapshot} bytes for versions of {}", whole.len());
}

/// Guards against stores that run out of memory when no two versions share any section.
#[test]
fn bundle_history_size_is_bounded_without_shared_sections() {
    let mut meta = formed_cluster();
    let everything_changed = |version| bundle(version, |number| 1_000 + version * 1_000 + number);
    for version in 1..=60 {
        submit(&mut meta, &everything_changed(version));
    }
    let whole = canonical_bytes(&everything_changed(60));
    assert_eq!(newest(&meta), whole);
    let snapshot = meta.snapshot().len();
    assert!(snapshot < RETAINED_CONTENT_BYTES + 2 * whole.len(), "{snapshot} bytes");
    let first = meta.apply_command(submission(&everything_changed(1)));
    assert!(
        matches!(first, MetaReply::Bundle(_)),
        "a resubmitted version was not acknowledged: {first:?}"
    );
}

/// Submission of a bundle by a sender that has the record of the base version.
fn submission_on(bundle: &Bundle, held: &BundleRecord) -> SubmitBundle {
    SubmitBundle::new(bundle, Some(held), Vec::new())
}

fn accepted_record(reply: MetaReply) -> BundleRecord {
    match reply {
        MetaReply::Bundle(record) => record,
        other => panic!("the bundle was refused: {other:?}"),
    }
}

/// Guards against logs that contain the full configuration for every change of one route.
#[test]
fn changing_one_route_appends_a_small_log_entry() {
    let mut meta = formed_cluster();
    let first = accepted_record(meta.apply_command(submission(&one_route_changed(1))));
    let next = one_route_changed(2);
    let command = MetaCommand::SubmitBundle(submission_on(&next, &first));
    let (entry, whole) = (encode(&command).len(), canonical_bytes(&next));
    assert!(entry < whole.len() / 8, "{entry} bytes for a change in {}", whole.len());
    let record = accepted_record(meta.apply_command(command.clone()));
    assert_eq!(newest(&meta), whole);
    let again = [command, submission(&next)].map(|command| meta.apply_command(command));
    assert!(again.iter().all(|reply| *reply == MetaReply::Bundle(record.clone())), "{again:?}");
}

#[test]
fn bundle_changes_that_do_not_match_the_digest_are_refused() {
    let mut meta = formed_cluster();
    let first = accepted_record(meta.apply_command(submission(&one_route_changed(1))));
    let good = submission_on(&one_route_changed(2), &first);
    let BundleContent::Changes { digest, sections } = good.content.clone() else { panic!("full") };
    let with = |digest, sections| {
        let content = BundleContent::Changes { digest, sections };
        MetaCommand::SubmitBundle(SubmitBundle { content, ..good.clone() })
    };
    let mut fewer = sections.clone();
    fewer.pop_first();
    let mut unknown = sections.clone();
    unknown.insert("secrets".to_owned(), Some(b"{}".to_vec()));
    for command in [with(digest, fewer), with(digest, unknown), with(first.digest, sections)] {
        let reply = meta.apply_command(command);
        let is_invalid = matches!(reply, MetaReply::Refused(MetaRefusal::InvalidBundle { .. }));
        assert!(is_invalid, "{reply:?}");
    }
}

#[test]
fn changes_to_another_base_than_the_newest_are_refused() {
    let mut meta = formed_cluster();
    let first = accepted_record(meta.apply_command(submission(&one_route_changed(1))));
    let (one, other) = (one_route_changed(2), bundle(2, |_| 9));
    let late = MetaCommand::SubmitBundle(submission_on(&other, &first));
    accepted_record(meta.apply_command(MetaCommand::SubmitBundle(submission_on(&one, &first))));
    let reply = meta.apply_command(late);
    assert!(matches!(reply, MetaReply::Refused(MetaRefusal::VersionTaken { .. })), "{reply:?}");
    let later = Bundle { version: BundleVersion(3), ..other };
    let reply = meta.apply_command(MetaCommand::SubmitBundle(submission_on(&later, &first)));
    assert!(matches!(reply, MetaReply::Refused(MetaRefusal::StaleBase { .. })), "{reply:?}");
}
