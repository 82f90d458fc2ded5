//! Finds the binaries that a fleet runs, in the target folder of the current program. Under cargo
//! they are built first.

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;

use crate::FleetError;

/// Paths of the binaries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Binaries {
    pub hooklug: PathBuf,
    pub emulator: PathBuf,
}

static BINARIES: OnceLock<Result<Binaries, String>> = OnceLock::new();

impl Binaries {
    /// Finds the binaries, building them first when run by cargo. Done once per process.
    pub(crate) fn find() -> Result<Self, FleetError> {
        BINARIES.get_or_init(find_binaries).clone().map_err(FleetError::Build)
    }
}

fn find_binaries() -> Result<Binaries, String> {
    let folder = profile_folder()?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(&cargo, &folder)?;
    }
    let binaries =
        Binaries { hooklug: folder.join("hooklug"), emulator: folder.join("hooklug-emulator") };
    for path in [&binaries.hooklug, &binaries.emulator] {
        if !path.is_file() {
            return Err(format!("{} is missing; build the workspace first", path.display()));
        }
    }
    Ok(binaries)
}

/// The folder under `target` for the profile with which this program was built.
fn profile_folder() -> Result<PathBuf, String> {
    let executable = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = executable.parent().ok_or("the path of this program has no parent folder")?;
    // Test and example binaries are one folder deeper.
    let is_nested = matches!(folder.file_name().and_then(OsStr::to_str), Some("deps" | "examples"));
    let folder = if is_nested { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.to_owned())
}

/// Cargo arguments for nodes that break a rule on purpose.
const BROKEN_RULES_ARGUMENTS: &[&str] = &["--features", "hooklug/broken-rules"];

/// Builds the binaries with cargo, which skips those that are up to date.
fn build(cargo: &OsStr, folder: &Path) -> Result<(), String> {
    let target = folder.parent().ok_or("the target folder has no parent")?;
    let profile = match folder.file_name().and_then(OsStr::to_str) {
        Some("debug") | None => "dev",
        Some(name) => name,
    };
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let status = Command::new(cargo)
        .args(["build", "--quiet", "--bin", "hooklug", "--bin", "hooklug-emulator"])
        .args(if cfg!(feature = "broken-rules") { BROKEN_RULES_ARGUMENTS } else { &[] })
        .args(["--profile", profile, "--target-dir"])
        .arg(target)
        .current_dir(workspace)
        .stdin(Stdio::null())
        .status()
        .map_err(|e| format!("cannot run {}: {e}", cargo.display()))?;
    if status.success() { Ok(()) } else { Err(format!("cargo build failed: {status}")) }
}
