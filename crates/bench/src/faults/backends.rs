//! Faults of model servers and application engines.

use hooklug_emulator::{FaultKind, FaultRule, Faults, Restart};
use hooklug_fleet::{Fleet, FleetError, ProcessName};

use super::fault::BackendFault;

/// Additional delay of a slow response, in milliseconds.
const SLOW_RESPONSE_DELAY_MS: u64 = 600;
/// Downtime of a restarting backend, in milliseconds.
const RESTART_DOWNTIME_MS: u64 = 500;

pub(super) async fn set_fault(
    fleet: &Fleet,
    name: ProcessName,
    fault: BackendFault,
) -> Result<(), FleetError> {
    let rule = FaultRule {
        share: f64::from(fault.percent) / 100.0,
        millis: if fault.kind == FaultKind::Slow { SLOW_RESPONSE_DELAY_MS } else { 0 },
        ..FaultRule::always(fault.kind)
    };
    fleet.set_faults(name, &Faults { rules: vec![rule], ..Faults::default() }).await
}

pub(super) async fn clear_faults(fleet: &Fleet, name: ProcessName) -> Result<(), FleetError> {
    fleet.set_faults(name, &Faults::default()).await
}

pub(super) async fn restart(fleet: &Fleet, name: ProcessName) -> Result<(), FleetError> {
    fleet
        .restart_fake_backend(name, &Restart { down_ms: RESTART_DOWNTIME_MS, ..Restart::default() })
        .await
}
