//! Whatever happens to stores, nothing acknowledged is lost, and service is back about 12 s after
//! the machines return.
//!
//! Catches: an acknowledgement before a quorum's sync; a replay that loses or repeats records; a
//! store that wakes up and answers from a past state; a replacement that votes without the log;
//! elections that never settle after one-way cuts; a call that may not be repeated run anew after a
//! recovery.

use std::time::{Duration, Instant};

use crate::support::load::Load;
use crate::support::repair::{node_id, retire, wait_repaired};
use crate::support::{
    PATIENCE, RETURN_BOUND, control_topology, name, restart_all, start, start_alone,
    whole_state_answers,
};
use hooklug_fleet::{Fleet, ProcessKind, ProcessName, SeedChoice};

const SESSIONS: usize = 6;

/// Time after the return of a store with an empty disk in which all groups are whole again: the
/// shortest that the users' platforms give before the next disk may be lost.
pub(crate) const CATCH_UP_TIME: Duration = Duration::from_millis(4_200);

/// Starts stores again and checks the bound on the way back.
async fn machines_return(fleet: &Fleet, load: &Load, stores: &[ProcessName], word: &str) {
    let returned = Instant::now();
    let (started, answered) =
        tokio::join!(restart_all(fleet, stores), whole_state_answers(fleet, word));
    started.unwrap();
    answered.unwrap();
    let state = returned.elapsed();
    load.wait_rounds(fleet, 1).await;
    let service = returned.elapsed();
    println!("{word}: all shards after {state:?}, all sessions after {service:?}");
    assert!(service <= RETURN_BOUND, "{word}: service was back only after {service:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_a_majority_and_all_stores_lose_power_under_load() {
    let fleet = start(control_topology(3)).await;
    let load = Load::start(&fleet, SESSIONS).await;
    let stores = fleet.names(ProcessKind::Store);
    fleet.kill(stores[0]).unwrap();
    // One store less: the rest goes on without it.
    load.wait_rounds(&fleet, 3).await;
    machines_return(&fleet, &load, &stores[..1], "one").await;
    for (word, lost) in [("majority", 2), ("all", 3)] {
        stores[..lost].iter().for_each(|store| fleet.kill(*store).unwrap());
        machines_return(&fleet, &load, &stores[..lost], word).await;
    }
    println!("turns ended {:?}", load.ends());
    load.stop_and_read_back(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_freezes_and_wakes_and_links_fail_one_way() {
    /// How long the store is frozen (brief: twenty seconds).
    const FROZEN: std::time::Duration = std::time::Duration::from_secs(20);
    let fleet = start(control_topology(3)).await;
    let load = Load::start(&fleet, SESSIONS).await;
    let frozen = name("store:0");
    let until = Instant::now() + FROZEN;
    fleet.freeze(frozen).unwrap();
    load.wait_rounds(&fleet, 3).await;
    while Instant::now() < until {
        load.wait_rounds(&fleet, 1).await;
    }
    fleet.wake(frozen).unwrap();
    load.wait_rounds(&fleet, 3).await;
    fleet.wait_ready(frozen, PATIENCE).await.unwrap();

    // What the store sends is lost; then what it is sent; then both, so that it campaigns alone.
    let (one, two) = (name("store:1"), name("store:2"));
    for (cuts, both) in [
        ([(one, two), (one, frozen)], false),
        ([(two, one), (frozen, one)], false),
        ([(one, two), (one, frozen)], true),
    ] {
        for (from, to) in cuts {
            fleet.cut(from, to, !both).await.unwrap();
        }
        load.wait_rounds(&fleet, 3).await;
        fleet.heal().await.unwrap();
        load.wait_rounds(&fleet, 2).await;
    }
    println!("turns ended {:?}", load.ends());
    load.stop_and_read_back(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stores_are_replaced_at_new_and_at_the_same_addresses() {
    let fleet = start(control_topology(4)).await;
    let load = Load::start(&fleet, SESSIONS).await;
    let before = fleet.http_address(name("store:1")).unwrap();
    let lost = node_id(&fleet, name("store:1")).await.expect("in the view");
    fleet.replace(name("store:1")).await.unwrap();
    assert_ne!(before, fleet.http_address(name("store:1")).unwrap());
    fleet.wait_ready(name("store:1"), PATIENCE).await.unwrap();
    load.wait_rounds(&fleet, 2).await;
    // Before the next loss the groups have to be whole again: two of three disks at once are too
    // many.
    wait_repaired(&fleet, lost).await;
    let lost = node_id(&fleet, name("store:2")).await.expect("in the view");
    fleet.lose_disk(name("store:2")).await.unwrap();
    fleet.wait_ready(name("store:2"), PATIENCE).await.unwrap();
    load.wait_rounds(&fleet, 2).await;
    wait_repaired(&fleet, lost).await;
    load.wait_rounds(&fleet, 2).await;
    println!("turns ended {:?}", load.ends());
    // No engine, model server or quorum was touched: no turn had a reason to end before its end.
    assert_eq!(load.ends().keys().collect::<Vec<_>>(), ["finished"], "turns ended early");
    load.stop_and_read_back(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_is_retired_and_one_that_stays_is_killed_right_after() {
    let fleet = start(control_topology(4)).await;
    let load = Load::start(&fleet, SESSIONS).await;
    let (leaving, killed) = (name("store:3"), name("store:0"));
    let retired = node_id(&fleet, leaving).await.expect("in the view");
    retire(&fleet, retired).await;
    wait_repaired(&fleet, retired).await;
    fleet.kill(leaving).unwrap();
    load.wait_rounds(&fleet, 2).await;
    // Its replicas are whole: one of the three that stay may be lost at once.
    fleet.kill(killed).unwrap();
    load.wait_rounds(&fleet, 3).await;
    machines_return(&fleet, &load, &[killed], "retired").await;
    println!("turns ended {:?}", load.ends());
    load.stop_and_read_back(&fleet).await;
}

/// Guards against groups that stay a voter short beyond the time after which the next disk may be
/// lost: the store that came back empty asked itself and cores for the state, was registered
/// seconds late, and the next disk took the majority.
#[tokio::test(flavor = "multi_thread")]
async fn a_disk_lost_in_the_middle_of_a_retirement_is_made_up_for_before_the_next() {
    let mut topology = control_topology(4);
    topology.seeds = SeedChoice::Cores;
    let fleet = start_alone(topology).await;
    let load = Load::start(&fleet, SESSIONS).await;
    let retired = node_id(&fleet, name("store:3")).await.expect("in the view");
    let lost = node_id(&fleet, name("store:2")).await.expect("in the view");
    retire(&fleet, retired).await;
    let returned = Instant::now();
    fleet.lose_disk(name("store:2")).await.unwrap();
    wait_repaired(&fleet, lost).await;
    wait_repaired(&fleet, retired).await;
    let took = returned.elapsed();
    println!("all groups whole {took:?} after the return");
    assert!(took <= CATCH_UP_TIME, "whole only {took:?} after the return");
    fleet.kill(name("store:3")).unwrap();
    let lost = node_id(&fleet, name("store:1")).await.expect("in the view");
    fleet.lose_disk(name("store:1")).await.unwrap();
    load.wait_rounds(&fleet, 2).await;
    wait_repaired(&fleet, lost).await;
    load.stop_and_read_back(&fleet).await;
}

/// Pause until a lost machine's successor starts.
const SUCCESSOR_PAUSE: Duration = Duration::from_secs(1);

/// Guards against the places of a machine that is gone for good staying empty until nine seconds
/// after it went: its successor at another address was there, and the next disk may be lost once
/// that has had its time to catch up.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_replaced_at_another_address_is_made_up_for_before_the_next_disk_is_lost() {
    let mut topology = control_topology(4);
    topology.seeds = SeedChoice::Cores;
    let fleet = start_alone(topology).await;
    let load = Load::start(&fleet, SESSIONS).await;
    let lost = node_id(&fleet, name("store:2")).await.expect("in the view");
    fleet.kill(name("store:2")).unwrap();
    tokio::time::sleep(SUCCESSOR_PAUSE).await;
    let returned = Instant::now();
    fleet.replace(name("store:2")).await.unwrap();
    wait_repaired(&fleet, lost).await;
    let took = returned.elapsed();
    println!("all groups whole {took:?} after the successor's start");
    assert!(took <= CATCH_UP_TIME, "whole only {took:?} after the successor's start");
    load.wait_rounds(&fleet, 1).await;
    load.stop_and_read_back(&fleet).await;
}
