//! The ordinary path through a whole fleet, step by step, with a process killed on demand.

mod calls;
mod checks;
mod sessions;

use std::time::Duration;

use hooklug_types::UnixMillis;

use crate::caller::{Caller, CallerError, SessionRef, StreamEvent, TurnRequest};
use crate::control::Target;
use crate::{Fleet, FleetError, ProcessName, Topology};

const PROGRAM: &str = "frost-watch";
const SESSION: &str = "house-4";
const PREFIX: &str = "greenhouse";
const BUDGET: u64 = 2_000;
/// Time that the program has (ours).
const PROGRAM_TIME: Duration = Duration::from_secs(3_600);

/// Why the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The fleet did not do what was asked.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A caller's request failed.
    #[error("{step}: {source}")]
    Caller {
        /// What was tried.
        step: &'static str,
        /// What came of it.
        source: CallerError,
    },
    /// A promise was not kept.
    #[error("promise not kept: {0}")]
    Promise(String),
}

/// Names the step in which a caller's request failed.
fn during(step: &'static str) -> impl FnOnce(CallerError) -> DemoError {
    move |source| DemoError::Caller { step, source }
}

fn promise(kept: bool, what: impl FnOnce() -> String) -> Result<(), DemoError> {
    if kept { Ok(()) } else { Err(DemoError::Promise(what())) }
}

/// A fleet and a caller half way through the demo.
struct Demo {
    fleet: Fleet,
    caller: Caller,
    session: SessionRef,
    kill: Option<Target>,
    /// The last ended turn.
    head: Option<String>,
    /// All events of turns, as their caller got them.
    seen: Vec<StreamEvent>,
    /// Tokens in them.
    tokens: u64,
    /// The engine that owned the session at first.
    first_owner: String,
    /// The process that was killed, if any.
    killed: Option<ProcessName>,
}

/// Runs the demo; `say` gets a line for each step.
///
/// # Errors
/// The first step that fails or promise that is not kept.
pub async fn run(
    topology: Topology,
    kill: Option<Target>,
    say: &(dyn Fn(String) + Sync),
) -> Result<(), DemoError> {
    let began = std::time::Instant::now();
    say(format!(
        "starting {} stores, {} cores, {} gateways and their back ends",
        topology.stores, topology.cores, topology.gateways
    ));
    let fleet = Fleet::start(topology).await?;
    say(format!(
        "{} processes serve after {:.1} s",
        fleet.all_names().len(),
        began.elapsed().as_secs_f64()
    ));
    let tenant = fleet.topology().tenants.first().cloned();
    let tenant = tenant.ok_or_else(|| FleetError::Unexpected("no tenants".to_owned()))?;
    let caller = Caller::new(fleet.gateways(), tenant.as_str());
    let mut demo = Demo {
        fleet,
        caller,
        session: SessionRef::new(PROGRAM, SESSION),
        kill,
        head: None,
        seen: Vec::new(),
        tokens: 0,
        first_owner: String::new(),
        killed: None,
    };
    say(demo.open().await?);
    say(demo.stream_and_join().await?);
    say(demo.cut_and_resume(say).await?);
    say(demo.call_tools().await?);
    say(demo.return_results().await?);
    say(demo.abort().await?);
    say(demo.move_owner().await?);
    say(demo.read_back_and_close().await?);
    say(demo.check_promises().await?);
    Ok(())
}

impl Demo {
    /// The next turn of the session.
    fn next_turn(&self, name: &str, input: &str, max_tokens: u64) -> TurnRequest {
        TurnRequest::new(name, self.head.as_deref(), input, max_tokens)
    }

    async fn open(&mut self) -> Result<String, DemoError> {
        let end = UnixMillis::now().plus(PROGRAM_TIME);
        let put = self.caller.put_program(0, PROGRAM, BUDGET, end.0).await;
        put.map_err(during("the program is declared"))?;
        let newest = self.fleet.topology().models.last().cloned();
        let newest =
            newest.ok_or_else(|| FleetError::Unexpected("no model services".to_owned()))?;
        let model = newest.model.as_str();
        let opened = self.caller.open_session(0, &self.session, model, Some(PREFIX)).await;
        let session = opened.map_err(during("the session is opened"))?;
        promise(session.version == newest.version.as_str(), || {
            format!("a new session is at version {}, not {}", session.version, newest.version)
        })?;
        let again = self.caller.open_session(1, &self.session, model, Some(PREFIX)).await;
        let again = again.map_err(during("the session is opened again"))?;
        promise(again.owner == session.owner && again.epoch == session.epoch, || {
            format!("two gateways name two owners: {session:?}, {again:?}")
        })?;
        self.first_owner = session.owner.unwrap_or_default();
        Ok(format!(
            "1. program with {BUDGET} tokens; session owned by {} ({}), said by two gateways",
            self.first_owner, session.version
        ))
    }
}
