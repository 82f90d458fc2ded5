//! Runs the simulator over many seeds, or replays one seed with a readable trace.
//!
//! `cargo run --release -p hooklug-raft --features simulation --example simulate -- --seeds 20000`

use clap::Parser;
use hooklug_raft::simulation::{Scenario, run, sweep};

/// Runs a simulated raft group under faults and checks it after every step.
#[derive(Debug, Parser)]
struct Arguments {
    /// Number of seeds to run.
    #[arg(long, default_value_t = 2_000)]
    seeds: u64,
    /// First seed.
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Number of threads. The default of two leaves the machine usable.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Runs only the first seed and prints its last events.
    #[arg(long)]
    replay: bool,
}

fn main() -> std::process::ExitCode {
    let arguments = Arguments::parse();
    let failed = if arguments.replay { replay(arguments.first) } else { sweep_all(&arguments) };
    if failed { std::process::ExitCode::FAILURE } else { std::process::ExitCode::SUCCESS }
}

fn replay(seed: u64) -> bool {
    let outcome = run(Scenario { seed, broken_rule: None, record_trace: true });
    for line in &outcome.lines {
        println!("{line}");
    }
    println!("seed {seed}: digest {:016x}, {:?}", outcome.digest, outcome.totals);
    if let Some(violation) = &outcome.violation {
        println!("seed {seed}: {violation}");
    }
    outcome.violation.is_some()
}

fn sweep_all(arguments: &Arguments) -> bool {
    let started = std::time::Instant::now();
    let report = sweep(arguments.first, arguments.seeds, arguments.threads, None);
    let seconds = started.elapsed().as_secs_f64();
    println!("{} seeds in {seconds:.1} s, {:?}", report.seeds, report.totals);
    for failure in &report.failures {
        println!("seed {}: {}", failure.seed, failure.violation);
    }
    println!("{} seeds failed", report.failures.len());
    !report.failures.is_empty()
}
