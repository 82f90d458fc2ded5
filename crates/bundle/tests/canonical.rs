//! Canonical form and sections of bundles: equal bundles have equal bytes, and a change affects few
//! sections.

mod common;

use common::valid;
use hooklug_bundle::http::{HttpLimits, HttpRoute, HttpRouting, HttpService, RepeatRule};
use hooklug_bundle::{
    Bundle, BundleHeader, DecodeError, HarmThresholds, Tenant, TenantLimits, TextFormat,
    canonical_bytes, decode, diff, digest, from_sections, parse, section_digests, sections,
    tenant_section, with_sections,
};
use hooklug_types::{BundleVersion, TenantId};
use proptest::prelude::*;

fn any_tenant() -> impl Strategy<Value = Tenant> {
    (
        proptest::collection::vec("[0-9a-f]{64}", 0..3),
        proptest::option::of("[a-z]{1,8}"),
        any::<f64>().prop_filter("JSON has only finite numbers", |f| f.is_finite()),
        any::<u32>(),
    )
        .prop_map(|(key_digests, group, requests_per_second, concurrency)| Tenant {
            key_digests,
            group: group.map(|g| g.parse().expect("a valid name")),
            limits: TenantLimits { requests_per_second, concurrency },
        })
}

fn any_http() -> impl Strategy<Value = Option<HttpRouting>> {
    let name = "[a-z]{1,6}";
    let route = (name, any::<u64>()).prop_map(|(path, timeout_ms)| HttpRoute {
        host: "a.example".to_owned(),
        path_prefix: format!("/{path}/"),
        repeat: RepeatRule::Once,
        streaming: false,
        keep_ms: None,
        timeout_ms,
        target_latency_ms: 1,
        priority: 0,
        max_attempts: 1,
        sticky: false,
        backends: Vec::new(),
    });
    let routes = proptest::collection::btree_map(name, route, 0..40);
    let http = (routes, "[a-zäß ]{0,8000}", 0_u32..3).prop_map(|(routes, document, pool)| {
        let pool = HttpService { max_connections: pool, model: None };
        HttpRouting {
            routes: routes.into_iter().map(|(n, r)| (n.parse().expect("valid"), r)).collect(),
            services: [("pool".parse().expect("valid"), pool)].into(),
            limits: HttpLimits::default(),
            document,
        }
    });
    proptest::option::of(http)
}

fn any_bundle() -> impl Strategy<Value = Bundle> {
    let tenants = proptest::collection::btree_map("[a-zA-Z0-9._:-]{1,20}", any_tenant(), 0..40);
    let harm = (0.0..1.0_f64, 1.0..100.0_f64, 1_u32..1_000);
    let parts = (any::<u64>(), any::<u64>(), tenants, harm, any_http());
    parts.prop_map(|(version, base, tenants, harm, http)| {
        let mut bundle = valid();
        bundle.http = http;
        bundle.version = BundleVersion(version);
        bundle.base = BundleVersion(base);
        bundle.tenants =
            tenants.into_iter().map(|(id, t)| (id.parse().expect("a valid id"), t)).collect();
        let (error_share_above, latency_factor, least_samples) = harm;
        for service in bundle.services.values_mut() {
            service.harm = HarmThresholds { error_share_above, latency_factor, least_samples };
        }
        bundle
    })
}

fn header(bundle: &Bundle) -> BundleHeader {
    BundleHeader { version: bundle.version, base: bundle.base }
}

proptest! {
    #[test]
    fn decoding_gives_the_same_bundle_and_the_same_bytes(bundle in any_bundle()) {
        let bytes = canonical_bytes(&bundle);
        let decoded = decode(&bytes).expect("canonical bytes decode");
        prop_assert_eq!(&decoded, &bundle);
        prop_assert_eq!(canonical_bytes(&decoded), bytes);
    }

    #[test]
    fn sections_put_together_give_the_same_bundle(bundle in any_bundle()) {
        let parts = sections(&bundle);
        let again = from_sections(header(&bundle), &parts).expect("sections decode");
        prop_assert_eq!(digest(&again), digest(&bundle));
        prop_assert_eq!(again, bundle);
    }

    #[test]
    fn a_change_of_one_tenant_changes_one_section(bundle in any_bundle(), tenant in any_tenant()) {
        let id: TenantId = "changed".parse().expect("valid");
        let mut changed = bundle.clone();
        changed.tenants.insert(id.clone(), tenant);
        let (before, after) = (section_digests(&bundle), section_digests(&changed));
        let differing: Vec<&String> =
            after.keys().filter(|name| before.get(*name) != after.get(*name)).collect();
        let expected = tenant_section(&id);
        prop_assert_eq!(differing, vec![&expected]);
    }

    #[test]
    fn applying_changed_sections_to_a_bundle_yields_the_next(held in any_bundle(), next in any_bundle()) {
        let (before, after) = (sections(&held), sections(&next));
        let changed = after.iter().filter(|(name, bytes)| before.get(*name) != Some(*bytes));
        let changed = changed.map(|(name, bytes)| (name.as_str(), Some(bytes.as_slice())));
        let removed = before.keys().filter(|name| !after.contains_key(*name));
        let all = changed.chain(removed.map(|name| (name.as_str(), None)));
        let built = with_sections(&held, header(&next), all).expect("sections decode");
        prop_assert_eq!(digest(&built), digest(&next));
        prop_assert_eq!(built, next);
    }

    #[test]
    fn a_bundle_round_trips_through_json_text(bundle in any_bundle()) {
        let text = serde_json::to_string_pretty(&bundle).expect("plain data");
        prop_assert_eq!(parse(&text, TextFormat::guess(&text)).expect("parses"), bundle);
    }
}

