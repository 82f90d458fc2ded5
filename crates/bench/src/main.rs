//! Load, experiments, invariant checks and reports.

mod hollow;
mod slopes;

use clap::{Parser, Subcommand};

/// Load, experiments and measurements on fleets of one machine.
#[derive(Debug, Parser)]
#[command(name = "hooklug-bench", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measures how the cost of each role grows with what drives it.
    Slopes(slopes::Args),
    /// Runs hundreds of hollow nodes before real cores and stores.
    Hollow(hollow::Args),
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match CommandLine::parse().command {
        Command::Slopes(args) => slopes::run(args).await,
        Command::Hollow(args) => hollow::run(args).await,
    }
}
