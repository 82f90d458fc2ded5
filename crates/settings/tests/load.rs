//! Loading of settings: sources, precedence and errors.

use std::collections::BTreeMap;
use std::io::Write;

use hooklug_settings::schema::SETTINGS;
use hooklug_settings::{CoreSettings, Overrides, SettingError, Settings};
use hooklug_types::{NodeRole, ZoneName};

const VALID: &str = r#"
rpc = "127.0.0.1:7000"
http = "127.0.0.1:8000"
zone = "z1"
seeds = ["127.0.0.2:7000", "127.0.0.3:7000"]
data_folder = "data"
cluster_secret = "a secret of 16 or more"

[engine]
id = "e1"
service = "advisor"
version = "v1"
model_server = "127.0.0.1:9000"
"#;

type Loaded = Result<Settings, Vec<SettingError>>;

fn load(text: &str, environment: &[(&str, &str)], flags: &Overrides, role: NodeRole) -> Loaded {
    let mut file = tempfile::NamedTempFile::new().expect("a scratch file");
    file.write_all(text.as_bytes()).expect("written");
    let environment: Vec<(String, String)> =
        environment.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())).collect();
    Settings::load(Some(file.path()), environment, flags, role)
}

fn errors(text: &str, role: NodeRole) -> BTreeMap<String, SettingError> {
    let errors = load(text, &[], &Overrides::default(), role).expect_err("has errors");
    errors.into_iter().map(|error| (error.key.clone(), error)).collect()
}

#[test]
fn a_valid_file_loads_for_every_role_with_defaults() {
    for role in [NodeRole::Gateway, NodeRole::Engine, NodeRole::Core, NodeRole::Store] {
        let settings = load(VALID, &[], &Overrides::default(), role).expect("valid");
        assert_eq!(settings.grace_ms, 10_000);
        assert_eq!(settings.store.tick_ms, 50);
        assert_eq!(settings.engine.as_ref().map(|e| e.slots), Some(16));
        assert_eq!(settings.region.as_str(), "local");
        assert!(!settings.enable_faults);
    }
}

#[test]
fn the_documented_defaults_match_the_loaded_defaults() {
    let mut text = String::from(VALID);
    let mut sections: BTreeMap<&str, String> = BTreeMap::new();
    for setting in SETTINGS {
        let Some(default) = setting.default else { continue };
        match setting.key.split_once('.') {
            Some(("engine", key)) => text.push_str(&format!("{key} = {default}\n")),
            Some((section, key)) => {
                sections.entry(section).or_default().push_str(&format!("{key} = {default}\n"));
            }
            None if setting.key == "seeds" => {}
            None => text.insert_str(0, &format!("{} = {default}\n", setting.key)),
        }
    }
    for (section, keys) in sections {
        text.push_str(&format!("[{section}]\n{keys}"));
    }
    let none = Overrides::default();
    let written = load(&text, &[], &none, NodeRole::Store).expect("defaults are allowed");
    let implied = load(VALID, &[], &none, NodeRole::Store).expect("valid");
    assert_eq!(written, implied);
}

#[test]
fn variables_override_the_file_and_flags_override_variables() {
    let environment = [
        ("HOOKLUG_ZONE", "z2"),
        ("HOOKLUG_STORE__EXPECT_STORES", "5"),
        ("HOOKLUG_ENGINE__SLOTS", "3"),
        ("HOOKLUG_SEEDS", "[\"127.0.0.9:7000\"]"),
        ("OTHER_ZONE", "z9"),
    ];
    let flags = Overrides::default();
    let settings = load(VALID, &environment, &flags, NodeRole::Engine).expect("valid");
    assert_eq!(settings.zone.as_str(), "z2");
    assert_eq!(settings.store.expect_stores, 5);
    assert_eq!(settings.engine.map(|e| (e.slots, e.id.to_string())), Some((3, "e1".to_owned())));
    assert_eq!(settings.seeds.len(), 1);
    let flags = Overrides {
        zone: Some(ZoneName::new("z3").expect("valid")),
        enable_faults: Some(true),
        ..Overrides::default()
    };
    let settings = load(VALID, &environment, &flags, NodeRole::Engine).expect("valid");
    assert_eq!(settings.zone.as_str(), "z3");
    assert!(settings.enable_faults);
}

