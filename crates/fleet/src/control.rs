//! Commands to a running fleet, sent by another invocation of the program over loopback HTTP.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::http::{HttpClient, HttpRequest};
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

/// File in the data folder with the command address of the running fleet.
const STATE_FILE: &str = "fleet.json";
/// Request path for commands.
const COMMAND_PATH: &str = "/commands";
/// Timeout of a command.
const COMMAND_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(600);

/// A process given by its name or by its current role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The process with this name.
    Process(ProcessName),
    /// The current core leader (`core:leader`).
    CoreLeader,
    /// The engine that owns the demo's session (`engine:owner`).
    SessionOwner,
}

impl FromStr for Target {
    type Err = crate::names::NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "core:leader" => Ok(Self::CoreLeader),
            "engine:owner" => Ok(Self::SessionOwner),
            name => name.parse().map(Self::Process),
        }
    }
}

/// A command to a running fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetCommand {
    /// Show all processes.
    Status,
    /// Kill a process (`SIGKILL`).
    Kill(ProcessName),
    /// Kill the core leader.
    KillCoreLeader,
    /// Freeze a process (`SIGSTOP`).
    Freeze(ProcessName),
    /// Resume a frozen process (`SIGCONT`).
    Wake(ProcessName),
    /// Block the link between two nodes.
    Cut {
        /// First node; the sender if the link is blocked one way only.
        a: ProcessName,
        /// Second node.
        b: ProcessName,
        /// Whether to block only traffic from `a` to `b`.
        one_way: bool,
    },
    /// Unblock all links.
    Heal,
    /// Replace a process by one with an empty disk at a new address.
    Replace(ProcessName),
    /// Kill a store, delete its data and start it again.
    LoseDisk(ProcessName),
    /// Send `SIGTERM` to a process, or make a fake backend refuse new work.
    Drain(ProcessName),
    /// Restart a process; a stopped one is started.
    Restart(ProcessName),
    /// Restart all nodes, one after another.
    RollingRestart,
    /// Show the last lines of a process's log.
    Log {
        /// Name of the process.
        name: ProcessName,
        /// Number of lines.
        lines: usize,
    },
}

/// Content of the state file.
#[derive(Debug, Serialize, Deserialize)]
struct StateFile {
    commands: SocketAddr,
}

/// Server that accepts commands for a fleet until it is dropped, which also removes the state file.
#[derive(Debug)]
pub struct CommandServer {
    task: JoinHandle<()>,
    file: PathBuf,
}

impl CommandServer {
    /// Starts the server and writes the state file into the fleet's data folder.
    ///
    /// # Errors
    /// When it can't listen or write the file.
    pub async fn start(fleet: Arc<Fleet>) -> Result<Self, FleetError> {
        let address = fleet.state().range.command_address();
        let listener = TcpListener::bind(address)
            .await
            .map_err(FleetError::io("cannot listen for commands"))?;
        let file = fleet.data().join(STATE_FILE);
        let state = serde_json::to_vec(&StateFile { commands: address }).unwrap_or_default();
        std::fs::write(&file, state).map_err(FleetError::io("cannot write the state file"))?;
        Ok(Self { task: tokio::spawn(serve(listener, fleet)), file })
    }
}

impl Drop for CommandServer {
    fn drop(&mut self) {
        self.task.abort();
        // If the removal fails, the stale file points to an address where nothing listens.
        let _ = std::fs::remove_file(&self.file);
    }
}

async fn serve(listener: TcpListener, fleet: Arc<Fleet>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let fleet = fleet.clone();
        let service = service_fn(move |request| handle(fleet.clone(), request));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn handle(
    fleet: Arc<Fleet>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let body = request.into_body().collect().await?.to_bytes();
    let outcome = match serde_json::from_slice::<FleetCommand>(&body) {
        Ok(command) => fleet.execute(command).await.map_err(|e| e.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let (status, text) = match outcome {
        Ok(text) => (StatusCode::OK, text),
        Err(text) => (StatusCode::BAD_REQUEST, text),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}

impl Fleet {
    /// Executes a command and returns its output as text for the user.
    ///
    /// # Errors
    /// When the command fails.
    pub async fn execute(&self, command: FleetCommand) -> Result<String, FleetError> {
        match command {
            FleetCommand::Status => return Ok(self.status_table()),
            FleetCommand::Log { name, lines } => return self.log(name, lines),
            FleetCommand::Kill(name) => self.kill(name)?,
            FleetCommand::KillCoreLeader => self.kill(self.core_leader().await?)?,
            FleetCommand::Freeze(name) => self.freeze(name)?,
            FleetCommand::Wake(name) => self.resume(name)?,
            FleetCommand::Cut { a, b, one_way } => self.cut(a, b, one_way).await?,
            FleetCommand::Heal => self.heal().await?,
            FleetCommand::Replace(name) => self.replace(name).await?,
            FleetCommand::LoseDisk(name) => self.lose_disk(name).await?,
            FleetCommand::Drain(name) => self.drain(name).await?,
            FleetCommand::Restart(name) => self.restart(name).await?,
            FleetCommand::RollingRestart => {
                use ProcessKind::{Core, Engine, Gateway, Store};
                self.rolling_restart(&[Store, Core, Engine, Gateway]).await?;
            }
        }
        Ok("done".to_owned())
    }

    fn status_table(&self) -> String {
        let mut lines =
            vec![format!("{:12} {:5} {:24} {:>8}  state", "process", "zone", "http", "pid")];
        lines.extend(self.status().iter().map(|p| {
            let pid = p.pid.map_or_else(|| "-".to_owned(), |pid| pid.to_string());
            format!(
                "{:12} {:5} {:24} {pid:>8}  {}",
                p.name.to_string(),
                p.zone,
                p.http.to_string(),
                p.state
            )
        }));
        lines.join("\n")
    }
}

/// Sends a command to the fleet that runs in a data folder and returns its output.
///
/// # Errors
/// When no fleet runs there, or the command failed.
pub async fn send_command(data: &Path, command: &FleetCommand) -> Result<String, FleetError> {
    let file = data.join(STATE_FILE);
    let state = std::fs::read(&file)
        .map_err(FleetError::io(format!("no fleet runs in {}", data.display())))?;
    let state: StateFile =
        serde_json::from_slice(&state).map_err(|e| FleetError::Unexpected(e.to_string()))?;
    let request = HttpRequest::json(Method::POST, COMMAND_PATH, command);
    let response =
        HttpClient::default().send_with_timeout(state.commands, &request, COMMAND_TIMEOUT).await?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if response.status.is_success() { Ok(text) } else { Err(FleetError::Unexpected(text)) }
}
