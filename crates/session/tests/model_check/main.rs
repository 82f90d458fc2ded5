//! Exhaustive model check of small scenarios: session loops, the shard's state machine, two engines
//! and two gateways, with messages that are lost, delayed, duplicated or reordered.
//!
//! Every reachable state is visited once. Invariants checked at every step: an event reaches a
//! caller only if it is committed with the same content, and for the first time only from the
//! session's owner; no caller misses an event of its turn or receives one twice or out of order; no
//! program exceeds its budget; no caller is wrongly refused with "budget spent", "no such turn" or
//! the like. Checked at the end: from every state, the callers can still complete all their steps.

mod actions;
mod caller;
mod checks;
mod effects;
mod engines;
mod explore;
mod network;
mod scenario;
mod world;

use explore::explore;
use scenario::{Rules, Scenario, Step};

/// Maximum number of states of a scenario; the search of a larger one is incomplete and fails the
/// test.
const MAX_STATES: usize = 1_500_000;

fn check(name: &str, scenario: &Scenario) {
    let result = explore(scenario, MAX_STATES);
    println!("{name}: {} states, {} transitions", result.states, result.transitions);
    if let Some(violation) = result.violation {
        panic!("{name}: {violation}");
    }
    assert!(result.complete, "{name}: the search is incomplete");
    assert!(result.finished > 0, "{name}: no caller ever finishes");
}

fn check_reports_violation(name: &str, scenario: &Scenario, expected: &str) {
    let result = explore(scenario, MAX_STATES);
    let violation = result.violation.expect("the broken rule is reported");
    println!("{name}: reported after {} states: {violation}", result.states);
    assert!(violation.description.contains(expected), "{name}: {violation}");
}

fn turns(names: &[&'static str]) -> Vec<Step> {
    names.iter().map(|name| Step::Turn(name)).collect()
}

#[test]
fn a_takeover_with_a_fault() {
    check(
        "takeover",
        &Scenario {
            callers: vec![("s1", turns(&["t1", "t2"]))],
            lease_expiries: 1,
            faults: 1,
            budget: 3,
            ..Scenario::default()
        },
    );
}

#[test]
fn two_gateways_send_the_same_turn() {
    let callers = vec![("s1", turns(&["t1"])), ("s1", turns(&["t1"]))];
    check(
        "resend",
        &Scenario { callers, lease_expiries: 1, faults: 1, tokens: 1, ..Scenario::default() },
    );
}

#[test]
fn a_hand_over_with_two_faults() {
    let callers = vec![("s1", turns(&["t1", "t2"]))];
    check(
        "hand-over",
        &Scenario { callers, hand_overs: 1, faults: 2, tokens: 1, ..Scenario::default() },
    );
}

#[test]
fn two_sessions_share_a_budget() {
    let callers = vec![("s1", turns(&["t1"])), ("s2", turns(&["t1"]))];
    check("budget", &Scenario { callers, lease_expiries: 1, budget: 3, ..Scenario::default() });
}

#[test]
fn tool_results_between_and_in_turns() {
    let callers = vec![("s1", turns(&["t1"])), ("s1", vec![Step::Tool("c1")])];
    check(
        "tool results",
        &Scenario { callers, lease_expiries: 1, faults: 1, tokens: 1, ..Scenario::default() },
    );
}

#[test]
fn an_abort_from_another_gateway() {
    let callers = vec![("s1", turns(&["t1"])), ("s1", vec![Step::Abort("t1")])];
    check("abort", &Scenario { callers, hand_overs: 1, faults: 1, ..Scenario::default() });
}

#[test]
fn a_joined_client_sees_the_common_stream() {
    let callers = vec![("s1", turns(&["t1"])), ("s1", vec![Step::Join("t1")])];
    check(
        "join",
        &Scenario { callers, lease_expiries: 1, faults: 1, tokens: 1, ..Scenario::default() },
    );
}

#[test]
fn the_model_checker_detects_events_released_before_commit() {
    let rules = Rules { release_before_commit: true, ..Rules::default() };
    let callers = vec![("s1", turns(&["t1"]))];
    check_reports_violation(
        "release before commit",
        &Scenario { callers, rules, ..Scenario::default() },
        "not committed",
    );
}

#[test]
fn the_model_checker_detects_a_takeover_without_lease_expiry() {
    let rules = Rules { take_without_expiry: true, ..Rules::default() };
    let callers = vec![("s1", turns(&["t1", "t2"]))];
    let scenario = Scenario { callers, rules, faults: 1, ..Scenario::default() };
    check_reports_violation("take without expiry", &scenario, "not the owner");
}

#[test]
fn the_model_checker_detects_a_renumbered_commit_retry() {
    let rules = Rules { renumber_repeats: true, ..Rules::default() };
    let callers = vec![("s1", turns(&["t1"]))];
    let scenario = Scenario { callers, rules, faults: 1, ..Scenario::default() };
    check_reports_violation(
        "append anew after a lost reply",
        &scenario,
        "as the model generated it",
    );
}
