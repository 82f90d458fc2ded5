//! Signals that must not end a process.

mod common;

use common::{Fleet, ask, eventually};
use http::Method;
use nix::sys::signal::Signal;

/// Waits until the process answers, whatever it says.
async fn answers(fleet: &Fleet, index: usize) {
    eventually("the process answers", async || {
        ask(fleet.http(index), Method::GET, "/healthz", "").await.is_some()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_that_is_told_of_new_settings_goes_on() {
    let mut fleet = Fleet::new(91);
    for role in ["core", "gateway"] {
        let index = fleet.add(role);
        answers(&fleet, index).await;
        fleet.processes[index].signal(Signal::SIGHUP);
        // Had it ended, the next signal would find nobody to obey it in order.
        answers(&fleet, index).await;
        fleet.processes[index].signal(Signal::SIGTERM);
        assert!(fleet.processes[index].wait().success());
    }
}
