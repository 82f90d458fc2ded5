//! Measures real stores with commits of several sizes: processor time, syncs, log bytes and memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::try_join_all;
use hooklug_state::shard::ShardCommand;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::fit::Observation;
use super::fleet_usage::Span;
use super::report::Report;
use super::report_slope;
use crate::hollow::{Access, Field, ProgramRecords, Writer};

const EXPERIMENT: &str = "stores";
/// Number of concurrent writers and of token events in each of their commits, for each measurement.
const LOADS: [(usize, u64); 9] =
    [(1, 1), (4, 1), (16, 1), (64, 1), (4, 16), (16, 16), (64, 16), (16, 64), (64, 64)];
/// Warm-up before a span is measured.
const WARM_UP: Duration = Duration::from_millis(700);

struct Measured {
    commits: f64,
    events: f64,
    span: Span,
}

/// Runs writers in closed loops against three stores and fits the costs.
pub(super) async fn run(report: &Report, span: Duration) -> anyhow::Result<()> {
    let field = Field::start(3, 1).await?;
    let writer = Writer::new(&Access::of(&field.fleet)?)?;
    let idle = measure(&field, &writer, (0, 0), span).await?;
    let mut all = vec![idle];
    for load in LOADS {
        all.push(measure(&field, &writer, load, span).await?);
    }
    for one in &all {
        let fields = json!({
            "experiment": EXPERIMENT,
            "commits": one.commits,
            "events": one.events,
            "span": one.span,
        });
        report.line("observation", &fields)?;
    }
    let fitted = |cost: &str, of: &dyn Fn(&Measured) -> f64| {
        let rate = |m: &Measured, value: f64| value / m.span.seconds;
        let observe = |m: &Measured| Observation {
            drivers: vec![rate(m, m.commits), rate(m, m.events)],
            cost: rate(m, of(m)),
        };
        let observations: Vec<_> = all.iter().map(observe).collect();
        let drivers = ["commit", "token event"];
        report_slope(report, (EXPERIMENT, "three stores", cost), &drivers, &observations)
    };
    fitted("cpu seconds", &|m| m.span.role("store").cpu_seconds)?;
    fit_syncs(report, &all)?;
    fitted("log bytes", &|m| m.span.role("store").log_bytes)?;
    fitted("syncs", &|m| m.span.role("store").syncs)?;
    fitted("rpc bytes sent", &|m| m.span.role("store").rpc_sent_bytes)?;
    fitted("rpc frames", &|m| m.span.role("store").rpc_frames)?;
    fitted("resident bytes", &|m| m.span.role("store").resident_bytes)
}

/// Fits processor time with syncs as a driver too: the more commits run at once, the more of them
/// share a sync.
fn fit_syncs(report: &Report, all: &[Measured]) -> anyhow::Result<()> {
    let observe = |m: &Measured| {
        let store = m.span.role("store");
        let drivers = [store.syncs, m.commits, m.events].map(|n| n / m.span.seconds);
        Observation { drivers: drivers.to_vec(), cost: store.cpu_seconds / m.span.seconds }
    };
    let observations: Vec<_> = all.iter().map(observe).collect();
    let drivers = ["sync", "commit", "token event"];
    report_slope(report, (EXPERIMENT, "three stores", "cpu seconds"), &drivers, &observations)
}

async fn measure(
    field: &Field,
    writer: &Writer,
    (writers, events): (usize, u64),
    span: Duration,
) -> anyhow::Result<Measured> {
    let commits = Arc::new(AtomicU64::new(0));
    let stop = CancellationToken::new();
    let mut tasks = Vec::new();
    for n in 0..writers {
        let records = ProgramRecords::new(&format!("w{writers}e{events}"), n)?;
        let first = ShardCommand::Batch(vec![records.put()?, records.open()?, records.begin()]);
        writer.execute(records.group(), &first).await?;
        let loops = write(writer.clone(), records, events, commits.clone(), stop.clone());
        tasks.push(tokio::spawn(loops));
    }
    tokio::time::sleep(WARM_UP).await;
    let before = field.look().await?;
    let from = commits.load(Ordering::Relaxed);
    tokio::time::sleep(span).await;
    let after = field.look().await?;
    let done = (commits.load(Ordering::Relaxed) - from) as f64;
    stop.cancel();
    for ended in try_join_all(tasks).await? {
        ended?;
    }
    Ok(Measured { commits: done, events: done * events as f64, span: after.since(&before) })
}

async fn write(
    writer: Writer,
    records: ProgramRecords,
    events: u64,
    commits: Arc<AtomicU64>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut next = 2;
    while !stop.is_cancelled() {
        writer.execute(records.group(), &records.append(next, events)).await?;
        next += events;
        commits.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
