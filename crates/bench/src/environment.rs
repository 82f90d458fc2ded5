//! The machine and the build that a run was made with; every report starts with them.

use hooklug_types::UnixMillis;
use serde::Serialize;

/// The machine and the build that a run was made with.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Environment {
    /// Version of the workspace.
    pub version: &'static str,
    /// `release` or `debug`.
    pub profile: &'static str,
    /// Time at which this was read, in milliseconds since 1970.
    pub at: u64,
    /// Processors that this process may use.
    pub processors: usize,
    /// Processor model, from `/proc/cpuinfo`.
    pub processor: String,
    /// Total memory, in kilobytes.
    pub memory_kb: u64,
    /// Load averages over 1, 5 and 15 minutes.
    pub load: String,
    /// Kernel release.
    pub kernel: String,
}

impl Environment {
    /// Reads the current environment.
    #[must_use]
    pub fn read() -> Self {
        Self {
            version: env!("CARGO_PKG_VERSION"),
            profile: if cfg!(debug_assertions) { "debug" } else { "release" },
            at: UnixMillis::now().0,
            processors: std::thread::available_parallelism().map_or(0, usize::from),
            processor: proc_field("/proc/cpuinfo", "model name"),
            memory_kb: proc_field("/proc/meminfo", "MemTotal")
                .trim_end_matches(" kB")
                .parse()
                .unwrap_or(0),
            load: load_averages(),
            kernel: read_trimmed("/proc/sys/kernel/osrelease"),
        }
    }
}

/// Reads the load averages over 1, 5 and 15 minutes.
#[must_use]
pub fn load_averages() -> String {
    read_trimmed("/proc/loadavg").split(' ').take(3).collect::<Vec<_>>().join(" ")
}

fn read_trimmed(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default().trim().to_owned()
}

/// Returns the value of the first line of a `/proc` file that starts with `name`.
fn proc_field(path: &str, name: &str) -> String {
    let text = read_trimmed(path);
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split_once(':')).map_or("", |(_, value)| value.trim()).to_owned()
}
