//! The subcommands of `hooklug-bench`.

pub mod chaos;
pub mod compare;

mod progress;
pub mod run;

use std::future::Future;

/// Runs a subcommand on a new runtime. Ctrl-C drops it, which also stops its fleet.
fn block_on<T>(work: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            done = work => done,
            _ = tokio::signal::ctrl_c() => anyhow::bail!("interrupted by Ctrl-C"),
        }
    })
}
