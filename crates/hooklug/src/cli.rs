//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use hooklug_types::{NodeRole, OperatorName, ZoneName};

/// Serves agent sessions: gateways, session-host engines, cores and stores in one binary.
#[derive(Debug, Parser)]
#[command(name = "hooklug", version, propagate_version = true)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run a gateway: takes callers' requests and routes them
    Gateway(RoleArgs),
    /// Run a session-host engine beside its model server
    Engine(RoleArgs),
    /// Run a core: members, discovery, repair and roll-outs
    Core(RoleArgs),
    /// Run a store: the replicated state, on this machine's disk
    Store(RoleArgs),
    /// Check settings and print every fault; exit code 2 when there are any
    Check(CheckArgs),
    /// Bundles: routes, services, versions, windows and tenants
    Bundle {
        #[command(subcommand)]
        command: BundleCommand,
    },
    /// Show members, engines, shards, roll-outs, sessions and windows
    Status(StatusArgs),
    /// Open sessions and their owners
    Sessions {
        #[command(subcommand)]
        command: SessionsCommand,
    },
    /// The machines of the cluster
    Cluster {
        #[command(subcommand)]
        command: ClusterCommand,
    },
}

/// How logs are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// Lines for people
    Human,
    /// One JSON object a line
    Json,
}

/// How answers are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Tables for people
    Table,
    /// JSON for programs
    Json,
}

/// Settings that flags give; they win over `HOOKLUG_*` variables, and those over the file.
#[derive(Debug, Args)]
pub(crate) struct SettingsArgs {
    /// Settings file (TOML); all keys are in docs/OPERATIONS.md
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: Option<PathBuf>,
    /// Address for other processes
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) rpc: Option<SocketAddr>,
    /// Address for HTTP: callers, operators, readiness and metrics
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) http: Option<SocketAddr>,
    /// Zone of this machine
    #[arg(long)]
    pub(crate) zone: Option<ZoneName>,
    /// Rpc address of another process, of any role; up to three
    #[arg(long = "seed", value_name = "IP:PORT")]
    pub(crate) seeds: Vec<SocketAddr>,
    /// Folder for all files of this process; required for stores
    #[arg(long, value_name = "FOLDER")]
    pub(crate) data_folder: Option<PathBuf>,
    /// Open the switches of failure tests [default: off]
    #[arg(long)]
    pub(crate) enable_faults: bool,
}

#[derive(Debug, Args)]
pub(crate) struct RoleArgs {
    #[command(flatten)]
    pub(crate) settings: SettingsArgs,
    /// How logs are written; RUST_LOG filters them [default filter: info]
    #[arg(long, value_enum, default_value_t = LogFormat::Human)]
    pub(crate) log_format: LogFormat,
}

#[derive(Debug, Args)]
pub(crate) struct CheckArgs {
    #[command(flatten)]
    pub(crate) settings: SettingsArgs,
    /// Role that the settings are for
    #[arg(long, value_enum)]
    pub(crate) role: RoleName,
}

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum RoleName {
    Gateway,
    Engine,
    Core,
    Store,
}

impl From<RoleName> for NodeRole {
    fn from(role: RoleName) -> Self {
        match role {
            RoleName::Gateway => Self::Gateway,
            RoleName::Engine => Self::Engine,
            RoleName::Core => Self::Core,
            RoleName::Store => Self::Store,
        }
    }
}

/// Which node to ask.
#[derive(Debug, Args)]
pub(crate) struct NodeArgs {
    /// HTTP address of a node, of any role; given several times, the next is asked when one does not answer
    #[arg(long = "node", value_name = "IP:PORT", required = true)]
    pub(crate) nodes: Vec<SocketAddr>,
    /// File that holds the operator's key for the API, where the cluster asks for one
    #[arg(long, value_name = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// Longest wait for an answer of one node, in seconds
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub(crate) timeout: u64,
}

