//! Initialization of logging, as text or JSON.

use std::io::IsTerminal;

use tracing_subscriber::EnvFilter;

use crate::cli::LogFormat;

/// Filter if `RUST_LOG` is not set or invalid.
const DEFAULT_FILTER: &str = "info";

/// Initializes logging to standard error.
pub(crate) fn init(format: LogFormat) {
    let filter =
        EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let colours = std::io::stderr().is_terminal();
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(colours)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}
