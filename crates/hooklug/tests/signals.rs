//! Signals that must not terminate a process.

mod common;

use common::{Fleet, eventually, request};
use http::Method;
use nix::sys::signal::Signal;

/// Waits until the process responds to a request, with any status.
async fn wait_until_responsive(fleet: &Fleet, index: usize) {
    eventually("the process responds", async || {
        request(fleet.http(index), Method::GET, "/healthz", "").await.is_some()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_survives_sighup() {
    let mut fleet = Fleet::new(91);
    for role in ["core", "gateway"] {
        let index = fleet.add(role);
        wait_until_responsive(&fleet, index).await;
        fleet.processes[index].signal(Signal::SIGHUP);
        // If the process had terminated, it would not respond, and could not shut down gracefully.
        wait_until_responsive(&fleet, index).await;
        fleet.processes[index].signal(Signal::SIGTERM);
        assert!(fleet.processes[index].wait().success());
    }
}
