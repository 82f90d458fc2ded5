//! `hooklug-fleet`: runs a complete fleet on this machine, for developers.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Args, Parser, Subcommand};
use hooklug_fleet::control::{CommandServer, FleetCommand, Target, send_command};
use hooklug_fleet::demo::{self, DemoError};
use hooklug_fleet::{Fleet, FleetError, FleetOptions, ProcessName, Topology};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after `SIGINT` or `SIGTERM`; shells use it for an interrupted command.
const EXIT_INTERRUPTED: u8 = 130;

/// Runs a complete hooklug fleet on this machine, each node a process at its own loopback address.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start a fleet and run it until Ctrl-C
    Up(UpArgs),
    /// Start a small fleet, run the demo against it and stop it
    Demo(DemoArgs),
    /// Show the processes of a running fleet
    Status(RunningArgs),
    /// Kill a process (SIGKILL)
    Kill(TargetArgs),
    /// Freeze a process (SIGSTOP)
    Freeze(NameArgs),
    /// Resume a frozen process (SIGCONT)
    Wake(NameArgs),
    /// Block the link between two nodes
    Cut(CutArgs),
    /// Unblock all links
    Heal(RunningArgs),
    /// Replace a process by one with an empty disk at a new address
    Replace(NameArgs),
    /// Kill a store, delete its data and start it again
    LoseDisk(NameArgs),
    /// Send SIGTERM to a process, or make a fake backend refuse new work
    Drain(NameArgs),
    /// Restart a process; a stopped one is started
    Restart(NameArgs),
    /// Restart all nodes, one after another
    RollingRestart(RunningArgs),
    /// Show the last lines of a process's log
    Logs(LogArgs),
}

#[derive(Debug, Args)]
struct RunningArgs {
    /// Data folder of the running fleet
    #[arg(long, default_value = "fleet-data")]
    data: PathBuf,
}

#[derive(Debug, Args)]
struct UpArgs {
    /// Topology file [default: built-in small topology]
    #[arg(long)]
    topology: Option<PathBuf>,
    #[command(flatten)]
    running: RunningArgs,
}

#[derive(Debug, Args)]
struct DemoArgs {
    /// Topology file [default: built-in small topology]
    #[arg(long)]
    topology: Option<PathBuf>,
    /// Process to kill in the middle of the demo: store:1, gateway:0, engine:owner, core:leader,
    /// ...
    #[arg(long)]
    kill: Option<Target>,
}

#[derive(Debug, Args)]
struct NameArgs {
    /// Name of the process, such as store:1
    name: ProcessName,
    #[command(flatten)]
    running: RunningArgs,
}

#[derive(Debug, Args)]
struct TargetArgs {
    /// Name of the process, such as store:1, or core:leader
    target: Target,
    #[command(flatten)]
    running: RunningArgs,
}

#[derive(Debug, Args)]
struct CutArgs {
    /// First node; the sender if the link is blocked one way only
    a: ProcessName,
    /// Second node
    b: ProcessName,
    /// Block only traffic from the first node to the second
    #[arg(long)]
    one_way: bool,
    #[command(flatten)]
    running: RunningArgs,
}

#[derive(Debug, Args)]
struct LogArgs {
    /// Name of the process, such as store:1
    name: ProcessName,
    /// Number of lines
    #[arg(long, default_value_t = 50)]
    lines: usize,
    #[command(flatten)]
    running: RunningArgs,
}

#[tokio::main]
async fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::from_default_env();
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match run_until_signal(Cli::parse().command).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hooklug-fleet: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command until it finishes or `SIGINT` or `SIGTERM` arrives. A signal drops the command
/// and with it the processes that it started.
async fn run_until_signal(command: Command) -> Result<ExitCode, DemoError> {
    let listen = |kind| {
        signal(kind).map_err(|source| FleetError::Io {
            what: "cannot install signal handlers".to_owned(),
            source,
        })
    };
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        done = run(command) => done.map(|()| ExitCode::SUCCESS),
        _ = interrupt.recv() => Ok(ExitCode::from(EXIT_INTERRUPTED)),
        _ = terminate.recv() => Ok(ExitCode::from(EXIT_INTERRUPTED)),
    }
}

async fn run(command: Command) -> Result<(), DemoError> {
    let (running, command) = match command {
        Command::Up(args) => return Ok(up(args).await?),
        Command::Demo(args) => return run_demo(args).await,
        Command::Status(args) => (args, FleetCommand::Status),
        Command::Kill(args) => (args.running, kill_command(args.target)?),
        Command::Freeze(args) => (args.running, FleetCommand::Freeze(args.name)),
        Command::Wake(args) => (args.running, FleetCommand::Wake(args.name)),
        Command::Cut(CutArgs { a, b, one_way, running }) => {
            (running, FleetCommand::Cut { a, b, one_way })
        }
        Command::Heal(args) => (args, FleetCommand::Heal),
        Command::Replace(args) => (args.running, FleetCommand::Replace(args.name)),
        Command::LoseDisk(args) => (args.running, FleetCommand::LoseDisk(args.name)),
        Command::Drain(args) => (args.running, FleetCommand::Drain(args.name)),
        Command::Restart(args) => (args.running, FleetCommand::Restart(args.name)),
        Command::RollingRestart(args) => (args, FleetCommand::RollingRestart),
        Command::Logs(LogArgs { name, lines, running }) => {
            (running, FleetCommand::Log { name, lines })
        }
    };
    println!("{}", send_command(&running.data, &command).await?);
    Ok(())
}

fn kill_command(target: Target) -> Result<FleetCommand, FleetError> {
    match target {
        Target::Process(name) => Ok(FleetCommand::Kill(name)),
        Target::CoreLeader => Ok(FleetCommand::KillCoreLeader),
        Target::SessionOwner => Err(FleetError::Unexpected(
            "engine:owner is supported by the demo command only".to_owned(),
        )),
    }
}

fn load_topology(path: Option<&Path>) -> Result<Topology, FleetError> {
    path.map_or_else(|| Ok(Topology::small()), Topology::read)
}

async fn up(args: UpArgs) -> Result<(), FleetError> {
    let started = std::time::Instant::now();
    let topology = load_topology(args.topology.as_deref())?;
    let options = FleetOptions { data: Some(args.running.data) };
    let fleet = Arc::new(Fleet::start_with(topology, options).await?);
    let _commands = CommandServer::start(fleet.clone()).await?;
    println!("{}", fleet.execute(FleetCommand::Status).await?);
    println!("ready after {:.1} s; press Ctrl-C to stop", started.elapsed().as_secs_f64());
    std::future::pending().await
}

async fn run_demo(args: DemoArgs) -> Result<(), DemoError> {
    let topology = load_topology(args.topology.as_deref())?;
    demo::run(topology, args.kill, &|line| println!("{line}")).await
}
