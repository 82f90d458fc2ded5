//! Commands to a running fleet, from another run of the program, over loopback HTTP.

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

use crate::http::{Ask, HttpClient};
use crate::{Fleet, FleetError, ProcessKind, ProcessName};

/// File in the data folder by which others find a running fleet.
const STATE_FILE: &str = "fleet.json";
/// Path of commands.
const COMMAND_PATH: &str = "/commands";
/// Longest wait for a command to be carried out.
const COMMAND_TIME: std::time::Duration = std::time::Duration::from_secs(600);

/// A process, or what it is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// This process.
    Process(ProcessName),
    /// The core that leads (`core:leader`).
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
    /// Kill a process without warning.
    Kill(ProcessName),
    /// Kill the core that leads.
    KillCoreLeader,
    /// Freeze a process.
    Freeze(ProcessName),
    /// Wake a frozen process.
    Wake(ProcessName),
    /// Cut the link between two nodes.
    Cut {
        /// One node; the sender of a one-way cut.
        a: ProcessName,
        /// The other.
        b: ProcessName,
        /// Only what `a` sends.
        one_way: bool,
    },
    /// End all cuts.
    Heal,
    /// Replace a machine by an empty one at a new address.
    Replace(ProcessName),
    /// Kill a store, empty its disk and start it again.
    LoseDisk(ProcessName),
    /// Tell a process to stop, or a stand-in to refuse new work.
    Drain(ProcessName),
    /// Start a process again, stopping it first if it runs.
    Restart(ProcessName),
    /// Restart all nodes in turn.
    RollingRestart,
    /// Show the last lines that a process wrote.
    Log {
        /// The process.
        name: ProcessName,
        /// How many lines.
        lines: usize,
    },
}

/// How others find a running fleet.
#[derive(Debug, Serialize, Deserialize)]
struct StateFile {
    commands: SocketAddr,
}

/// Takes commands for a fleet until dropped; the state file goes with it.
#[derive(Debug)]
pub struct CommandServer {
    serving: JoinHandle<()>,
    file: PathBuf,
}

impl CommandServer {
    /// Begins to take commands and writes the state file into the fleet's data folder.
    ///
    /// # Errors
    /// When it can't listen or write.
    pub async fn start(fleet: Arc<Fleet>) -> Result<Self, FleetError> {
        let address = fleet.inner().range.command_address();
        let listener =
            TcpListener::bind(address).await.map_err(FleetError::io("cannot take commands"))?;
        let file = fleet.data().join(STATE_FILE);
        let state = serde_json::to_vec(&StateFile { commands: address }).unwrap_or_default();
        std::fs::write(&file, state).map_err(FleetError::io("cannot write the state file"))?;
        Ok(Self { serving: tokio::spawn(serve(listener, fleet)), file })
    }
}

impl Drop for CommandServer {
    fn drop(&mut self) {
        self.serving.abort();
        // Without the file nobody looks for this fleet; a failure leaves a file that answers nothing.
        let _ = std::fs::remove_file(&self.file);
    }
}

async fn serve(listener: TcpListener, fleet: Arc<Fleet>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let fleet = fleet.clone();
        let service = service_fn(move |request| answer(fleet.clone(), request));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(
    fleet: Arc<Fleet>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let body = request.into_body().collect().await?.to_bytes();
    let outcome = match serde_json::from_slice::<FleetCommand>(&body) {
        Ok(command) => fleet.carry_out(command).await.map_err(|e| e.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let (status, text) = match outcome {
        Ok(text) => (StatusCode::OK, text),
        Err(text) => (StatusCode::BAD_REQUEST, text),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    Ok(answer)
}

impl Fleet {
    /// Carries out a command; replies in words for people.
    ///
    /// # Errors
    /// When it can't be carried out.
    pub async fn carry_out(&self, command: FleetCommand) -> Result<String, FleetError> {
        match command {
            FleetCommand::Status => return Ok(self.status_table()),
            FleetCommand::Log { name, lines } => return self.log(name, lines),
            FleetCommand::Kill(name) => self.kill(name)?,
            FleetCommand::KillCoreLeader => self.kill(self.core_leader().await?)?,
            FleetCommand::Freeze(name) => self.freeze(name)?,
            FleetCommand::Wake(name) => self.wake(name)?,
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

/// Sends a command to the fleet that runs in a data folder.
///
/// # Errors
/// When none runs there, or it could not carry the command out.
pub async fn send(data: &Path, command: &FleetCommand) -> Result<String, FleetError> {
    let file = data.join(STATE_FILE);
    let state = std::fs::read(&file)
        .map_err(FleetError::io(format!("no fleet runs in {}", data.display())))?;
    let state: StateFile =
        serde_json::from_slice(&state).map_err(|e| FleetError::Unexpected(e.to_string()))?;
    let ask = Ask::json(Method::POST, COMMAND_PATH, command);
    let answer = HttpClient::default().ask_within(state.commands, &ask, COMMAND_TIME).await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    if answer.status.is_success() { Ok(text) } else { Err(FleetError::Unexpected(text)) }
}
