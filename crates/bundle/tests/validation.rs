//! Validation and parsing: each invalid value is reported with its path.

mod common;

use common::{VALID, valid};
use hooklug_bundle::{Bundle, TextFormat, VersionState, parse, validate};

fn paths(bundle: &Bundle) -> Vec<String> {
    match validate(bundle) {
        Ok(()) => Vec::new(),
        Err(errors) => errors.into_iter().map(|error| error.path).collect(),
    }
}

#[test]
fn the_valid_bundle_has_no_fault() {
    assert_eq!(validate(&valid()), Ok(()));
}

/// Text of the valid bundle, its replacement, and the paths of the expected errors.
type Row = (&'static str, &'static str, &'static [&'static str]);

const ROWS: &[Row] = &[
    ("base = 7", "base = 8", &["version"]),
    ("model = \"advisor-7b\"\nslots", "slots", &["services.advisor.model"]),
    (
        "kind = \"application\"",
        "kind = \"application\"\nmodel = \"m\"",
        &["services.notices.model"],
    ),
    ("slots = 64", "slots = 0", &["services.notices.slots"]),
    (
        "slots = 64",
        "slots = 64\nconcurrency_per_engine = 0\nqueue_per_engine = 0\nstep_seconds = 0",
        &[
            "services.notices.concurrency_per_engine",
            "services.notices.queue_per_engine",
            "services.notices.step_seconds",
        ],
    ),
    ("slots = 64", "slots = 64\nsteps = []", &["services.notices.steps"]),
    ("slots = 64", "slots = 64\nsteps = [0, 100]", &["services.notices.steps"]),
    ("slots = 64", "slots = 64\nsteps = [5, 50]", &["services.notices.steps"]),
    ("slots = 64", "slots = 64\nsteps = [50, 5, 100]", &["services.notices.steps"]),
    ("slots = 64", "slots = 64\nsteps = [5, 5, 100]", &["services.notices.steps"]),
    (
        "slots = 64",
        "slots = 64\nharm = { error_share_above = 0.0, latency_factor = 1.0, least_samples = 0 }",
        &[
            "services.notices.harm.error_share_above",
            "services.notices.harm.latency_factor",
            "services.notices.harm.least_samples",
        ],
    ),
    (
        "slots = 64",
        "slots = 64\nharm = { error_share_above = nan, latency_factor = inf }",
        &["services.notices.harm.error_share_above", "services.notices.harm.latency_factor"],
    ),
    ("[{ version = \"v1\" }]", "[]", &["services.notices.versions"]),
    (
        "[{ version = \"v1\" }]",
        "[{ version = \"v1\", state = \"rolled_back\" }]",
        &["services.notices.versions"],
    ),
    ("{ version = \"v2\" }]", "{ version = \"v1\" }]", &["services.advisor.versions[1].version"]),
    ("service = \"notices\"", "service = \"nobody\"", &["routes.send-alarm.service"]),
    ("service = \"notices\"", "service = \"advisor\"", &["routes.send-alarm.service"]),
    (
        "{ session = { model = \"advisor-7b\" } }\nservice = \"advisor\"",
        "{ session = { model = \"advisor-7b\" } }\nservice = \"notices\"",
        &["routes.advice.service"],
    ),
    (
        "{ session = { model = \"advisor-7b\" } }",
        "{ session = { model = \"other\" } }",
        &["routes.advice.service"],
    ),
    ("\"send_alarm\"", "\"send alarm\"", &["routes.send-alarm.match.tool"]),
    ("\"send_alarm\"", "\"\"", &["routes.send-alarm.match.tool"]),
    (
        "service = \"notices\"",
        "service = \"notices\"\ndeadline_ms = 0",
        &["routes.send-alarm.deadline_ms"],
    ),
    (
        "[windows.frost]",
        "[routes.twin]\nmatch = { tool = { tool = \"send_alarm\" } }\nservice = \"notices\"\n[windows.frost]",
        &["routes.twin.match"],
    ),
    ("end = 2000", "end = 1000", &["windows.frost.end"]),
    ("end = 2000", "end = 999", &["windows.frost.end"]),
    ("group = \"growers\"\nservice", "group = \"nobody\"\nservice", &["windows.frost.group"]),
    ("slots = 20\n\n[windows.sowing]", "slots = 21\n\n[windows.sowing]", &["windows.sowing.slots"]),
    ("slots = 20\n\n[windows.sowing]", "slots = 0\n\n[windows.sowing]", &["windows.frost.slots"]),
    ("key_digests = [\"00", "key_digests = [\"zz", &["tenants.serra-verde.key_digests[0]"]),
    ("key_digests = [\"00", "key_digests = [\"0", &["tenants.serra-verde.key_digests[0]"]),
    (
        "[tenants.serra-verde]",
        "[tenants.serra-verde]\nlimits = { requests_per_second = 0.0, concurrency = 0 }",
        &[
            "tenants.serra-verde.limits.requests_per_second",
            "tenants.serra-verde.limits.concurrency",
        ],
    ),
];

#[test]
fn each_fault_is_named_by_its_path() {
    for (from, to, expected) in ROWS {
        assert!(VALID.contains(from), "the row changes nothing: {from}");
        let text = VALID.replacen(from, to, 1);
        let bundle = parse(&text, TextFormat::Toml).unwrap_or_else(|e| panic!("{to}: {e}"));
        assert_eq!(paths(&bundle), *expected, "{from} -> {to}");
    }
}

#[test]
fn windows_that_only_touch_do_not_add_up() {
    let text =
        VALID.replacen("start = 1500", "start = 2000", 1).replace("slots = 20", "slots = 40");
    assert_eq!(paths(&parse(&text, TextFormat::Toml).expect("parses")), Vec::<String>::new());
}

#[test]
fn validation_reports_all_faults_together() {
    let mut bundle = valid();
    bundle.base = bundle.version;
    for service in bundle.services.values_mut() {
        service.slots = 0;
        service.versions.iter_mut().for_each(|v| v.state = VersionState::RolledBack);
    }
    let found = paths(&bundle);
    let expected = [
        "version",
        "services.advisor.versions",
        "services.advisor.slots",
        "services.notices.versions",
        "services.notices.slots",
        "windows.frost.slots",
        "windows.sowing.slots",
    ];
    assert_eq!(found, expected);
}

#[test]
fn bundle_parse_errors_report_the_path() {
    let rows = [
        ("slots = 64", "slots = \"many\"", "services.notices.slots"),
        ("service = \"notices\"", "service = \"no tices\"", "routes.send-alarm.service"),
        ("kind = \"application\"", "kind = \"robot\"", "services.notices.kind"),
        ("start = 1000", "start = -1", "windows.frost.start"),
        ("start = 1000", "begin = 1000", "windows.frost.begin"),
    ];
    for (from, to, path) in rows {
        let text = VALID.replacen(from, to, 1);
        let error = parse(&text, TextFormat::Toml).expect_err(to);
        assert_eq!(error.path, path, "{to}: {error}");
    }
    let json = r#"{"version": 1, "base": 0, "services": {"a": {"kind": "model", "slots": "x", "versions": []}}}"#;
    let error = parse(json, TextFormat::guess(json)).expect_err("a text for slots");
    assert_eq!(error.path, "services.a.slots");
    for text in ["{", "version = ", "{} {}", ""] {
        assert!(parse(text, TextFormat::guess(text)).is_err(), "{text:?}");
    }
}
