//! The `hooklug` command: runs a process of any role, and serves operators.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod cli;
mod command;
mod logging;
mod operator_client;
mod table;

use std::process::ExitCode;

use clap::Parser;

use cli::{BundleCommand, Cli, ClusterCommand, Command, RoleArgs, SessionsCommand};
use hooklug_types::NodeRole;

/// Exit code when settings or a bundle have faults.
const EXIT_FAULTS: u8 = 2;

/// How a command ended, when it did not fail.
pub(crate) enum Outcome {
    /// As asked.
    Done,
    /// Faults were found and printed.
    Faults,
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(Outcome::Done) => ExitCode::SUCCESS,
        Ok(Outcome::Faults) => ExitCode::from(EXIT_FAULTS),
        Err(error) => {
            eprintln!("hooklug: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> anyhow::Result<Outcome> {
    match cli.command {
        Command::Gateway(args) => run_role(NodeRole::Gateway, &args),
        Command::Engine(args) => run_role(NodeRole::Engine, &args),
        Command::Core(args) => run_role(NodeRole::Core, &args),
        Command::Store(args) => run_role(NodeRole::Store, &args),
        Command::Check(args) => Ok(command::check::run(&args)),
        Command::Bundle { command } => run_bundle(command),
        Command::Status(args) => operator(command::status::run(&args)),
        Command::Sessions { command } => operator(async {
            match command {
                SessionsCommand::List(args) => command::sessions::list(&args).await,
                SessionsCommand::Show(args) => command::sessions::show(&args).await,
            }
        }),
        Command::Cluster { command: ClusterCommand::Retire(args) } => {
            operator(command::cluster::retire(&args))
        }
    }
}

fn run_role(role: NodeRole, args: &RoleArgs) -> anyhow::Result<Outcome> {
    let settings = match command::check::load(&args.settings, role) {
        Ok(settings) => settings,
        Err(faults) => {
            command::check::print_faults(&faults);
            return Ok(Outcome::Faults);
        }
    };
    logging::start(args.log_format);
    hooklug_node::run(role, settings, hooklug_node::roles::usual)?;
    Ok(Outcome::Done)
}

fn run_bundle(bundle: BundleCommand) -> anyhow::Result<Outcome> {
    use command::bundle;
    match bundle {
        BundleCommand::Validate { file } => bundle::validate(&file),
        BundleCommand::Diff { before, after } => bundle::diff(&before, &after),
        BundleCommand::Keygen { out } => bundle::keygen(&out),
        BundleCommand::Sign(args) => bundle::sign(&args),
        BundleCommand::Submit(args) => operator(bundle::submit(&args)),
        BundleCommand::Show(args) => operator(bundle::show(&args)),
        BundleCommand::History(args) => operator(bundle::history(&args)),
        BundleCommand::Rollback(args) => operator(bundle::rollback(&args)),
    }
}

/// Runs a command that asks a node.
fn operator(command: impl Future<Output = anyhow::Result<Outcome>>) -> anyhow::Result<Outcome> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(command)
}
