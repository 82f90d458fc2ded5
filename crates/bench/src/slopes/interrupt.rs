//! Stops a run on Ctrl-C or SIGTERM by dropping it, so that its fleet stops its processes.

use std::future::Future;

use anyhow::bail;
use tokio::signal::unix::{SignalKind, signal};

/// Runs a future to completion, or returns an error on Ctrl-C or SIGTERM.
pub(crate) async fn interruptible(
    run: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let mut interrupted = signal(SignalKind::interrupt())?;
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        ended = run => ended,
        _ = interrupted.recv() => bail!("interrupted by SIGINT"),
        _ = terminated.recv() => bail!("terminated by SIGTERM"),
    }
}
