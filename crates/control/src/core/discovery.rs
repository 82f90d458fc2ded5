//! Reads the platform's list each second and probes each engine each second.

use std::time::{Duration, Instant};

use futures::StreamExt;
use tokio::time::MissedTickBehavior;
use tracing::warn;

use super::Shared;
use super::leader::Leading;
use super::platform::ListSource;
use super::probe::probe;

/// Pause between rounds (design: each second).
const ROUND: Duration = Duration::from_secs(1);

/// Probes under way at once (ours).
const PROBES_AT_ONCE: usize = 128;

pub(super) async fn run(shared: &Shared, leading: &Leading) {
    let Some(text) = &shared.ctx.settings.core.platform_list else {
        return std::future::pending().await;
    };
    let source = ListSource::parse(text);
    let mut rounds = tokio::time::interval(ROUND);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        match source.read().await {
            Ok(list) => leading.engines().set_list(list),
            Err(error) => {
                warn!(%error, "the platform's list cannot be read, the last one stays in use");
            }
        }
        probe_all(leading).await;
    }
}

async fn probe_all(leading: &Leading) {
    let addresses = leading.engines().addresses();
    let probes =
        addresses.into_iter().map(|address| async move { (address, probe(address).await) });
    let mut outcomes = futures::stream::iter(probes).buffer_unordered(PROBES_AT_ONCE);
    while let Some((address, outcome)) = outcomes.next().await {
        leading.engines().probed(address, outcome, Instant::now());
    }
}