#[derive(Debug, Subcommand)]
pub(crate) enum BundleCommand {
    /// Check a bundle (JSON or TOML) and print every fault; exit code 2 when there are any
    Validate {
        /// The bundle's file
        file: PathBuf,
    },
    /// Show what one bundle changes against another
    Diff {
        /// The earlier bundle's file
        before: PathBuf,
        /// The later bundle's file
        after: PathBuf,
    },
    /// Draw an operator's key pair: the secret key goes into a new file, the public key is printed
    Keygen {
        /// New file for the secret key
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Sign a bundle and print the signature as OPERATOR=HEX
    Sign(SignArgs),
    /// Submit a bundle; the answer comes after its commit
    Submit(SubmitArgs),
    /// Print a committed bundle
    Show(ShowArgs),
    /// List the last committed bundles, newest first
    History(HistoryArgs),
    /// Submit an earlier bundle's content again, as a new version
    Rollback(RollbackArgs),
}

/// With which secret key to sign, and as whom.
#[derive(Debug, Args)]
pub(crate) struct SignerArgs {
    /// Operator who signs
    #[arg(long)]
    pub(crate) operator: OperatorName,
    /// File that holds the operator's secret key
    #[arg(long, value_name = "FILE")]
    pub(crate) secret_file: PathBuf,
}

#[derive(Debug, Args)]
pub(crate) struct SignArgs {
    /// The bundle's file
    pub(crate) file: PathBuf,
    #[command(flatten)]
    pub(crate) signer: SignerArgs,
}

/// A signature as written on the command line.
#[derive(Debug, Clone)]
pub(crate) struct NamedSignature {
    pub(crate) operator: OperatorName,
    pub(crate) signature: String,
}

impl std::str::FromStr for NamedSignature {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (operator, signature) = text.split_once('=').ok_or("must be OPERATOR=HEX")?;
        let operator = OperatorName::new(operator).map_err(|e| e.to_string())?;
        Ok(Self { operator, signature: signature.to_owned() })
    }
}

#[derive(Debug, Args)]
pub(crate) struct SubmitArgs {
    /// The bundle's file
    pub(crate) file: PathBuf,
    /// Signature of an operator; may be given several times
    #[arg(long = "signature", value_name = "OPERATOR=HEX")]
    pub(crate) signatures: Vec<NamedSignature>,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// How the answer is printed
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Args)]
pub(crate) struct ShowArgs {
    /// Version number, or `current`
    #[arg(default_value = "current")]
    pub(crate) version: String,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
}

#[derive(Debug, Args)]
pub(crate) struct HistoryArgs {
    /// Bundles listed at most
    #[arg(long, default_value_t = 20)]
    pub(crate) limit: u32,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// How the answer is printed
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Args)]
pub(crate) struct RollbackArgs {
    /// Version whose content is to be in force again
    #[arg(long, value_name = "VERSION")]
    pub(crate) to: u64,
    /// Operator who signs, where signatures are required
    #[arg(long, requires = "secret_file")]
    pub(crate) operator: Option<OperatorName>,
    /// File that holds the operator's secret key
    #[arg(long, value_name = "FILE", requires = "operator")]
    pub(crate) secret_file: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// How the answer is printed
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// How the answer is printed
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Subcommand)]
pub(crate) enum SessionsCommand {
    /// List open sessions
    List(SessionsListArgs),
    /// Show one session
    Show(SessionsShowArgs),
}

#[derive(Debug, Args)]
pub(crate) struct SessionsListArgs {
    /// Only sessions of this engine
    #[arg(long)]
    pub(crate) owner: Option<String>,
    /// Sessions listed at most
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: usize,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// How the answer is printed
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Args)]
pub(crate) struct SessionsShowArgs {
    /// Its program
    pub(crate) program: String,
    /// Its name in the program
    pub(crate) session: String,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
}

#[derive(Debug, Subcommand)]
pub(crate) enum ClusterCommand {
    /// Retire a store: its replicas move to others, then it may be switched off
    Retire(RetireArgs),
}

#[derive(Debug, Args)]
pub(crate) struct RetireArgs {
    /// The store's node id, as `hooklug status` shows it
    pub(crate) store: u64,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
}
