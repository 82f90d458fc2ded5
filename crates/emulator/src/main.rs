//! `hooklug-emulator`: runs one fake of a system around hooklug.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use clap::{Args, Parser, Subcommand};
use hooklug_emulator::{
    ApplicationEngine, ApplicationOptions, EngineList, FakeBackend, ListedEngine, ModelOptions,
    ModelServer, PlatformList, PlatformOptions,
};
use hooklug_types::{EngineId, ServiceName, ServiceVersion};
use tokio::signal::unix::{SignalKind, signal};

/// Fake model server, application engine or platform engine list.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// Run a model server with a KV cache.
    ModelServer(ModelArgs),
    /// Run an application engine that executes every call it receives.
    ApplicationEngine(ApplicationArgs),
    /// Run the platform's engine list.
    Platform(PlatformArgs),
}

#[derive(Debug, Args)]
struct IdentityArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the service.
    #[arg(long)]
    service: ServiceName,
    /// Id of the engine.
    #[arg(long)]
    engine: EngineId,
    /// Version of the service.
    #[arg(long, default_value = "v1")]
    version: ServiceVersion,
    /// File to which the ledger is appended, line by line.
    #[arg(long)]
    ledger: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct ModelArgs {
    #[command(flatten)]
    identity: IdentityArgs,
    /// Seed of the generated text.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Concurrent generations.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Maximum number of generations that wait for a slot.
    #[arg(long, default_value_t = 64)]
    queue: u32,
    /// Time to the first token with a warm cache, in milliseconds.
    #[arg(long, default_value_t = 20)]
    first_token_ms: u64,
    /// Time to compute one uncached token, in microseconds.
    #[arg(long, default_value_t = 50)]
    uncached_token_micros: u64,
    /// Length of a shared prefix, in tokens.
    #[arg(long, default_value_t = 2_000)]
    prefix_tokens: u64,
    /// Time between tokens when idle, in milliseconds.
    #[arg(long, default_value_t = 10)]
    between_tokens_ms: u64,
    /// Slowdown of the token interval when all slots are in use (0.5: 50 % longer).
    #[arg(long, default_value_t = 0.5)]
    load_factor: f64,
}

#[derive(Debug, Args)]
struct ApplicationArgs {
    #[command(flatten)]
    identity: IdentityArgs,
    /// Run time of a call, in milliseconds.
    #[arg(long, default_value_t = 20)]
    run_ms: u64,
    /// Concurrent calls.
    #[arg(long, default_value_t = 64)]
    slots: u32,
}

#[derive(Debug, Args)]
struct PlatformArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Listed engine as `ADDRESS=ZONE`; may be given several times.
    #[arg(long = "engine", value_parser = listed_engine)]
    engines: Vec<ListedEngine>,
    /// Delay until a change of the list becomes visible, in milliseconds.
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
        Role::ModelServer(args) => {
            run_backend(ModelServer::start(model_options(args)).await?).await
        }
        Role::ApplicationEngine(args) => {
            run_backend(ApplicationEngine::start(application_options(args)).await?).await
        }
        Role::Platform(args) => run_platform(args).await,
    }
}

async fn run_backend(backend: FakeBackend) -> anyhow::Result<()> {
    println!("{} at {}", backend.identity(), backend.address());
    wait_for_signal().await
}

async fn run_platform(args: PlatformArgs) -> anyhow::Result<()> {
    let options = PlatformOptions {
        listen: args.listen,
        engines: EngineList { engines: args.engines },
        lag: Duration::from_millis(args.lag_ms),
    };
    let list = PlatformList::start(options).await.context("cannot start the engine list")?;
    println!("engine list at http://{}/engines", list.address());
    wait_for_signal().await
}

async fn wait_for_signal() -> anyhow::Result<()> {
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
