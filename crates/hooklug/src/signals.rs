//! Signals of the platform: the first asks to stop, the second ends the process at once. `SIGHUP` changes nothing: the
//! settings are read at the start only, and a process that was told of new ones must not end.

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// Exit code after a second signal.
const EXIT_AT_ONCE: i32 = 1;

/// A token that is cancelled by the first signal.
pub(super) fn listen() -> std::io::Result<CancellationToken> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            info!("the settings may have changed; they are read at the next start");
        }
    });
    let stop = CancellationToken::new();
    let stopping = stop.clone();
    tokio::spawn(async move {
        either(&mut terminate, &mut interrupt).await;
        stopping.cancel();
        either(&mut terminate, &mut interrupt).await;
        warn!("second signal, ending at once");
        std::process::exit(EXIT_AT_ONCE);
    });
    Ok(stop)
}

async fn either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
