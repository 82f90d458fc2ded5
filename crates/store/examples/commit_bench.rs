//! Measures the commit throughput and latency of a three-store cluster on this machine, compared
//! with a plain append-and-sync loop on the same disk.
//!
//! `cargo run --release -p hooklug-store --example commit_bench [-- commits]`
//!
//! One run prints: the rate of the loop; the time of an rpc round trip; commits per second and
//! latencies for 1 and 16 groups with 1 to 256 clients, their ratio to the loop, and the latency of
//! one client relative to a sync and a round trip; the time from a leader's stop to the next
//! commit; and the time to replay 100,000 commands. With the argument `commits`, the last two are
//! skipped.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hooklug_protocol::store::GroupStatus;
use hooklug_rpc::{Router, RpcServer};
use hooklug_settings::StoreSettings;
use hooklug_store::{StateAccess, StoreClient};
use hooklug_types::{GroupId, SHARD_COUNT, shard_of};
use support::{TestCluster, free_address, put, rpc_client, soon};
use tokio_util::sync::CancellationToken;

/// Duration of one measurement.
const MEASURE_TIME: Duration = Duration::from_secs(2);
/// Numbers of concurrent clients to measure with.
const CLIENTS: [usize; 5] = [1, 4, 16, 64, 256];
/// Number of leaders that are stopped, one after another.
const STOPS: usize = 10;
/// Number of commands whose replay is timed.
const REPLAYED_COMMANDS: usize = 100_000;

#[tokio::main]
async fn main() {
    let loop_rate = append_and_sync_rate();
    println!("append-and-sync loop: {loop_rate:.0}/s, {:.0} us each", 1e6 / loop_rate);
    let mut cluster = TestCluster::formed(3, StoreSettings::default()).await;
    let round_trip = round_trip().await;
    println!("rpc round trip: p50 {} us", round_trip.as_micros());
    let reference = Duration::from_secs_f64(1.0 / loop_rate) + round_trip;
    println!("groups clients commits/s ratio growth p50_us p99_us core_us");
    for groups in [1, SHARD_COUNT as usize] {
        measure_groups(&cluster, groups, loop_rate, reference).await;
    }
    if std::env::args().any(|argument| argument == "commits") {
        return;
    }
    leader_stops(&mut cluster).await;
    replay(&mut cluster).await;
}

/// Measures and prints one row per number of clients, and the latency of one client as a multiple
/// of a sync and a round trip. The column `growth` is the rate relative to that of one client.
async fn measure_groups(cluster: &TestCluster, groups: usize, loop_rate: f64, reference: Duration) {
    let (mut single_rate, mut single_p50) = (0.0, 0);
    for clients in CLIENTS {
        let Measured { rate, latencies, core_micros } = measure(cluster, groups, clients).await;
        let (p50, p99) = (latencies.value_at_quantile(0.5), latencies.value_at_quantile(0.99));
        if clients == 1 {
            (single_rate, single_p50) = (rate, p50);
        }
        let (ratio, growth) = (rate / loop_rate, rate / single_rate);
        println!(
            "{groups:6} {clients:7} {rate:9.0} {ratio:5.2} {growth:6.1} {p50:6} {p99:6} {core_micros:7.0}"
        );
    }
    let times = single_p50 as f64 / reference.as_micros() as f64;
    println!("{groups:6} one client: p50 is {times:.2} times a sync and a round trip");
}

/// Measures the median time of a small request to a server that replies immediately.
async fn round_trip() -> Duration {
    let listener = RpcServer::bind(free_address().await).await.expect("an address");
    let to = listener.local_addr().expect("an address");
    let client = rpc_client();
    let router = Router::new().route(|_, _: GroupStatus| async { Vec::new() });
    let (server, stop) =
        (RpcServer::new(listener, client.identity().clone(), router), CancellationToken::new());
    let server = tokio::spawn(server.run(stop.clone()));
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let end = Instant::now() + MEASURE_TIME;
    while Instant::now() < end {
        let started = Instant::now();
        client.call(to, &GroupStatus, soon()).await.expect("a reply");
        times.record(started.elapsed().as_micros() as u64).expect("in bounds");
    }
    stop.cancel();
    server.await.expect("the server");
    Duration::from_micros(times.value_at_quantile(0.5))
}

/// Measures the rate of sequential appends of a command's size, each followed by a sync.
fn append_and_sync_rate() -> f64 {
    let folder = tempfile::tempdir().expect("a folder");
    let mut file = std::fs::File::create(folder.path().join("loop")).expect("a file");
    let bytes = hooklug_state::encode(&put("program-000000"));
    let (started, mut count) = (Instant::now(), 0_u32);
    while started.elapsed() < MEASURE_TIME {
        file.write_all(&bytes).expect("a write");
        file.sync_data().expect("a sync");
        count += 1;
    }
    f64::from(count) / started.elapsed().as_secs_f64()
}

