//! `hooklug-bench`: load, faults and measurements against a whole fleet on one machine.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

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
    /// Random faults against a fleet under load, judged by the oracle.
    Chaos(command::chaos::Arguments),
}

fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Chaos(arguments) => command::chaos::run(&arguments),
    }
}
