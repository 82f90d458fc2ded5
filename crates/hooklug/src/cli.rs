//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use hooklug_types::{NodeRole, OperatorName, ZoneName};

/// Serving tier for agent programs: gateways, session-host engines, cores and stores in one binary.
#[derive(Debug, Parser)]
#[command(name = "hooklug", version = hooklug_node::build_info::VERSION, propagate_version = true)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run a gateway, which accepts and routes callers' requests
    Gateway(RoleArgs),
    /// Run a session-host engine for a model server
    Engine(RoleArgs),
    /// Run a core, which handles membership, discovery, repair and rollouts
    Core(RoleArgs),
    /// Run a store, which holds replicas of the state on this machine's disk
    Store(RoleArgs),
    /// Check settings and print all errors; exits with code 2 if there are any
    Check(CheckArgs),
    /// Manage bundles: routes, services, versions, windows and tenants
    Bundle {
        #[command(subcommand)]
        command: BundleCommand,
    },
    /// Show members, engines, shards, rollouts, sessions and windows
    Status(StatusArgs),
    /// Show open sessions and their owners
    Sessions {
        #[command(subcommand)]
        command: SessionsCommand,
    },
    /// Manage the machines of the cluster
    Cluster {
        #[command(subcommand)]
        command: ClusterCommand,
    },
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// Human-readable lines
    Human,
    /// One JSON object per line
    Json,
}

/// Format of printed results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Human-readable tables
    Table,
    /// JSON
    Json,
}

/// Settings given as flags. Flags take precedence over `HOOKLUG_*` variables, and those over the file.
#[derive(Debug, Args)]
pub(crate) struct SettingsArgs {
    /// Settings file (TOML); docs/OPERATIONS.md lists all keys
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: Option<PathBuf>,
    /// Address for RPC from other processes
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) rpc: Option<SocketAddr>,
    /// Address for HTTP: callers, operators, readiness and metrics
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) http: Option<SocketAddr>,
    /// Zone of this machine
    #[arg(long)]
    pub(crate) zone: Option<ZoneName>,
    /// RPC address of another process of any role; may be given up to three times
    #[arg(long = "seed", value_name = "IP:PORT")]
    pub(crate) seeds: Vec<SocketAddr>,
    /// Folder for all files of this process; required for stores
    #[arg(long, value_name = "FOLDER")]
    pub(crate) data_folder: Option<PathBuf>,
    /// Enable fault injection over HTTP, for failure tests [default: off]
    #[arg(long)]
    pub(crate) enable_faults: bool,
}

#[derive(Debug, Args)]
pub(crate) struct RoleArgs {
    #[command(flatten)]
    pub(crate) settings: SettingsArgs,
    /// Format of log lines; RUST_LOG sets the filter [default filter: info]
    #[arg(long, value_enum, default_value_t = LogFormat::Human)]
    pub(crate) log_format: LogFormat,
}

#[derive(Debug, Args)]
pub(crate) struct CheckArgs {
    #[command(flatten)]
    pub(crate) settings: SettingsArgs,
    /// Role to check the settings for
    #[arg(long, value_enum)]
    pub(crate) role: RoleName,
}

/// Role of a process.
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

/// Nodes to send a request to.
#[derive(Debug, Args)]
pub(crate) struct NodeArgs {
    /// HTTP address of a node of any role; may be repeated, the nodes are tried in order until one responds
    #[arg(long = "node", value_name = "IP:PORT", required = true)]
    pub(crate) nodes: Vec<SocketAddr>,
    /// File that contains the operator's API key, if the cluster requires one
    #[arg(long, value_name = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    /// Timeout for the response of one node, in seconds
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    pub(crate) timeout: u64,
}

#[derive(Debug, Subcommand)]
pub(crate) enum BundleCommand {
    /// Check a bundle (JSON or TOML) and print all errors; exits with code 2 if there are any
    Validate {
        /// Bundle file
        file: PathBuf,
    },
    /// Show the differences between two bundles
    Diff {
        /// File of the earlier bundle
        before: PathBuf,
        /// File of the later bundle
        after: PathBuf,
    },
    /// Generate an operator's key pair: write the secret key to a new file and print the public key
    Keygen {
        /// New file for the secret key
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Sign a bundle and print the signature as OPERATOR=HEX
    Sign(SignArgs),
    /// Submit a bundle and wait for its commit
    Submit(SubmitArgs),
    /// Print a committed bundle
    Show(ShowArgs),
    /// List the last committed bundles, newest first
    History(HistoryArgs),
    /// Submit the content of an earlier bundle as a new version
    Rollback(RollbackArgs),
}

/// Operator and secret key that sign a bundle.
#[derive(Debug, Args)]
pub(crate) struct SignerArgs {
    /// Operator who signs
    #[arg(long)]
    pub(crate) operator: OperatorName,
    /// File that contains the operator's secret key
    #[arg(long, value_name = "FILE")]
    pub(crate) secret_file: PathBuf,
}

#[derive(Debug, Args)]
pub(crate) struct SignArgs {
    /// Bundle file
    pub(crate) file: PathBuf,
    #[command(flatten)]
    pub(crate) signer: SignerArgs,
}

/// A signature as given on the command line.
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
    /// Bundle file
    pub(crate) file: PathBuf,
    /// Signature of an operator; may be repeated
    #[arg(long = "signature", value_name = "OPERATOR=HEX")]
    pub(crate) signatures: Vec<NamedSignature>,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// Format of the printed result
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
    /// Maximum number of listed bundles
    #[arg(long, default_value_t = 20)]
    pub(crate) limit: u32,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// Format of the printed result
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Args)]
pub(crate) struct RollbackArgs {
    /// Version whose content is submitted again
    #[arg(long, value_name = "VERSION")]
    pub(crate) to: u64,
    /// Operator who signs, if signatures are required
    #[arg(long, requires = "secret_file")]
    pub(crate) operator: Option<OperatorName>,
    /// File that contains the operator's secret key
    #[arg(long, value_name = "FILE", requires = "operator")]
    pub(crate) secret_file: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// Format of the printed result
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// Format of the printed result
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
    /// List only sessions of this engine
    #[arg(long)]
    pub(crate) owner: Option<String>,
    /// Maximum number of listed sessions
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: usize,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
    /// Format of the printed result
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Debug, Args)]
pub(crate) struct SessionsShowArgs {
    /// Program id
    pub(crate) program: String,
    /// Session id within the program
    pub(crate) session: String,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
}

#[derive(Debug, Subcommand)]
pub(crate) enum ClusterCommand {
    /// Retire a store: its replicas move to other stores, and it can then be shut down
    Retire(RetireArgs),
}

#[derive(Debug, Args)]
pub(crate) struct RetireArgs {
    /// Node id of the store, as shown by `hooklug status`
    pub(crate) store: u64,
    #[command(flatten)]
    pub(crate) node: NodeArgs,
}
