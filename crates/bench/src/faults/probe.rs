//! Measures the time until every gateway serves all kinds of requests again.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use hooklug_fleet::caller::{CallRequest, CallerError, SessionRef, TurnRequest};
use hooklug_fleet::{Caller, Fleet};
use hooklug_types::UnixMillis;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::oracle::evidence::{Millis, Recovery};
use crate::workload::{Profile, now};

/// Maximum time to wait for recovery; far longer than the promised time.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Token budget of a probe's program.
const BUDGET: u64 = 100;

/// Measures the time from `fault_ended_at` until a probe through each gateway succeeds.
pub async fn measure_recovery(
    fleet: &Fleet,
    profile: &Profile,
    fault: String,
    fault_ended_at: Millis,
) -> Recovery {
    let tenant = fleet.topology().tenants.first().map(ToString::to_string).unwrap_or_default();
    let gateways = fleet.gateways().into_iter();
    let probes = gateways.map(|gateway| probe(gateway, &tenant, profile));
    let served_at: Option<Vec<Millis>> = join_all(probes).await.into_iter().collect();
    Recovery { fault, fault_ended_at, served_at: served_at.and_then(|all| all.into_iter().max()) }
}

async fn probe(gateway: SocketAddr, tenant: &str, profile: &Profile) -> Option<Millis> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < deadline {
        let caller = Caller::new(vec![gateway], tenant);
        if let Ok(Ok(())) = timeout(PROBE_TIMEOUT, probe_once(&caller, profile)).await {
            return Some(now());
        }
        sleep(PROBE_INTERVAL).await;
    }
    None
}

/// Probes a gateway with a new program, session, turn and non-repeatable call.
async fn probe_once(caller: &Caller, profile: &Profile) -> Result<(), CallerError> {
    let program = format!("probe-{:016x}", rand::random::<u64>());
    let end = UnixMillis::now().plus(Duration::from_secs(600)).0;
    caller.put_program(0, &program, BUDGET, end).await?;
    let session = SessionRef::new(&program, "s");
    caller.open_session(0, &session, &profile.model, None).await?;
    let turn = TurnRequest::new("t", None, "[tokens 2]", 8);
    let transcript = caller.run_turn(0, &session, &turn).await?;
    transcript.check("t")?;
    if let Some(tool) = profile.non_repeatable.first() {
        let request = CallRequest::new(tool, json!({"probe": program}));
        caller.call(0, &program, "c", &request).await?;
    }
    if transcript.end() == "finished" {
        return Ok(());
    }
    Err(CallerError::ContractViolation(transcript.end().to_owned()))
}
