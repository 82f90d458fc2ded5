//! The command line: exit codes, errors, keys and graceful shutdown.

mod common;

use std::path::Path;
use std::process::{Command, Output};

use common::{Fleet, eventually, get_text, request};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;

fn hooklug(arguments: &[&str], folder: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hooklug"))
        .args(arguments)
        .current_dir(folder)
        .output()
        .expect("the binary runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_prints_every_fault_and_exits_with_two() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    let settings = "rpc = \"127.0.0.1:1\"\nzone = \"a b\"\ncluster_secret = \"short\"\n";
    std::fs::write(folder.path().join("s.toml"), settings).expect("written");
    let output = hooklug(&["check", "--settings", "s.toml", "--role", "store"], folder.path());
    assert_eq!(output.status.code(), Some(2));
    let errors = text(&output.stderr);
    for key in ["zone: ", "cluster_secret: ", "http: ", "data_folder: ", "4 errors"] {
        assert!(errors.contains(key), "{key} is missing in:\n{errors}");
    }
    assert!(!errors.contains("short"), "a secret is shown:\n{errors}");
    let run = hooklug(&["core", "--settings", "s.toml"], folder.path());
    assert_eq!(run.status.code(), Some(2), "a role does not start with invalid settings");
}

#[test]
fn the_example_bundle_is_valid_and_faults_exit_with_two() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = hooklug(&["bundle", "validate", "examples/bundle.toml"], &root);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let folder = tempfile::tempdir().expect("a scratch folder");
    std::fs::write(folder.path().join("b.json"), r#"{"version": 1, "base": 1}"#).expect("written");
    let output = hooklug(&["bundle", "validate", "b.json"], folder.path());
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("version: is 1, must be higher than the base"));
}

#[test]
fn generated_key_files_are_private_and_sign_bundles() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a scratch folder");
    let path = folder.path();
    std::fs::write(path.join("b.json"), r#"{"version": 1, "base": 0}"#).expect("written");
    let generated = hooklug(&["bundle", "keygen", "--out", "anna.key"], path);
    assert!(generated.status.success(), "{}", text(&generated.stderr));
    let secret = std::fs::read_to_string(path.join("anna.key")).expect("written");
    let mode = std::fs::metadata(path.join("anna.key")).expect("there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_ne!(text(&generated.stdout), secret, "only the public key is printed");
    let again = hooklug(&["bundle", "keygen", "--out", "anna.key"], path);
    assert!(!again.status.success(), "a key is never overwritten");
    let sign = ["bundle", "sign", "b.json", "--operator", "anna", "--secret-file", "anna.key"];
    let signed = hooklug(&sign, path);
    assert!(text(&signed.stdout).starts_with("anna="), "{}", text(&signed.stderr));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_exit_with_code_zero_on_sigterm() {
    let mut fleet = Fleet::started(65, 3, 1, 1);
    let gateway = fleet.with_role("gateway")[0];
    fleet.wait_for_members(gateway, 5).await;
    for process in &mut fleet.processes {
        process.signal(Signal::SIGTERM);
        assert_eq!(process.wait().code(), Some(0), "{}", process.role);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_the_cluster_as_tables_and_as_json() {
    let fleet = Fleet::started(66, 3, 1, 1);
    let gateway = fleet.with_role("gateway")[0];
    fleet.wait_for_members(gateway, 5).await;
    eventually("ready stores", async || {
        let ready = request(fleet.http(0), Method::GET, "/readyz", "").await;
        ready.is_some_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
    let node = fleet.http(gateway).to_string();
    let folder = std::env::temp_dir();
    let run = |arguments: Vec<String>| async {
        let folder = folder.clone();
        tokio::task::spawn_blocking(move || {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            hooklug(&arguments, &folder)
        })
        .await
        .expect("it ran")
    };
    let status =
        |output: &str| ["status", "--node", &node, "--output", output].map(str::to_owned).to_vec();
    let tables = run(status("table")).await;
    assert!(tables.status.success(), "{}", text(&tables.stderr));
    let titles = [
        "members",
        "engines",
        "shards",
        "versions",
        "statistics of the last minute",
        "sessions by owner",
        "windows",
        "slots in use",
    ];
    for title in titles {
        assert!(text(&tables.stdout).contains(&format!("\n{title}\n")), "{title} is missing");
    }
    let json = run(status("json")).await;
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["members"].as_array().map(Vec::len), Some(5));
    assert_eq!(json["shards"].as_array().map(Vec::len), Some(17));
    assert!(json["slots"].is_array());
    assert_eq!(json["unread_groups"].as_array().map(Vec::len), Some(0));
}

/// Returns what git says of the sources, or `None` if they are no git work tree.
fn commit_of_sources() -> Option<String> {
    let output = Command::new("git")
        .args(["rev-parse", "--short=12", "HEAD"])
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .output()
        .ok()?;
    output.status.success().then(|| text(&output.stdout).trim().to_owned())
}

/// Guards against a program of an unknown build: the version, the first line of the log and the
/// metrics of a process name its commit.
#[tokio::test]
async fn a_process_tells_which_build_it_is() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    let commit = commit_of_sources().unwrap_or_else(|| "unknown".to_owned());
    let version = text(&hooklug(&["--version"], folder.path()).stdout);
    assert!(version.contains(&format!("(commit {commit}, ")), "{version}");
    let fleet = Fleet::started(79, 0, 1, 0);
    eventually("the core serves its metrics", async || {
        let metrics = get_text(fleet.http(0), "/metrics").await.unwrap_or_default();
        metrics.contains("hooklug_build_info{") && metrics.contains(&commit)
    })
    .await;
    let log = fleet.log(0);
    let first = log.lines().next().unwrap_or_default();
    assert!(first.contains(&commit), "{log}");
}
