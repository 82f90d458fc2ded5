//! `hooklug-bench`: load tests, fault injection and measurements for a complete fleet on one
//! machine.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod hollow;
mod slopes;

use std::future::Future;

use clap::{Parser, Subcommand};
use hooklug_bench::command;

/// Load tests, fault injection and measurements for a complete fleet on one machine.
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
    /// Runs two scenarios one after the other and reports the ratios of their results.
    Compare(command::compare::Arguments),
    /// Injects random faults into a fleet under load and checks the promises with the oracle.
    Chaos(command::chaos::Arguments),
    /// Measures how the resource cost of each role grows with its load.
    Slopes(slopes::Args),
    /// Runs hundreds of hollow nodes against real cores and stores.
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
