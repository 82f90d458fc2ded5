//! One module a command.

pub(crate) mod bundle;
pub(crate) mod check;
pub(crate) mod cluster;
pub(crate) mod sessions;
pub(crate) mod status;

use serde::Serialize;

/// Prints an answer as JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
