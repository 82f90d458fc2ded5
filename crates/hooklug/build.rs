//! Tells the program which commit it is built from, if the sources are a git work tree.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Value where the sources tell nothing.
const UNKNOWN: &str = "unknown";

/// Files that are compiled into the program.
const COMPILED: [&str; 5] = [
    "Cargo.toml",
    "Cargo.lock",
    ":(glob)crates/*/Cargo.toml",
    ":(glob)crates/*/src/**",
    "platform",
];

fn main() {
    let root = workspace_root();
    rerun_when_sources_change(&root);
    let (commit, tree) = describe(&root).unwrap_or((UNKNOWN.to_owned(), UNKNOWN));
    println!("cargo::rustc-env=BUILD_COMMIT={commit}");
    println!("cargo::rustc-env=BUILD_TREE={tree}");
}

fn workspace_root() -> PathBuf {
    let manifest = std::env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default();
    Path::new(&manifest).join("../..")
}

/// A new commit changes the log of HEAD, also if it changes no file that is compiled.
fn rerun_when_sources_change(root: &Path) {
    let watched = ["Cargo.toml", "Cargo.lock", "platform/src", ".git/HEAD", ".git/logs/HEAD"];
    let mut paths: Vec<PathBuf> = watched.iter().map(|name| root.join(name)).collect();
    let crates = std::fs::read_dir(root.join("crates")).into_iter().flatten().flatten();
    paths.extend(crates.map(|folder| folder.path().join("src")));
    for path in paths.iter().filter(|path| path.exists()) {
        println!("cargo::rerun-if-changed={}", path.display());
    }
}

/// Returns the commit, and whether compiled files differ from it.
fn describe(root: &Path) -> Option<(String, &'static str)> {
    let top = git(root, &["rev-parse", "--show-toplevel"])?;
    // Sources that were unpacked inside another work tree are no part of its commits.
    if Path::new(&top).canonicalize().ok()? != root.canonicalize().ok()? {
        return None;
    }
    let commit = git(root, &["rev-parse", "--short=12", "HEAD"])?;
    let mut status = vec!["status", "--porcelain", "--"];
    status.extend(COMPILED);
    let changes = git(root, &status)?;
    Some((commit, if changes.is_empty() { "clean" } else { "modified" }))
}

fn git(root: &Path, arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").arg("-C").arg(root).args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
