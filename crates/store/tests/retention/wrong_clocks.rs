//! Wall clocks that are wrong or step, stores that have measured no time, and leaders that have not
//! applied the newest step of the clock: none of them shortens a retention time.

use std::time::Duration;

use hooklug_store::clock::{BUSY_INTERVAL, CATCH_UP_TIME, IDLE_INTERVAL};

use crate::commands::{
    REQUESTED_RETENTION, RETENTION, begin_call, begin_turn, finish_call, finish_turn,
    has_call_record, has_turn_record, is_retained, open_session, put_program, run_turn, start,
};
use crate::group::Group;

const HOUR_MS: i64 = 3_600_000;
/// Errors of a wall clock that is ahead.
const AHEAD_MS: [i64; 4] = [2_000, 5_000, 30_000, HOUR_MS];
/// Shorter than any interval of the clock.
const MOMENT: Duration = Duration::from_millis(100);
/// Longest time in which a group elects a leader.
const ELECTION: Duration = Duration::from_secs(10);

/// A group whose stores have followed their leader for long enough to have measured the time.
fn settled_group() -> Group {
    let mut group = Group::new();
    group.advance(CATCH_UP_TIME + IDLE_INTERVAL);
    group
}

/// Records of each kind, with the time at which they were made.
struct Records {
    made: Duration,
}

impl Records {
    fn make(group: &mut Group) -> Self {
        run_turn(group, start("chained", "chained"));
        let end_time = group.wall().plus(Duration::from_secs(10 * 3_600));
        group.execute(&put_program("ordinary", end_time));
        let epoch = open_session(group, "ordinary");
        group.execute(&begin_turn("ordinary", "turn", epoch));
        group.execute(&finish_turn("ordinary", "turn", epoch));
        group.execute(&begin_call("ordinary", "call"));
        group.execute(&finish_call("ordinary", "call"));
        Self { made: group.elapsed() }
    }

    /// Lets time pass until a moment before the end of the retention time, with commands that bring
    /// steps of the clock, and checks the records of all kinds.
    fn assert_retained(&self, group: &mut Group, case: &str) {
        advance_to(group, self.made + RETENTION - MOMENT);
        assert!(has_turn_record(group, "ordinary", "turn"), "{case}: the record of a turn is lost");
        assert!(has_call_record(group, "ordinary", "call"), "{case}: the record of a call is lost");
        assert!(is_retained(group, "chained"), "{case}: a turn is lost");
        assert_eq!(group.deleted_early(), 0, "{case}");
    }

    /// Checks that the records are deleted at the end of the time that was asked for, the longest
    /// time between two steps, and the time that no store has measured.
    fn assert_deleted(&self, group: &mut Group, unmeasured: Duration, case: &str) {
        let latest = REQUESTED_RETENTION + IDLE_INTERVAL + BUSY_INTERVAL + unmeasured;
        group.advance((self.made + latest).saturating_sub(group.elapsed()));
        assert!(!is_retained(group, "chained"), "{case}: a turn is kept for too long");
        assert!(!has_turn_record(group, "ordinary", "turn"), "{case}: a record is kept too long");
    }
}

/// Lets time pass while other programs run turns.
fn advance_to(group: &mut Group, end: Duration) {
    while group.elapsed() < end {
        let name = format!("other-{}", group.elapsed().as_millis());
        run_turn(group, start(&name, &name));
        let left = end - group.elapsed();
        group.advance(left.min(Duration::from_millis(500)));
    }
    let last = format!("last-{}", end.as_millis());
    run_turn(group, start(&last, &last));
}

/// Guards against records that are deleted early because a store that has just restarted leads, and
/// its wall clock is ahead.
#[test]
fn a_restarted_store_with_a_wall_clock_ahead_shortens_no_retention() {
    for error_ms in AHEAD_MS {
        let case = format!("ahead by {error_ms} ms");
        let mut group = settled_group();
        let records = Records::make(&mut group);
        group.set_wall_error(1, error_ms);
        group.restart_one(1, Duration::from_secs(1));
        group.elect(1);
        records.assert_retained(&mut group, &case);
        records.assert_deleted(&mut group, Duration::from_secs(1) + ELECTION, &case);
    }
}

/// Guards against records that are deleted early because the first leader after a restart of all
/// stores has a wall clock that is ahead.
#[test]
fn a_restart_of_all_stores_shortens_no_retention_whatever_the_leaders_wall_clock_says() {
    for error_ms in AHEAD_MS.into_iter().chain([0, -HOUR_MS]) {
        for down in [1, 20, 300].map(Duration::from_secs) {
            let case = format!("ahead by {error_ms} ms, down for {down:?}");
            let mut group = settled_group();
            let records = Records::make(&mut group);
            group.take_snapshots();
            group.set_wall_error(1, error_ms);
            let stopped = group.elapsed();
            group.restart_all(down, 1);
            let unmeasured = group.elapsed() - stopped;
            if down < RETENTION / 2 {
                records.assert_retained(&mut group, &case);
            }
            records.assert_deleted(&mut group, unmeasured + IDLE_INTERVAL, &case);
        }
    }
}

