//! Operations on the processes of a fleet, and their cleanup.

use std::time::Duration;

use crate::support::{MODEL, TENANT, WAIT_TIMEOUT, name, start};
use hooklug_fleet::caller::{CallerError, SessionRef, TurnRequest};
use hooklug_fleet::{Caller, Fleet, FleetError, ProcessKind, Topology};
use hooklug_types::UnixMillis;
use nix::errno::Errno;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// A small topology: two gateways, two cores, one model group and one application group.
fn topology() -> Topology {
    let mut topology = Topology::small();
    topology.gateways = 2;
    topology.cores = 2;
    topology.models.truncate(1);
    topology.applications.truncate(1);
    topology
}

async fn session(fleet: &Fleet, program: &str) -> (Caller, SessionRef) {
    let caller = Caller::new(fleet.gateways(), TENANT);
    let end = UnixMillis::now().plus(Duration::from_secs(600));
    caller.put_program(0, program, 1_000, end.0).await.unwrap();
    let session = SessionRef::new(program, "s");
    caller.open_session(0, &session, MODEL, None).await.unwrap();
    (caller, session)
}

async fn run_turn(
    caller: &Caller,
    session: &SessionRef,
    turn: &str,
    after: Option<&str>,
) -> Result<(), CallerError> {
    let request = TurnRequest::new(turn, after, "[tokens 5]", 64);
    let transcript = caller.run_turn(0, session, &request).await?;
    transcript.check(turn)?;
    assert_eq!(transcript.end(), "finished");
    Ok(())
}

fn process_ids(fleet: &Fleet) -> Vec<i32> {
    fleet
        .status()
        .into_iter()
        .filter_map(|p| p.pid)
        .map(|pid| i32::try_from(pid).unwrap())
        .collect()
}

fn has_exited(pid: i32) -> bool {
    kill(Pid::from_raw(pid), None) == Err(Errno::ESRCH)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_panicking_test_leaves_no_processes_or_data() {
    let fleet = start(topology()).await;
    let (ids, data) = (process_ids(&fleet), fleet.data().to_owned());
    assert_eq!(ids.len(), fleet.all_names().len());
    fleet.freeze(name("engine:0")).unwrap();
    let panicked = tokio::spawn(async move {
        let _held = fleet;
        panic!("on purpose");
    });
    assert!(panicked.await.unwrap_err().is_panic());
    assert!(ids.into_iter().all(has_exited));
    assert!(!data.exists());
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_continue_across_store_replacement_and_disk_loss() {
    let fleet = start(topology()).await;
    let (caller, session) = session(&fleet, "p").await;
    run_turn(&caller, &session, "t1", None).await.unwrap();
    let before = fleet.http_address(name("store:1")).unwrap();
    fleet.replace(name("store:1")).await.unwrap();
    assert_ne!(before, fleet.http_address(name("store:1")).unwrap());
    fleet.wait_ready(name("store:1"), WAIT_TIMEOUT).await.unwrap();
    run_turn(&caller, &session, "t2", Some("t1")).await.unwrap();
    fleet.lose_disk(name("store:1")).await.unwrap();
    fleet.wait_ready(name("store:1"), WAIT_TIMEOUT).await.unwrap();
    run_turn(&caller, &session, "t3", Some("t2")).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_gateway_serves_after_resuming() {
    let fleet = start(topology()).await;
    let (caller, session) = session(&fleet, "p").await;
    fleet.freeze(name("gateway:0")).unwrap();
    assert_eq!(fleet.status().iter().filter(|p| p.state == "frozen").count(), 1);
    let others = Caller::new(vec![fleet.gateway(1)], TENANT);
    run_turn(&others, &session, "t1", None).await.unwrap();
    fleet.resume(name("gateway:0")).unwrap();
    fleet.wait_ready(name("gateway:0"), WAIT_TIMEOUT).await.unwrap();
    run_turn(&caller, &session, "t2", Some("t1")).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_gateway_is_unready_until_healed() {
    let fleet = start(topology()).await;
    fleet.isolate(name("gateway:0")).await.unwrap();
    let unready = fleet.wait_ready(name("gateway:0"), Duration::ZERO);
    let mut last = unready.await;
    while last.is_ok() {
        tokio::time::sleep(Duration::from_millis(100)).await;
        last = fleet.wait_ready(name("gateway:0"), Duration::ZERO).await;
    }
    assert!(matches!(last, Err(FleetError::TimedOut { .. })), "{last:?}");
    fleet.heal().await.unwrap();
    fleet.wait_ready(name("gateway:0"), WAIT_TIMEOUT).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_continue_across_a_rolling_restart() {
    use ProcessKind::{Core, Engine, Gateway, Store};
    let fleet = start(topology()).await;
    let (caller, session) = session(&fleet, "p").await;
    run_turn(&caller, &session, "t1", None).await.unwrap();
    fleet.rolling_restart(&[Store, Core, Engine, Gateway]).await.unwrap();
    run_turn(&caller, &session, "t2", Some("t1")).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_application_engine_can_be_added() {
    let fleet = start(topology()).await;
    let group = fleet.topology().applications[0].clone();
    let added = fleet.add_application(&group).await.unwrap();
    assert_eq!(added, name("app:2"));
    let engine_listed = || async {
        let http = hooklug_fleet::http::HttpClient::default();
        let request = hooklug_fleet::http::HttpRequest::new(http::Method::GET, "/admin/v1/engines");
        let response = http.send(fleet.gateway(0), &request).await.map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        if text.contains("app-2") { Ok(()) } else { Err(text) }
    };
    fleet.wait_until("a gateway sees the new engine", WAIT_TIMEOUT, engine_listed).await.unwrap();
}