#[test]
fn the_header_is_in_no_section() {
    let mut other = valid();
    other.version = BundleVersion(9);
    other.base = BundleVersion(8);
    assert_eq!(sections(&valid()), sections(&other));
    assert_ne!(digest(&valid()), digest(&other));
}

#[test]
fn unknown_and_broken_sections_are_refused() {
    let mut parts = sections(&valid());
    parts.insert("secrets".to_owned(), b"{}".to_vec());
    let refused = from_sections(header(&valid()), &parts);
    assert_eq!(refused, Err(DecodeError::UnknownSection("secrets".to_owned())));
    parts.remove("secrets");
    parts.insert("routes".to_owned(), b"{".to_vec());
    let refused = from_sections(header(&valid()), &parts);
    assert!(matches!(refused, Err(DecodeError::Malformed { part, .. }) if part == "routes"));
}

#[test]
fn a_non_canonical_section_is_refused() {
    let mut parts = sections(&valid());
    parts.insert("windows".to_owned(), b"{ }".to_vec());
    let refused = from_sections(header(&valid()), &parts);
    assert_eq!(refused, Err(DecodeError::NotCanonical("windows".to_owned())));
}

#[test]
fn a_diff_names_what_changed() {
    let before = valid();
    let mut after = valid();
    after.version = BundleVersion(9);
    after.routes.remove(&"send-alarm".parse().expect("valid"));
    after.services.values_mut().for_each(|s| s.slots += 1);
    let changes = diff(&before, &after);
    let paths: Vec<&str> = changes.iter().map(|c| c.path.as_str()).collect();
    let expected =
        ["routes.send-alarm", "services.advisor.slots", "services.notices.slots", "version"];
    assert_eq!(paths, expected);
    assert_eq!(changes[0].after, None);
    assert_eq!(changes[3].to_string(), "~ version: 8 -> 9");
    assert!(diff(&before, &before).is_empty());
}

/// A configuration text as long as that of a large deployment, and the same text with a line
/// inserted.
fn long_texts() -> (String, String) {
    let lines = (0..3_000).map(|number| format!("route {number} to {}", number * 7919));
    let before: Vec<String> = lines.collect();
    let mut after = before.clone();
    after.insert(1_500, "an inserted route".to_owned());
    (before.join("\n"), after.join("\n"))
}

/// Guards against a change of one route that makes every node and store transfer the complete text.
#[test]
fn inserting_a_line_into_the_document_changes_few_section_bytes() {
    let with_text = |document| {
        let http = HttpRouting { document, ..HttpRouting::default() };
        Bundle { http: Some(http), ..valid() }
    };
    let (before, after) = long_texts();
    let held = sections(&with_text(before));
    let next = sections(&with_text(after.clone()));
    let changed = next.iter().filter(|(name, bytes)| held.get(*name) != Some(*bytes));
    let bytes: usize = changed.map(|(_, bytes)| bytes.len()).sum();
    assert!(bytes < after.len() / 3, "{bytes} of {} bytes changed", after.len());
}

/// Guards against a text that is assembled from pieces of another text.
#[test]
fn a_document_with_a_missing_or_wrong_section_is_refused() {
    let (document, _) = long_texts();
    let http = HttpRouting { document, ..HttpRouting::default() };
    let bundle = Bundle { http: Some(http), ..valid() };
    let complete = sections(&bundle);
    let piece =
        complete.keys().find(|name| name.starts_with("http/text/")).expect("a piece").clone();
    let mut missing = complete.clone();
    missing.remove(&piece);
    let mut other = complete;
    other.insert(piece.clone(), b"something else".to_vec());
    for parts in [missing, other] {
        let refused = from_sections(header(&bundle), &parts);
        assert!(matches!(&refused, Err(DecodeError::Malformed { part, .. }) if *part == piece));
    }
}
