//! Handling of signals. The first `SIGTERM` or `SIGINT` starts a graceful shutdown; the second
//! exits at once. `SIGHUP`, which announces changed settings, is ignored: settings are read only at
//! startup, and the signal must not end the process.

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// Exit code after a second signal.
const EXIT_IMMEDIATE: i32 = 1;

/// Installs the signal handlers; the returned token is cancelled by the first `SIGTERM` or
/// `SIGINT`.
pub(super) fn listen() -> std::io::Result<CancellationToken> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            info!("received SIGHUP; changed settings take effect at the next start");
        }
    });
    let stop = CancellationToken::new();
    let stopping = stop.clone();
    tokio::spawn(async move {
        stop_signal(&mut terminate, &mut interrupt).await;
        stopping.cancel();
        stop_signal(&mut terminate, &mut interrupt).await;
        warn!("received a second stop signal; exiting at once");
        std::process::exit(EXIT_IMMEDIATE);
    });
    Ok(stop)
}

async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
