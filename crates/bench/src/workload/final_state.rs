//! Reads the final state after the load has ended: histories, token accounting of programs, and
//! ledgers of backends.

use futures::StreamExt;
use hooklug_fleet::caller::SessionRef;
use hooklug_fleet::{Fleet, FleetError, ProcessKind};

use super::client::Client;

/// Maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 16;
/// Attempts for each history, each at another gateway.
const ATTEMPTS: usize = 5;

/// Reads all histories, programs and ledgers into the evidence.
///
/// # Errors
/// If a ledger cannot be decoded.
pub async fn read_final_state(fleet: &Fleet, client: &Client) -> Result<(), FleetError> {
    let (sessions, programs): (Vec<String>, Vec<String>) = {
        let evidence = client.recorder.lock();
        (evidence.sessions.keys().cloned().collect(), evidence.programs.keys().cloned().collect())
    };
    futures::stream::iter(sessions)
        .for_each_concurrent(MAX_CONCURRENT_READS, |name| read_history(client, name))
        .await;
    futures::stream::iter(programs)
        .for_each_concurrent(MAX_CONCURRENT_READS, |name| read_program(client, name))
        .await;
    let applications = fleet.ledgers(ProcessKind::App)?;
    let models = fleet.ledgers(ProcessKind::Model)?;
    let mut evidence = client.recorder.lock();
    evidence.application_ledgers = applications;
    evidence.model_ledgers = models;
    Ok(())
}

async fn read_history(client: &Client, name: String) {
    let Some((program, session)) = name.split_once('/') else { return };
    let session = SessionRef::new(program, session);
    for gateway in 0..ATTEMPTS {
        if let Ok(events) = client.read_history(gateway, &session).await {
            let mut evidence = client.recorder.lock();
            if let Some(record) = evidence.sessions.get_mut(&name) {
                record.history = Some(events);
            }
            return;
        }
    }
}

async fn read_program(client: &Client, name: String) {
    if let Ok(view) = client.caller().program(0, &name).await {
        let mut evidence = client.recorder.lock();
        if let Some(record) = evidence.programs.get_mut(&name) {
            record.booked = Some(view.spent + view.reserved);
        }
    }
}
