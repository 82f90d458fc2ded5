//! Submission of bundles: accepted, resubmitted, conflicting and rejected ones.

mod common;

use std::collections::BTreeMap;

use common::{Answer, Api, bundle, settings};
use hooklug_bundle::{Bundle, digest, generate_key_pair, sign};
use hooklug_types::{META_GROUP, OperatorName};
use http::{Method, StatusCode};
use serde_json::json;

fn assert_accepted(answer: &Answer, bundle: &Bundle) {
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(answer.body["bundle"]["version"], bundle.version.0);
    assert_eq!(answer.body["bundle"]["digest"], digest(bundle).to_string());
}

#[tokio::test]
async fn a_bundle_is_committed_and_read_back() {
    let api = Api::start(settings()).await;
    api.publish_member(1);
    let first = bundle(1, 10);
    let answer = api.submit(&first).await;
    assert_accepted(&answer, &first);
    assert_eq!(answer.body["live_nodes"], 1);
    assert_eq!(answer.body["installed_nodes"], 1);
    let current = api.get("/admin/v1/bundles/current").await;
    assert_eq!(current.body["bundle"], serde_json::to_value(&first).expect("plain"));
    let history = api.get("/admin/v1/bundles").await;
    assert_eq!(history.body.as_array().map(Vec::len), Some(1));
    let missing = api.get("/admin/v1/bundles/9").await;
    assert_eq!((missing.status, missing.code()), (StatusCode::NOT_FOUND, "no_bundle"));
    let malformed = api.get("/admin/v1/bundles/nine").await;
    assert_eq!((malformed.status, malformed.code()), (StatusCode::BAD_REQUEST, "bad_field"));
}

#[tokio::test]
async fn a_submission_reports_live_and_installed_node_counts() {
    let api = Api::start(settings()).await;
    api.publish_member(0);
    let answer = api.submit(&bundle(1, 10)).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(
        (&answer.body["live_nodes"], &answer.body["installed_nodes"]),
        (&json!(1), &json!(0))
    );
}

#[tokio::test]
async fn a_resent_bundle_gets_the_first_response_and_a_rival_is_refused() {
    let api = Api::start(settings()).await;
    api.publish_member(9);
    let (accepted_bundle, conflicting_bundle) = (bundle(1, 10), bundle(1, 11));
    let first = api.submit(&accepted_bundle).await;
    assert_accepted(&first, &accepted_bundle);
    let refused = api.submit(&conflicting_bundle).await;
    assert_eq!((refused.status, refused.code()), (StatusCode::CONFLICT, "version_taken"));
    assert_eq!(refused.body["field"], "version");
    assert_eq!(refused.content_type, "application/problem+json");
    assert_accepted(&api.submit(&bundle(2, 12)).await, &bundle(2, 12));
    assert_eq!(api.submit(&accepted_bundle).await.body["bundle"], first.body["bundle"]);
    let mut stale = bundle(3, 10);
    stale.base = hooklug_types::BundleVersion(1);
    let refused = api.submit(&stale).await;
    assert_eq!((refused.status, refused.code()), (StatusCode::CONFLICT, "stale_base"));
    assert_eq!(refused.body["newest"], 2);
}

#[tokio::test]
async fn a_lost_commit_reply_returns_try_again_and_a_resend_succeeds() {
    let api = Api::start(settings()).await;
    api.publish_member(9);
    api.state.drop_replies(META_GROUP, 1);
    let lost = api.submit(&bundle(1, 10)).await;
    assert_eq!((lost.status, lost.code()), (StatusCode::SERVICE_UNAVAILABLE, "try_again"));
    assert_eq!(lost.body["outcome"], "try_again");
    assert_accepted(&api.submit(&bundle(1, 10)).await, &bundle(1, 10));
}

#[tokio::test]
async fn an_invalid_bundle_is_refused_with_every_fault_and_changes_nothing() {
    let api = Api::start(settings()).await;
    let mut invalid = bundle(1, 0);
    invalid.base = invalid.version;
    let refused = api.submit(&invalid).await;
    assert_eq!(
        (refused.status, refused.code()),
        (StatusCode::UNPROCESSABLE_ENTITY, "invalid_bundle")
    );
    let faults = refused.body["faults"].as_array().expect("a list");
    let paths: Vec<_> = faults.iter().map(|f| f["path"].clone()).collect();
    assert_eq!(paths, [json!("version"), json!("services.notices.slots")]);
    for (body, field) in [
        ("{", ""),
        (r#"{"bundle": {"version": "x", "base": 0}}"#, "bundle.version"),
        (r#"{"bundle": {"version": 1, "base": 0}, "comment": ""}"#, "comment"),
        (r#"{"bundle": {"version": 1, "base": 0}} {}"#, ""),
        (
            r#"{"bundle": {"version": 1, "base": 0, "tenants": {"t": {"group": "a"}, "t": {"group": "b"}}}}"#,
            "bundle.tenants.t",
        ),
    ] {
        let refused = api.request(Method::POST, "/admin/v1/bundles", None, body).await;
        assert_eq!(
            (refused.status, refused.code()),
            (StatusCode::BAD_REQUEST, "bad_json"),
            "{body}"
        );
        if !field.is_empty() {
            assert_eq!(refused.body["field"], field, "{body}");
        }
    }
    assert_eq!(api.get("/admin/v1/bundles").await.body, json!([]));
}

#[tokio::test]
async fn unsigned_or_badly_signed_bundles_are_refused() {
    let keys = generate_key_pair();
    let anna = OperatorName::new("anna").expect("valid");
    let mut settings = settings();
    settings.operators.keys = BTreeMap::from([(anna, keys.public)]);
    settings.operators.required_signatures = 1;
    let api = Api::start(settings).await;
    api.publish_member(9);
    let unsigned = api.submit(&bundle(1, 10)).await;
    assert_eq!((unsigned.status, unsigned.code()), (StatusCode::FORBIDDEN, "signatures_missing"));
    let of_another = sign(&digest(&bundle(1, 11)), &keys.secret).expect("a good key");
    let good = sign(&digest(&bundle(1, 10)), &keys.secret).expect("a good key");
    let body = |signature: &str| {
        json!({"bundle": bundle(1, 10), "signatures": {"anna": signature}}).to_string()
    };
    let path = "/admin/v1/bundles";
    let bad = api.request(Method::POST, path, None, &body(&of_another)).await;
    assert_eq!((bad.status, bad.code()), (StatusCode::FORBIDDEN, "bad_signature"));
    let accepted = api.request(Method::POST, path, None, &body(&good)).await;
    assert_accepted(&accepted, &bundle(1, 10));
    assert_eq!(accepted.body["bundle"]["signed_by"], json!(["anna"]));
}
