//! Implementation of the commands, one module per command.

pub(crate) mod bundle;
pub(crate) mod check;
pub(crate) mod cluster;
pub(crate) mod sessions;
pub(crate) mod status;

use std::io::{ErrorKind, Write};

use serde::Serialize;

/// Prints text to standard output. A closed pipe is not an error.
pub(crate) fn print(text: &str) -> anyhow::Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(()),
    }
}

/// Prints a value as JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) -> anyhow::Result<()> {
    print(&format!("{}\n", serde_json::to_string_pretty(value)?))
}
