//! The `hooklug` command: runs a process of any role, and provides commands for operators.

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

/// Exit code for invalid settings or an invalid bundle.
const EXIT_INVALID: u8 = 2;

/// Outcome of a command that ran without an error.
pub(crate) enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// The settings or the bundle are invalid; the errors have been printed.
    Invalid,
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(CommandOutcome::Done) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Invalid) => ExitCode::from(EXIT_INVALID),
        Err(error) => {
            eprintln!("hooklug: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> anyhow::Result<CommandOutcome> {
    match cli.command {
        Command::Gateway(args) => run_role(NodeRole::Gateway, &args),
        Command::Engine(args) => run_role(NodeRole::Engine, &args),
        Command::Core(args) => run_role(NodeRole::Core, &args),
        Command::Store(args) => run_role(NodeRole::Store, &args),
        Command::Check(args) => Ok(command::check::run(&args)),
        Command::Bundle { command } => run_bundle(command),
        Command::Status(args) => block_on_command(command::status::run(&args)),
        Command::Sessions { command } => block_on_command(async {
            match command {
                SessionsCommand::List(args) => command::sessions::list(&args).await,
                SessionsCommand::Show(args) => command::sessions::show(&args).await,
            }
        }),
        Command::Cluster { command: ClusterCommand::Retire(args) } => {
            block_on_command(command::cluster::retire(&args))
        }
    }
}

fn run_role(role: NodeRole, args: &RoleArgs) -> anyhow::Result<CommandOutcome> {
    let settings = match command::check::load(&args.settings, role) {
        Ok(settings) => settings,
        Err(errors) => {
            command::check::print_errors(&errors);
            return Ok(CommandOutcome::Invalid);
        }
    };
    logging::init(args.log_format);
    hooklug_node::run(role, settings, hooklug_node::roles::build_default)?;
    Ok(CommandOutcome::Done)
}

fn run_bundle(bundle: BundleCommand) -> anyhow::Result<CommandOutcome> {
    use command::bundle;
    match bundle {
        BundleCommand::Validate { file } => bundle::validate(&file),
        BundleCommand::Diff { before, after } => bundle::diff(&before, &after),
        BundleCommand::Keygen { out } => bundle::keygen(&out),
        BundleCommand::Sign(args) => bundle::sign(&args),
        BundleCommand::Submit(args) => block_on_command(bundle::submit(&args)),
        BundleCommand::Show(args) => block_on_command(bundle::show(&args)),
        BundleCommand::History(args) => block_on_command(bundle::history(&args)),
        BundleCommand::Rollback(args) => block_on_command(bundle::rollback(&args)),
    }
}

/// Runs a command that sends requests to nodes.
fn block_on_command(
    command: impl Future<Output = anyhow::Result<CommandOutcome>>,
) -> anyhow::Result<CommandOutcome> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(command)
}
