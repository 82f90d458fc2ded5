//! `hooklug-bench`: load, faults and measurements against a whole fleet on one machine.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod hollow;
mod slopes;

use std::future::Future;

use clap::{Parser, Subcommand};
use hooklug_bench::command;

/// Load, faults and measurements against a whole fleet on one machine.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a scenario and writes its report.
    Run(command::run::Arguments),
    /// Runs two scenarios one after the other and shows their figures side by side.
    Compare(command::compare::Arguments),
    /// Random faults against a fleet under load, judged by the oracle.
    Chaos(command::chaos::Arguments),
    /// Measures how the cost of each role grows with what drives it.
    Slopes(slopes::Args),
    /// Runs hundreds of hollow nodes before real cores and stores.
    Hollow(hollow::Args),
}

fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Run(arguments) => command::run::run(&arguments),
        Command::Compare(arguments) => command::compare::run(&arguments),
        Command::Chaos(arguments) => command::chaos::run(&arguments),
        Command::Slopes(arguments) => block_on(slopes::run(arguments)),
        Command::Hollow(arguments) => block_on(hollow::run(arguments)),
    }
}

fn block_on(work: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(work)
}
