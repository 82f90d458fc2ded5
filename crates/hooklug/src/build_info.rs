//! Which build this program is.

use tracing::info;

/// Commit of the sources, or `unknown` if they were no git work tree.
pub const COMMIT: &str = env!("BUILD_COMMIT");

/// Whether compiled files differed from the commit: `clean`, `modified` or `unknown`.
pub const TREE: &str = env!("BUILD_TREE");

/// Version of the release, with the commit and the state of the sources.
pub const VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (commit ",
    env!("BUILD_COMMIT"),
    ", ",
    env!("BUILD_TREE"),
    ")"
);

/// Writes the build to the log, as the first line of a process.
pub(crate) fn log() {
    info!(version = env!("CARGO_PKG_VERSION"), commit = COMMIT, tree = TREE, "hooklug starts");
}

/// Sets the gauge that tells the build in its labels.
pub(crate) fn publish() {
    let labels = [("version", env!("CARGO_PKG_VERSION")), ("commit", COMMIT), ("tree", TREE)];
    metrics::gauge!("hooklug_build_info", &labels).set(1.0);
}
