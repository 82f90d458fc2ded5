//! Measures the rate of non-repeatable calls of a complete fleet whose stores sync their logs.

use std::time::Duration;

use hooklug_fleet::caller::CallRequest;
use hooklug_fleet::http::HttpRequest;
use hooklug_fleet::{Caller, Fleet, FleetError, ProcessKind, Topology};
use hooklug_types::UnixMillis;
use http::Method;
use serde_json::json;

use super::burst::lift_tenant_limits;
use super::rate::measure;
use crate::report::{Goal, Measure, Section};
use crate::workload::Profile;

/// Minimum number of calls per second that the fleet should answer (issue 6).
const GOAL_PER_SECOND: f64 = 2_000.0;
/// Number of programs that the calls are spread over, so that all shards take part.
const PROGRAMS: usize = 64;
/// Length of the warm-up.
const WARM_UP: Duration = Duration::from_secs(2);

/// Measures the rate of non-repeatable calls.
///
/// # Errors
/// If the fleet cannot be started or refuses the programs of the calls.
pub async fn run(
    topology: Topology,
    callers: usize,
    time: Duration,
) -> Result<Section, FleetError> {
    let profile = Profile::of(&topology);
    let tool = profile.non_repeatable.first().cloned().unwrap_or_default();
    let fleet = Fleet::start(topology).await?;
    lift_tenant_limits(&fleet).await?;
    let tenant = fleet.topology().tenants.first().map(ToString::to_string).unwrap_or_default();
    let caller = Caller::new(fleet.gateways(), &tenant);
    for number in 0..PROGRAMS {
        let end = UnixMillis::now().plus(Duration::from_secs(3_600)).0;
        let put = caller.put_program(number, &format!("p{number}"), 1_000, end).await;
        put.map_err(|e| FleetError::Unexpected(e.to_string()))?;
    }
    let measure_calls = |run: &'static str, time| {
        let (caller, tool) = (caller.clone(), tool.clone());
        measure(callers, time, move |from, number| {
            let request = CallRequest::new(&tool, json!({"of": from, "number": number}));
            let program = (from + usize::try_from(number).unwrap_or(0)) % PROGRAMS;
            let path = format!("/v1/programs/p{program}/calls/{run}-{from}-{number}");
            let (request_to_send, caller) =
                (HttpRequest::json(Method::PUT, path, &request), caller.clone());
            async move { caller.send_once(from, &request_to_send).await.is_ok() }
        })
    };
    measure_calls("warm", WARM_UP).await;
    let rate = measure_calls("run", time).await;
    let ran = fleet.ledgers(ProcessKind::App)?.len();
    let measures = vec![
        Measure::new("calls that may not be repeated, a second", rate.per_second, "calls/s")
            .with_goal(Goal::AtLeast(GOAL_PER_SECOND)),
        Measure::new("callers at once", callers as f64, ""),
        Measure::new("calls that failed or were shed", rate.failed as f64, "calls"),
        Measure::new("time of a call, p50", rate.times_ms.p50, "ms"),
        Measure::new("time of a call, p95", rate.times_ms.p95, "ms"),
        Measure::new("lines in the application engines' ledgers", ran as f64, "lines"),
    ];
    let load = crate::environment::load_averages();
    Ok(Section::Measures { name: "calls that may not be repeated".to_owned(), measures, load })
}