struct Measured {
    rate: f64,
    latencies: Histogram<u64>,
    /// Processor time of the process (three stores and the clients) per commit, in microseconds.
    core_micros: f64,
}

/// Returns the processor time that this process has used, in microseconds.
fn core_micros() -> f64 {
    /// Length of a kernel clock tick in microseconds.
    const TICK_MICROS: f64 = 10_000.0;
    let stat = std::fs::read_to_string("/proc/self/stat").expect("process statistics");
    // The process name in parentheses may contain spaces; user and system time are fields 14 and
    // 15.
    let fields = stat.rsplit(')').next().expect("fields").split_whitespace();
    let ticks = fields.skip(11).take(2).map(|field| field.parse::<f64>().expect("ticks"));
    ticks.sum::<f64>() * TICK_MICROS
}

/// Measures commits with concurrent clients that each send one command after another.
async fn measure(cluster: &TestCluster, groups: usize, clients: usize) -> Measured {
    static RUN: AtomicU64 = AtomicU64::new(0);
    let run = RUN.fetch_add(1, Ordering::Relaxed);
    let client = cluster.client();
    let end = Instant::now() + MEASURE_TIME;
    let names = Arc::new(names(groups));
    let (started, core_before) = (Instant::now(), core_micros());
    let tasks: Vec<_> = (0..clients)
        .map(|number| tokio::spawn(one_client(client.clone(), names.clone(), number, run, end)))
        .collect();
    let mut latencies = Histogram::new(3).expect("three digits");
    for task in tasks {
        latencies.add(task.await.expect("a client")).expect("same bounds");
    }
    let rate = latencies.len() as f64 / started.elapsed().as_secs_f64();
    let core_micros = (core_micros() - core_before) / latencies.len() as f64;
    Measured { rate, latencies, core_micros }
}

/// Returns a name that maps to each group, so that commands are spread evenly.
fn names(groups: usize) -> Vec<String> {
    let of_group = |group: usize| {
        let target = GroupId(u32::try_from(group + 1).expect("few groups"));
        let mut names = (0..).map(|number| format!("bench-{number}"));
        names.find(|name| shard_of(name) == target).expect("some name")
    };
    (0..groups).map(of_group).collect()
}

async fn one_client(
    client: StoreClient,
    names: Arc<Vec<String>>,
    number: usize,
    run: u64,
    end: Instant,
) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("three digits");
    let mut sent = 0_usize;
    while Instant::now() < end {
        let group = shard_of(&names[(number + sent) % names.len()]);
        let command = put(&format!("p{run}-{number}-{}", sent % 64));
        let started = Instant::now();
        client.execute_shard(group, &command, soon()).await.expect("a commit");
        latencies.record(started.elapsed().as_micros() as u64).expect("in bounds");
        sent += 1;
    }
    latencies
}

/// Measures the time from the stop of a group's leader, without a handover, to the next commit.
async fn leader_stops(cluster: &mut TestCluster) {
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let client = cluster.client();
    for stop in 0..STOPS {
        let name = format!("stop-{stop}");
        let leader = cluster.until_leader(shard_of(&name)).await;
        client.execute_shard(shard_of(&name), &put(&name), soon()).await.expect("a commit");
        let stopped = Instant::now();
        cluster.kill(leader).await;
        client.execute_shard(shard_of(&name), &put(&name), soon()).await.expect("a commit");
        times.record(stopped.elapsed().as_millis() as u64).expect("in bounds");
        cluster.start(leader).await;
        cluster.until_formed().await;
    }
    let (p50, max) = (times.value_at_quantile(0.5), times.max());
    println!("leader stop to next commit: p50 {p50} ms, max {max} ms of {STOPS}");
}

/// Measures the time for one store to open its data folder and apply a log of [`REPLAYED_COMMANDS`]
/// commands without a snapshot.
async fn replay(cluster: &mut TestCluster) {
    cluster.options.snapshot_commands = u64::MAX;
    for number in 0..3 {
        cluster.kill(number).await;
        cluster.start(number).await;
    }
    cluster.until_formed().await;
    let client = cluster.client();
    let group = GroupId(1);
    let applied = async |cluster: &TestCluster| {
        cluster.handle(0).digest(group).await.map_or(0, |digest| digest.applied)
    };
    let before = applied(cluster).await;
    let tasks: Vec<_> = (0..200)
        .map(|number| {
            let client = client.clone();
            tokio::spawn(async move {
                for sent in 0..REPLAYED_COMMANDS / 200 {
                    let command = put(&format!("r{number}-{}", sent % 64));
                    client.execute_shard(group, &command, soon()).await.expect("a commit");
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.expect("a client");
    }
    cluster.assert_equal_digests(group).await;
    let target = applied(cluster).await;
    cluster.kill(0).await;
    let started = Instant::now();
    cluster.start(0).await;
    while applied(cluster).await < target {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let (time, entries) = (started.elapsed().as_millis(), target - before);
    println!(
        "replay of {REPLAYED_COMMANDS} commands in {entries} entries (and earlier ones): {time} ms"
    );
}
