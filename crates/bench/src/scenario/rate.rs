//! How many requests a second a path takes, with so many callers at once.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::figures::Percentiles;

/// A measured rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    /// Requests that succeeded, a second.
    pub per_second: f64,
    /// Requests that failed.
    pub failed: u64,
    /// Times of those that succeeded.
    pub times_ms: Percentiles,
}

/// Runs `request` in a loop from so many callers for a time. It gets the caller's number and the number
/// of the request.
pub(super) async fn measure<F, Fut>(callers: usize, time: Duration, request: F) -> Rate
where
    F: Fn(usize, u64) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = bool> + Send,
{
    let request = Arc::new(request);
    let began = Instant::now();
    let end = began + time;
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
    while let Some(ended) = running.join_next().await {
        // A caller that panicked measured nothing.
        let Ok((more, also_failed)) = ended else { continue };
        times.extend::<Vec<f64>>(more);
        failed += also_failed;
    }
    let per_second = times.len() as f64 / began.elapsed().as_secs_f64();
    Rate { per_second, failed, times_ms: Percentiles::of(times) }
}
