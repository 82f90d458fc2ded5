//! `hooklug-emulator`: stand-ins for the systems around hooklug, one a process.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use clap::{Args, Parser, Subcommand};
use hooklug_emulator::{
    ApplicationEngine, ApplicationOptions, EngineList, ListedEngine, ModelOptions, ModelServer,
    PlatformList, PlatformOptions, StandIn,
};
use hooklug_types::{EngineId, ServiceName, ServiceVersion};
use tokio::signal::unix::{SignalKind, signal};

/// Stand-ins for model servers, application engines and the platform's list of engines.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// A model server with a KV cache.
    ModelServer(ModelArgs),
    /// An application engine that runs every call that reaches it.
    ApplicationEngine(ApplicationArgs),
    /// The platform's list of engines.
    Platform(PlatformArgs),
}

#[derive(Debug, Args)]
struct IdentityArgs {
    /// Address to listen at.
    #[arg(long)]
    listen: SocketAddr,
    /// Service that it serves.
    #[arg(long)]
    service: ServiceName,
    /// Its name.
    #[arg(long)]
    engine: EngineId,
    /// Version that it runs.
    #[arg(long, default_value = "v1")]
    version: ServiceVersion,
    /// File that the ledger is added to, line by line.
    #[arg(long)]
    ledger: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct ModelArgs {
    #[command(flatten)]
    identity: IdentityArgs,
    /// Seed of its text.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Generations at once.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Generations that may wait for a slot.
    #[arg(long, default_value_t = 64)]
    queue: u32,
    /// Time to the first token with a warm cache, in milliseconds.
    #[arg(long, default_value_t = 20)]
    first_token_ms: u64,
    /// Time to compute one uncached token, in microseconds.
    #[arg(long, default_value_t = 50)]
    uncached_token_micros: u64,
    /// Tokens of a shared prefix.
    #[arg(long, default_value_t = 2_000)]
    prefix_tokens: u64,
    /// Time between tokens when idle, in milliseconds.
    #[arg(long, default_value_t = 10)]
    between_tokens_ms: u64,
    /// How much longer that is with all slots taken (0.5: half as long again).
    #[arg(long, default_value_t = 0.5)]
    load_factor: f64,
}

#[derive(Debug, Args)]
struct ApplicationArgs {
    #[command(flatten)]
    identity: IdentityArgs,
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 20)]
    run_ms: u64,
    /// Calls at once.
    #[arg(long, default_value_t = 64)]
    slots: u32,
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// Address to listen at.
    #[arg(long)]
    listen: SocketAddr,
    /// An engine of the list, `ADDRESS=ZONE`; may be given many times.
    #[arg(long = "engine", value_parser = listed_engine)]
    engines: Vec<ListedEngine>,
    /// How long a change stays unseen, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    lag_ms: u64,
}

fn listed_engine(text: &str) -> Result<ListedEngine, String> {
    let (address, zone) = text.split_once('=').ok_or("must be ADDRESS=ZONE")?;
    Ok(ListedEngine {
        address: address.parse().map_err(|e| format!("{address}: {e}"))?,
        zone: zone.parse().map_err(|e| format!("{zone}: {e}"))?,
    })
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let filter = tracing_subscriber::EnvFilter::from_default_env();
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match Cli::parse().role {
        Role::ModelServer(args) => run(ModelServer::start(model_options(args)).await?).await,
        Role::ApplicationEngine(args) => {
            run(ApplicationEngine::start(application_options(args)).await?).await
        }
        Role::Platform(args) => run_platform(args).await,
    }
}

async fn run(stand_in: StandIn) -> anyhow::Result<()> {
    println!("{} at {}", stand_in.identity(), stand_in.address());
    until_told_to_stop().await
}

async fn run_platform(args: PlatformArgs) -> anyhow::Result<()> {
    let options = PlatformOptions {
        listen: args.listen,
        engines: EngineList { engines: args.engines },
        lag: Duration::from_millis(args.lag_ms),
    };
    let list = PlatformList::start(options).await.context("cannot start the list")?;
    println!("engine list at http://{}/engines", list.address());
    until_told_to_stop().await
}

async fn until_told_to_stop() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}

fn model_options(args: ModelArgs) -> ModelOptions {
    ModelOptions {
        listen: args.identity.listen,
        service: args.identity.service,
        engine: args.identity.engine,
        version: args.identity.version,
        seed: args.seed,
        slots: args.slots,
        queue: args.queue,
        first_token: Duration::from_millis(args.first_token_ms),
        per_uncached_token: Duration::from_micros(args.uncached_token_micros),
        prefix_tokens: args.prefix_tokens,
        between_tokens: Duration::from_millis(args.between_tokens_ms),
        load_factor: args.load_factor,
        ledger: args.identity.ledger,
    }
}

fn application_options(args: ApplicationArgs) -> ApplicationOptions {
    ApplicationOptions {
        listen: args.identity.listen,
        service: args.identity.service,
        engine: args.identity.engine,
        version: args.identity.version,
        run_time: Duration::from_millis(args.run_ms),
        slots: args.slots,
        ledger: args.identity.ledger,
    }
}
