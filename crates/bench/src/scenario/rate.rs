//! Measures the request rate of a given number of concurrent callers.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::statistics::Percentiles;

/// A measured request rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    /// Successful requests per second.
    pub per_second: f64,
    /// Number of failed requests.
    pub failed: u64,
    /// Response times of successful requests.
    pub times_ms: Percentiles,
}

/// Runs `request` in a closed loop from `callers` concurrent callers for a time. `request` receives
/// the number of the caller and of the request.
pub(super) async fn measure<F, Fut>(callers: usize, time: Duration, request: F) -> Rate
where
    F: Fn(usize, u64) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = bool> + Send,
{
    let request = Arc::new(request);
    let start_time = Instant::now();
    let end = start_time + time;
    let mut running = JoinSet::new();
    for caller in 0..callers {
        let request = request.clone();
        running.spawn(async move {
            let (mut times, mut failed, mut number) = (Vec::new(), 0, 0);
            while Instant::now() < end {
                let sent = Instant::now();
                number += 1;
                if request(caller, number).await {
                    times.push(sent.elapsed().as_secs_f64() * 1e3);
                } else {
                    failed += 1;
                }
            }
            (times, failed)
        });
    }
    let (mut times, mut failed) = (Vec::new(), 0);
    while let Some(joined) = running.join_next().await {
        // Measurements of a caller that panicked are lost.
        let Ok((caller_times, caller_failed)) = joined else { continue };
        times.extend::<Vec<f64>>(caller_times);
        failed += caller_failed;
    }
    let per_second = times.len() as f64 / start_time.elapsed().as_secs_f64();
    Rate { per_second, failed, times_ms: Percentiles::of(times) }
}
