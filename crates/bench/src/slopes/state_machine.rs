//! Measures the shard's state machine alone, in this process: memory, snapshot size and processor
//! time per record.

use std::time::{Duration, Instant};

use hooklug_state::StateMachine;
use hooklug_state::shard::{ShardCommand, ShardMachine};
use serde_json::json;

use super::fit::Observation;
use super::process_usage::Usage;
use super::report::Report;
use super::report_slope;
use crate::hollow::ProgramRecords;

const EXPERIMENT: &str = "machine";
const ROLE: &str = "store";
/// Number of programs (each with a session and an open turn) and of token events per program, for
/// each measurement.
const SIZES: [(usize, u64); 9] = [
    (1_000, 0),
    (4_000, 0),
    (16_000, 0),
    (1_000, 100),
    (1_000, 400),
    (4_000, 100),
    (4_000, 200),
    (100, 10_000),
    (16_000, 50),
];
/// Token events per command.
const EVENTS_PER_COMMAND: u64 = 50;

struct Measurement {
    programs: f64,
    events: f64,
    resident_bytes: f64,
    snapshot_bytes: f64,
    records_seconds: f64,
    events_seconds: f64,
}

/// Builds state machines of several sizes. All of them are retained until the end: memory freed by
/// one would be reused by the next, whose resident memory would then appear too small.
pub(super) fn run(report: &Report) -> anyhow::Result<()> {
    let mut machines = Vec::new();
    let mut measurements = Vec::new();
    for (programs, events) in SIZES {
        let (machine, measured) = build(programs, events)?;
        let fields = json!({
            "experiment": EXPERIMENT,
            "programs": measured.programs,
            "events": measured.events,
            "resident_bytes": measured.resident_bytes,
            "snapshot_bytes": measured.snapshot_bytes,
            "records_seconds": measured.records_seconds,
            "events_seconds": measured.events_seconds,
        });
        report.line("observation", &fields)?;
        machines.push(machine);
        measurements.push(measured);
    }
    let fitted = |cost: &str, of: &dyn Fn(&Measurement) -> f64| {
        let to_observation =
            |m: &Measurement| Observation { drivers: vec![m.programs, m.events], cost: of(m) };
        let observations: Vec<_> = measurements.iter().map(to_observation).collect();
        let drivers = ["program with session and open turn", "token event"];
        report_slope(report, (EXPERIMENT, ROLE, cost), &drivers, &observations)
    };
    fitted("resident bytes", &|m| m.resident_bytes)?;
    fitted("snapshot bytes", &|m| m.snapshot_bytes)?;
    fitted("cpu seconds to apply", &|m| m.records_seconds + m.events_seconds)
}

fn build(programs: usize, events: u64) -> anyhow::Result<(ShardMachine, Measurement)> {
    let before = Usage::own()?.resident_bytes;
    let mut machine = ShardMachine::new(Duration::from_secs(86_400));
    let records: Result<Vec<_>, _> =
        (0..programs).map(|n| ProgramRecords::new("machine", n)).collect();
    let records = records?;
    let start_time = Instant::now();
    for program in &records {
        for command in [program.put_program()?, program.open_session()?, program.begin_turn()] {
            machine.apply_command(command);
        }
    }
    let records_seconds = start_time.elapsed().as_secs_f64();
    let start_time = Instant::now();
    for program in &records {
        for first in (0..events).step_by(EVENTS_PER_COMMAND as usize) {
            let command: ShardCommand =
                program.append_events(2 + first, EVENTS_PER_COMMAND.min(events - first));
            machine.apply_command(command);
        }
    }
    let events_seconds = start_time.elapsed().as_secs_f64();
    drop(records);
    let resident = Usage::own()?.resident_bytes.saturating_sub(before);
    let measured = Measurement {
        programs: programs as f64,
        events: (programs as u64 * events) as f64,
        resident_bytes: resident as f64,
        snapshot_bytes: machine.snapshot().len() as f64,
        records_seconds,
        events_seconds,
    };
    Ok((machine, measured))
}
