//! Helpers shared by the tests: fleets, requests, evidence from ledgers, and a load generator that
//! records everything that was acknowledged.

pub mod bundles;
mod evidence;
mod fleet;
pub mod load;
pub mod repair;
mod requests;
mod state;
mod versions;

use std::time::Duration;

use hooklug_fleet::ProcessName;

pub use evidence::{check_text, generations, runs, runs_at, set_fault, slow, wait_for_run};
pub use fleet::{
    TestFleet, acquire_fleet_permit, control_topology, data_topology, pid, restart_all,
    running_nodes, start, start_alone,
};
pub use requests::{alarm, caller, finish, open, owner, put_program};
pub use versions::VersionWatch;

pub use state::{read_current, shard_leader, wait_installed, write_all_shards};

/// Timeout of a wait for a condition. It is generous, because no guarantee depends on it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time until service is back after machines return (requirement: about 12 s).
pub const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Maximum time until an acknowledged bundle is installed at all nodes (requirement: about 2 s).
pub const INSTALL_BOUND: Duration = Duration::from_secs(2);
/// Tenant of all requests.
pub const TENANT: &str = "serra-verde";
/// Model of all sessions.
pub const MODEL: &str = "advisor-7b";

pub fn name(text: &str) -> ProcessName {
    text.parse().unwrap()
}