/// Guards against a restart of all stores that uses up the retention time of what ended before it:
/// another leader's wall clock is right then, but the time during which no store ran was not
/// measured.
#[test]
fn records_outlast_a_restart_of_all_stores_and_a_change_to_a_leader_that_is_ahead() {
    let mut group = settled_group();
    group.set_wall_error(1, -HOUR_MS);
    group.set_wall_error(2, HOUR_MS);
    group.restart_all(Duration::from_secs(90), 1);
    let records = Records::make(&mut group);
    group.elect(2);
    group.elect(0);
    records.assert_retained(&mut group, "leaders behind, ahead and right");
    records.assert_deleted(&mut group, 2 * ELECTION, "leaders behind, ahead and right");
}

/// Guards against changes of leader each of which takes a few seconds off the retention time.
#[test]
fn leaders_that_are_ahead_of_one_another_shorten_no_retention_together() {
    let mut group = settled_group();
    let records = Records::make(&mut group);
    let mut changes: i32 = 0;
    while group.elapsed() < records.made + RETENTION - Duration::from_secs(8) {
        let next = (group.leader().expect("a leader") + 1) % 3;
        changes += 1;
        group.set_wall_error(next, 4_000 * i64::from(changes));
        group.elect(next);
        let name = format!("busy-{changes}");
        run_turn(&mut group, start(&name, &name));
        group.advance(Duration::from_secs(3));
    }
    assert!(changes >= 10, "{changes} changes");
    records.assert_retained(&mut group, "leaders in turn");
    let unmeasured = changes.unsigned_abs() * BUSY_INTERVAL;
    records.assert_deleted(&mut group, unmeasured, "leaders in turn");
}

/// Guards against wall clocks that step by an hour, to and fro, while the group runs.
#[test]
fn wall_clocks_that_step_while_the_group_runs_shorten_no_retention() {
    let mut group = settled_group();
    let records = Records::make(&mut group);
    let mut steps: i64 = 0;
    while group.elapsed() < records.made + RETENTION - Duration::from_secs(15) {
        for store in 0..3 {
            let sign = if (steps + i64::try_from(store).unwrap()) % 2 == 0 { 1 } else { -1 };
            group.set_wall_error(store, sign * HOUR_MS);
        }
        let leader = group.leader().expect("a leader");
        group.restart_one((leader + 1) % 3, MOMENT);
        group.elect((leader + 1) % 3);
        let name = format!("busy-{steps}");
        run_turn(&mut group, start(&name, &name));
        group.advance(Duration::from_secs(3));
        steps += 1;
    }
    records.assert_retained(&mut group, "stepping wall clocks");
    let unmeasured = u32::try_from(steps).unwrap() * (BUSY_INTERVAL + Duration::from_secs(4));
    records.assert_deleted(&mut group, unmeasured, "stepping wall clocks");
}

/// Guards against a new leader that makes up at once for time that the leader before it did not
/// count: it has not applied that leader's last step, and measures from an older one.
#[test]
fn a_leader_that_has_not_applied_the_newest_step_shortens_no_retention() {
    let mut group = settled_group();
    group.advance(Duration::from_secs(20));
    // This store has not measured the time since the last step, and its wall clock does not tell it.
    group.set_wall_error(1, -HOUR_MS);
    group.restart_one(1, MOMENT);
    group.hold_applier(2);
    group.elect(1);
    let records = Records::make(&mut group);
    group.elect(2);
    group.release_applier(2);
    records.assert_retained(&mut group, "an unapplied step");
    records.assert_deleted(&mut group, 2 * ELECTION, "an unapplied step");
}

/// Guards against records that are kept for ever because each restart begins their time anew.
#[test]
fn repeated_restarts_of_all_stores_prolong_a_retention_only_by_the_time_that_is_not_measured() {
    let mut group = settled_group();
    let records = Records::make(&mut group);
    let down = Duration::from_secs(20);
    let mut unmeasured = Duration::ZERO;
    for restart in 0..6 {
        group.advance(IDLE_INTERVAL + BUSY_INTERVAL);
        let stopped = group.elapsed();
        group.restart_all(down, restart % 3);
        unmeasured += group.elapsed() - stopped + IDLE_INTERVAL;
    }
    records.assert_deleted(&mut group, unmeasured, "restarts in series");
}

/// Guards against a program that is deleted early without a word: the stores that know when it was
/// used count it.
#[test]
fn a_program_that_is_deleted_early_is_counted() {
    let mut group = settled_group();
    run_turn(&mut group, start("early", "early"));
    group.advance(Duration::from_secs(10));
    group.jump(RETENTION / 2);
    assert_eq!(group.deleted_early(), 0, "nothing is deleted yet");
    group.jump(2 * RETENTION);
    assert!(!is_retained(&mut group, "early"));
    assert_eq!(group.deleted_early(), 1, "by the store that led when it was used");
}
