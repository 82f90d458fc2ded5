//! Writes results as JSON lines to standard output and optionally to a file.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use serde::Serialize;
use serde_json::{Value, json};

/// Output of an experiment's results.
#[derive(Debug)]
pub(crate) struct Report {
    file: Option<Mutex<File>>,
}

impl Report {
    /// Creates a report. Its first line holds the environment and the arguments of the run.
    pub(crate) fn start(file: Option<&Path>) -> anyhow::Result<Self> {
        let open = |path: &Path| {
            let opened = OpenOptions::new().create(true).append(true).open(path);
            opened.map(Mutex::new).with_context(|| format!("cannot write {}", path.display()))
        };
        let report = Self { file: file.map(open).transpose()? };
        report.line("environment", &environment())?;
        Ok(report)
    }

    /// Writes one line with its kind, the current load average and `fields`.
    pub(crate) fn line(&self, kind: &str, fields: &impl Serialize) -> anyhow::Result<()> {
        let mut line = json!({"kind": kind, "load_average": load_average()});
        if let (Value::Object(line), Value::Object(fields)) =
            (&mut line, serde_json::to_value(fields)?)
        {
            line.extend(fields);
        }
        println!("{line}");
        if let Some(file) = &self.file {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}

/// Reads the machine's load average over the last minute.
pub(crate) fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

fn environment() -> Value {
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kernel = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
    let cpu = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let field = |text: &str, name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        line.split_once(':').map(|(_, value)| value.trim().to_owned())
    };
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
    json!({
        "arguments": std::env::args().skip(1).collect::<Vec<_>>(),
        "version": env!("CARGO_PKG_VERSION"),
        "optimized": !cfg!(debug_assertions),
        "unix_seconds": seconds,
        "cores": std::thread::available_parallelism().map_or(0, std::num::NonZero::get),
        "memory": field(&memory, "MemTotal"),
        "processor": field(&cpu, "model name"),
        "kernel": kernel.trim(),
    })
}