/// Text of the valid file, its replacement, and the key of the expected error.
const ROWS: &[(&str, &str, &str)] = &[
    ("rpc = \"127.0.0.1:7000\"", "rpc = \"localhost:7000\"", "rpc"),
    ("rpc = \"127.0.0.1:7000\"", "rpc = \"127.0.0.1:0\"", "rpc"),
    ("rpc = \"127.0.0.1:7000\"", "rpc = \"0.0.0.0:7000\"", "rpc"),
    ("rpc = \"127.0.0.1:7000\"", "rpc = 7000", "rpc"),
    ("rpc = \"127.0.0.1:7000\"", "", "rpc"),
    ("127.0.0.1:8000", "127.0.0.1:7000", "http"),
    ("zone = \"z1\"", "zone = \"z 1\"", "zone"),
    ("\"127.0.0.3:7000\"]", "\"127.0.0.2:7000\"]", "seeds"),
    ("\"127.0.0.3:7000\"]", "\"1.1.1.1:1\", \"1.1.1.2:1\", \"1.1.1.3:1\"]", "seeds"),
    ("data_folder = \"data\"", "", "data_folder"),
    ("a secret of 16 or more", "short", "cluster_secret"),
    ("zone = \"z1\"", "zone = \"z1\"\ngrace_ms = 1", "grace_ms"),
    ("zone = \"z1\"", "zone = \"z1\"\ngrace = 1000", "grace"),
    ("zone = \"z1\"", "zone = \"z1\"\nenable_faults = \"yes\"", "enable_faults"),
    ("[engine]", "[store]\nticks = 3\n[engine]", "store.ticks"),
    ("[engine]", "[store]\ntick_ms = -3\n[engine]", "store.tick_ms"),
    ("[engine]", "[store]\ntick_ms = 2.5\n[engine]", "store.tick_ms"),
    ("[engine]", "[gateway]\nretry_share = 1.5\n[engine]", "gateway.retry_share"),
    ("[engine]", "[gateway]\nmode = \"fast\"\n[engine]", "gateway.mode"),
    ("[engine]", "[core]\nplatform_list = \"http://host/x\"\n[engine]", "core.platform_list"),
    ("[engine]", "[operators]\nkeys = { anna = \"00\" }\n[engine]", "operators.keys"),
    ("[engine]", "[operators]\nrequired_signatures = 1\n[engine]", "operators.required_signatures"),
    (
        "[engine]",
        "[operators]\nadmin_key_digests = [\"x\"]\n[engine]",
        "operators.admin_key_digests",
    ),
    ("id = \"e1\"", "", "engine.id"),
];

#[test]
fn each_settings_fault_reports_key_found_value_and_allowed_values() {
    for (from, to, key) in ROWS {
        assert!(VALID.contains(from), "the row changes nothing: {from}");
        let found = errors(&VALID.replacen(from, to, 1), NodeRole::Store);
        assert_eq!(found.keys().collect::<Vec<_>>(), [key], "{from} -> {to}: {found:?}");
        let error = &found[*key];
        assert!(!error.found.is_empty() && !error.allowed.is_empty(), "{error}");
    }
}

#[test]
fn all_settings_faults_are_reported_together_with_their_origin() {
    let text = "rpc = 1\ncluster_secret = \"short\"\n[store]\ntick_ms = 0";
    let flags = Overrides {
        seeds: vec!["127.0.0.1:0".parse().expect("an address")],
        ..Overrides::default()
    };
    let found =
        load(text, &[("HOOKLUG_ZONE", "a b")], &flags, NodeRole::Engine).expect_err("errors");
    let mut keys: Vec<&str> = found.iter().map(|f| f.key.as_str()).collect();
    keys.sort_unstable();
    let expected = [
        "cluster_secret",
        "engine.id",
        "engine.model_server",
        "engine.service",
        "engine.version",
        "http",
        "rpc",
        "seeds",
        "store.tick_ms",
        "zone",
    ];
    assert_eq!(keys, expected);
    let origin = |key: &str| found.iter().find(|f| f.key == key).map(|f| f.origin.clone());
    assert!(origin("rpc").is_some_and(|o| o.starts_with("TOML file")), "{:?}", origin("rpc"));
    assert_eq!(origin("zone").as_deref(), Some("HOOKLUG_* variables"));
    assert_eq!(origin("seeds").as_deref(), Some("flags"));
}

#[test]
fn a_secret_is_never_shown() {
    let found = errors(&VALID.replace("a secret of 16 or more", "hush"), NodeRole::Core);
    assert_eq!(found["cluster_secret"].found, "a text of 4 characters");
    let settings = load(VALID, &[], &Overrides::default(), NodeRole::Core).expect("valid");
    assert!(!format!("{settings:?}").contains("a secret of 16"));
}

#[test]
fn a_missing_or_malformed_file_is_a_fault() {
    let missing = Settings::load(
        Some(std::path::Path::new("no-such-file.toml")),
        Vec::new(),
        &Overrides::default(),
        NodeRole::Core,
    );
    assert_eq!(missing.expect_err("missing")[0].key, "--settings");
    assert!(load("rpc = ", &[], &Overrides::default(), NodeRole::Core).is_err());
}

/// Guards against a file, written by this build, that the build before refuses for names of settings
/// that it does not know.
#[test]
fn new_settings_are_written_only_if_they_are_set() {
    let defaults = CoreSettings::default();
    let text = toml::to_string(&defaults).unwrap();
    assert!(!text.contains("rollout_exposure"), "{text}");
    assert_eq!(toml::from_str::<CoreSettings>(&text).unwrap(), defaults);
    let set = CoreSettings {
        rollout_exposure_share: 0.2,
        rollout_exposure_requests: 7,
        ..CoreSettings::default()
    };
    let text = toml::to_string(&set).unwrap();
    assert_eq!(toml::from_str::<CoreSettings>(&text).unwrap(), set);
}
