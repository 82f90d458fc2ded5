//! Starts and ends faults in a running fleet.

use std::time::Duration;

use hooklug_fleet::{Fleet, FleetError, ProcessKind, ProcessName};

use super::backends;
use super::fault::Fault;

/// Time after which the lease of a failed engine has expired and the takeover of its sessions has
/// started (design document: 3.5 s).
const TAKEOVER_TIME: Duration = Duration::from_millis(3_500);

/// Starts a fault.
///
/// # Errors
/// If the fleet cannot perform it.
pub(super) async fn start(fleet: &Fleet, fault: &Fault) -> Result<(), FleetError> {
    match fault {
        Fault::Kill(names) => names.iter().try_for_each(|name| fleet.kill(*name)),
        Fault::KillSequentially(names) => kill_sequentially(fleet, names).await,
        Fault::Freeze(name) => fleet.freeze(*name),
        Fault::Isolate(name) => fleet.isolate(*name).await,
        Fault::DropOneWay(from, to) if from == to => Ok(()),
        Fault::DropOneWay(from, to) => fleet.cut(*from, *to, true).await,
        Fault::Replace(name) => fleet.replace(*name).await,
        Fault::LoseDisk(name) => fleet.lose_disk(*name).await,
        Fault::Drain(name) => fleet.drain(*name).await,
        Fault::RollingRestart(kind) => fleet.rolling_restart(&[*kind]).await,
        Fault::Backend(name, fault) => backends::set_fault(fleet, *name, *fault).await,
        Fault::RestartBackend(name) => backends::restart(fleet, *name).await,
        Fault::HarmfulRelease => Ok(()),
    }
}

/// Ends a fault, except for blocked links: the caller unblocks all of them at once.
///
/// # Errors
/// If the fleet cannot perform it.
pub(super) async fn end(fleet: &Fleet, fault: &Fault) -> Result<(), FleetError> {
    match fault {
        Fault::Kill(names) | Fault::KillSequentially(names) => restart_all(fleet, names).await,
        Fault::Freeze(name) => fleet.resume(*name),
        Fault::Drain(name) if name.kind == ProcessKind::App => {
            backends::clear_faults(fleet, *name).await
        }
        Fault::Drain(name) => fleet.restart(*name).await,
        Fault::Backend(name, _) => backends::clear_faults(fleet, *name).await,
        _ => Ok(()),
    }
}

async fn kill_sequentially(fleet: &Fleet, names: &[ProcessName]) -> Result<(), FleetError> {
    for name in names {
        fleet.kill(*name)?;
        tokio::time::sleep(TAKEOVER_TIME).await;
    }
    Ok(())
}

/// Starts several processes concurrently, as after a power failure.
async fn restart_all(fleet: &Fleet, names: &[ProcessName]) -> Result<(), FleetError> {
    let restarts = names.iter().map(|name| fleet.restart(*name));
    futures::future::join_all(restarts).await.into_iter().collect()
}
