//! Reads the resource usage of a process from `/proc`.

use std::time::Duration;

use anyhow::{Context, anyhow};

/// Clock ticks per second in `/proc/PID/stat`, a constant of Linux's user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Page size of `/proc/PID/statm`, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Resource usage of a process since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Processor time of all threads in user and kernel mode, with a resolution of 10 ms.
    pub(crate) cpu: Duration,
    /// Resident memory, in bytes.
    pub(crate) resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process.
    pub(crate) fn of(pid: u32) -> anyhow::Result<Self> {
        let stat = read(pid, "stat")?;
        // The command name may contain spaces, so fields are counted after its closing parenthesis.
        let fields_after_name = stat
            .rsplit_once(')')
            .map(|(_, rest)| rest)
            .ok_or(anyhow!("/proc/{pid}/stat contains no command name"))?;
        let fields: Vec<&str> = fields_after_name.split_whitespace().collect();
        let ticks = |index: usize| -> anyhow::Result<f64> {
            Ok(fields
                .get(index)
                .ok_or(anyhow!("/proc/{pid}/stat has too few fields"))?
                .parse::<f64>()?)
        };
        let cpu = Duration::from_secs_f64((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND);
        let statm = read(pid, "statm")?;
        let pages = statm
            .split_whitespace()
            .nth(1)
            .ok_or(anyhow!("/proc/{pid}/statm has too few fields"))?;
        Ok(Self { cpu, resident_bytes: pages.parse::<u64>()? * PAGE_BYTES })
    }

    /// Reads the usage of this process.
    pub(crate) fn own() -> anyhow::Result<Self> {
        Self::of(std::process::id())
    }
}

fn read(pid: u32, file: &str) -> anyhow::Result<String> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path).with_context(|| format!("cannot read {path}"))
}
