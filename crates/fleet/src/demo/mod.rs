//! The demo: drives a program, its session and its calls through a complete fleet step by step, and
//! optionally kills a process in the middle.

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
/// Time until the end of the program.
const PROGRAM_DURATION: Duration = Duration::from_secs(3_600);

/// Error of a demo run.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// A fleet operation failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A request to a gateway failed.
    #[error("{step}: {source}")]
    Caller {
        /// Step in which it failed.
        step: &'static str,
        /// Error of the request.
        source: CallerError,
    },
    /// A check of a result failed.
    #[error("check failed: {0}")]
    CheckFailed(String),
}

/// Adds the name of the step to the error of a request.
fn during(step: &'static str) -> impl FnOnce(CallerError) -> DemoError {
    move |source| DemoError::Caller { step, source }
}

fn ensure(passed: bool, failure: impl FnOnce() -> String) -> Result<(), DemoError> {
    if passed { Ok(()) } else { Err(DemoError::CheckFailed(failure())) }
}

/// State of a demo run.
struct Demo {
    fleet: Fleet,
    caller: Caller,
    session: SessionRef,
    kill: Option<Target>,
    /// Last turn that has ended.
    head: Option<String>,
    /// Events of all turns, as received by the caller that sent them.
    received_events: Vec<StreamEvent>,
    /// Number of tokens in `received_events`.
    tokens: u64,
    /// Engine that owned the session when it was opened.
    first_owner: String,
    /// Process that was killed, if any.
    killed: Option<ProcessName>,
}

/// Runs the demo and passes a line of output for each step to `print_line`.
///
/// # Errors
/// When a step or a check fails.
pub async fn run(
    topology: Topology,
    kill: Option<Target>,
    print_line: &(dyn Fn(String) + Sync),
) -> Result<(), DemoError> {
    let started = std::time::Instant::now();
    print_line(format!(
        "starting {} stores, {} cores, {} gateways and their backends",
        topology.stores, topology.cores, topology.gateways
    ));
    let fleet = Fleet::start(topology).await?;
    print_line(format!(
        "{} processes ready after {:.1} s",
        fleet.all_names().len(),
        started.elapsed().as_secs_f64()
    ));
    let tenant = fleet.topology().tenants.first().cloned();
    let tenant =
        tenant.ok_or_else(|| FleetError::Unexpected("the topology has no tenants".to_owned()))?;
    let caller = Caller::new(fleet.gateways(), tenant.as_str());
    let mut demo = Demo {
        fleet,
        caller,
        session: SessionRef::new(PROGRAM, SESSION),
        kill,
        head: None,
        received_events: Vec::new(),
        tokens: 0,
        first_owner: String::new(),
        killed: None,
    };
    print_line(demo.open().await?);
    print_line(demo.stream_and_join().await?);
    print_line(demo.interrupt_and_resume(print_line).await?);
    print_line(demo.call_tools().await?);
    print_line(demo.return_results().await?);
    print_line(demo.abort().await?);
    print_line(demo.move_owner().await?);
    print_line(demo.read_back_and_close().await?);
    print_line(demo.check_results().await?);
    Ok(())
}

impl Demo {
    /// A turn that follows the last ended one.
    fn next_turn(&self, name: &str, input: &str, max_tokens: u64) -> TurnRequest {
        TurnRequest::new(name, self.head.as_deref(), input, max_tokens)
    }

    async fn open(&mut self) -> Result<String, DemoError> {
        let end = UnixMillis::now().plus(PROGRAM_DURATION);
        let put = self.caller.put_program(0, PROGRAM, BUDGET, end.0).await;
        put.map_err(during("declaring the program"))?;
        let newest = self.fleet.topology().models.last().cloned();
        let newest = newest.ok_or_else(|| {
            FleetError::Unexpected("the topology has no model services".to_owned())
        })?;
        let model = newest.model.as_str();
        let opened = self.caller.open_session(0, &self.session, model, Some(PREFIX)).await;
        let session = opened.map_err(during("opening the session"))?;
        ensure(session.version == newest.version.as_str(), || {
            format!("a new session runs version {} instead of {}", session.version, newest.version)
        })?;
        let again = self.caller.open_session(1, &self.session, model, Some(PREFIX)).await;
        let again = again.map_err(during("opening the session again"))?;
        ensure(again.owner == session.owner && again.epoch == session.epoch, || {
            format!("two gateways report different owners: {session:?}, {again:?}")
        })?;
        self.first_owner = session.owner.unwrap_or_default();
        Ok(format!(
            "1. program with {BUDGET} tokens; session owned by {} ({}), confirmed by two gateways",
            self.first_owner, session.version
        ))
    }
}
