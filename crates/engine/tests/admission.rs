//! Admission control: queue order, windows and load shedding, with simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_bundle::model::{Service, ServiceKind, VersionEntry, VersionState, Window};
use hooklug_engine::admission::{
    Admission, AdmissionLimits, AdmissionRequest, Decision, Outcome, ReservedSpan, Ticket,
    reserved_spans,
};
use hooklug_types::{BundleVersion, UnixMillis, WindowGroup};
use proptest::prelude::*;

const START: UnixMillis = UnixMillis(1_000_000);

fn at(ms: u64) -> UnixMillis {
    UnixMillis(START.0 + ms)
}

fn request(tenant: &str, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        tenant: tenant.parse().unwrap(),
        group: None,
        urgent: false,
        deadline: at(deadline_ms),
    }
}

fn member(tenant: &str, group: &str, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest { group: Some(group.parse().unwrap()), ..request(tenant, deadline_ms) }
}

fn span(group: &str, start: u64, end: u64, slots: u32) -> ReservedSpan {
    ReservedSpan { start: at(start), end: at(end), group: group.parse().unwrap(), slots }
}

fn admission(slots: u32, queue: u32, spans: Vec<ReservedSpan>) -> Admission {
    Admission::new(AdmissionLimits { slots, queue, spans })
}

fn granted(decisions: &[Decision]) -> Vec<u64> {
    decisions.iter().filter(|d| d.outcome == Outcome::Granted).map(|d| d.ticket.0).collect()
}

#[test]
fn free_slots_are_granted_by_earliest_deadline() {
    let mut admission = admission(2, 10, Vec::new());
    assert_eq!(granted(&admission.request(Ticket(1), request("a", 90_000), at(0))), [1]);
    assert_eq!(granted(&admission.request(Ticket(2), request("b", 90_000), at(0))), [2]);
    assert!(admission.request(Ticket(3), request("a", 50_000), at(0)).is_empty());
    assert!(admission.request(Ticket(4), request("a", 40_000), at(0)).is_empty());
    assert_eq!(admission.load(), (2, 2));
    assert_eq!(granted(&admission.release(Ticket(1), at(10))), [4]);
    assert_eq!(granted(&admission.release(Ticket(4), at(20))), [3]);
}

#[test]
fn a_tenant_with_fewer_running_turns_comes_first() {
    let mut admission = admission(3, 10, Vec::new());
    for ticket in 1..=3 {
        admission.request(Ticket(ticket), request("many", 90_000), at(0));
    }
    admission.request(Ticket(4), request("many", 20_000), at(0));
    admission.request(Ticket(5), request("few", 80_000), at(0));
    assert_eq!(granted(&admission.release(Ticket(1), at(10))), [5]);
}

#[test]
fn a_full_queue_sheds_a_turn_of_the_tenant_with_the_most_waiting() {
    let mut admission = admission(1, 2, Vec::new());
    admission.request(Ticket(1), request("a", 90_000), at(0));
    admission.request(Ticket(2), request("crowd", 80_000), at(0));
    admission.request(Ticket(3), request("crowd", 85_000), at(0));
    let decisions = admission.request(Ticket(4), request("other", 90_000), at(0));
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].ticket, Ticket(3));
    let Outcome::Overloaded { retry_after } = decisions[0].outcome else { panic!("{decisions:?}") };
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn a_turn_that_cannot_meet_its_deadline_is_refused_early() {
    let mut admission = admission(1, 10, Vec::new());
    // The first turn sets the average duration to ten seconds.
    admission.request(Ticket(1), request("a", 90_000), at(0));
    admission.release(Ticket(1), at(10_000));
    admission.request(Ticket(2), request("a", 90_000), at(10_000));
    assert!(admission.request(Ticket(3), request("a", 20_000), at(10_000)).is_empty());
    let due = admission.next_update(at(10_000)).unwrap();
    assert!(due < at(20_000), "before its deadline");
    let shed = admission.update(due);
    assert!(matches!(
        shed[..],
        [Decision { ticket: Ticket(3), outcome: Outcome::Overloaded { .. } }]
    ));
    // A turn with less than half of the average duration left is refused at once.
    let too_short = admission.request(Ticket(4), request("a", 11_000), at(10_100));
    assert!(matches!(
        too_short[..],
        [Decision { ticket: Ticket(4), outcome: Outcome::Overloaded { .. } }]
    ));
    let late = admission.request(Ticket(5), request("a", 10_000), at(10_100));
    assert!(matches!(late[..], [Decision { outcome: Outcome::DeadlineExceeded, .. }]));
    // A free slot is granted even to a turn shorter than the average, so that the average can fall.
    admission.release(Ticket(2), at(20_000));
    assert_eq!(granted(&admission.request(Ticket(6), request("a", 21_000), at(20_000))), [6]);
}

#[test]
fn urgent_turns_have_a_reserve_and_come_first() {
    let mut admission = admission(8, 10, Vec::new());
    for ticket in 1..=8 {
        admission.request(Ticket(ticket), request("a", 90_000), at(0));
    }
    assert_eq!(admission.load(), (7, 1), "one slot is reserved for urgent turns");
    let urgent = AdmissionRequest { urgent: true, ..request("a", 90_000) };
    assert_eq!(granted(&admission.request(Ticket(9), urgent.clone(), at(0))), [9]);
    admission.request(Ticket(10), urgent, at(0));
    assert_eq!(granted(&admission.release(Ticket(1), at(10))), [10]);
}

#[test]
fn members_get_the_reserved_slots_of_an_open_window() {
    let mut admission = admission(4, 10, vec![span("frost", 0, 60_000, 2)]);
    assert_eq!(granted(&admission.request(Ticket(1), request("a", 30_000), at(0))), [1]);
    assert_eq!(granted(&admission.request(Ticket(2), request("a", 30_000), at(0))), [2]);
    assert!(admission.request(Ticket(3), request("a", 30_000), at(0)).is_empty());
    assert_eq!(granted(&admission.request(Ticket(4), member("b", "frost", 30_000), at(0))), [4]);
    assert_eq!(granted(&admission.request(Ticket(5), member("b", "frost", 30_000), at(0))), [5]);
    // Beyond its reservation the group competes with all other turns.
    assert!(admission.request(Ticket(6), member("b", "frost", 30_000), at(0)).is_empty());
    assert_eq!(granted(&admission.release(Ticket(1), at(10))), [3]);
}

#[test]
fn slots_of_an_upcoming_window_are_lent_only_to_turns_ending_before_it() {
    let mut admission = admission(2, 10, vec![span("frost", 60_000, 90_000, 2)]);
    assert_eq!(granted(&admission.request(Ticket(1), request("a", 60_000), at(0))), [1]);
    assert!(admission.request(Ticket(2), request("a", 60_001), at(0)).is_empty());
    assert_eq!(granted(&admission.request(Ticket(3), request("a", 59_000), at(0))), [3]);
    let opened = at(60_000);
    admission.release(Ticket(1), opened);
    admission.release(Ticket(3), opened);
    let members = [Ticket(4), Ticket(5)];
    for ticket in members {
        assert_eq!(
            granted(&admission.request(ticket, member("b", "frost", 80_000), opened)),
            [ticket.0]
        );
    }
}

#[test]
fn overlapping_windows_add_up() {
    let spans = vec![
        span("frost", 0, 50_000, 1),
        span("frost", 0, 90_000, 1),
        span("sowing", 0, 90_000, 1),
    ];
    let mut admission = admission(4, 10, spans);
    assert_eq!(granted(&admission.request(Ticket(1), request("a", 30_000), at(0))), [1]);
    assert!(admission.request(Ticket(2), request("a", 30_000), at(0)).is_empty());
    for (ticket, group) in [(3, "frost"), (4, "frost"), (5, "sowing")] {
        let decisions = admission.request(Ticket(ticket), member("b", group, 30_000), at(0));
        assert_eq!(granted(&decisions), [ticket]);
    }
}

fn bundle(service_slots: u32, window_slots: u32) -> Bundle {
    let service = Service {
        kind: ServiceKind::Model,
        model: None,
        versions: vec![VersionEntry { version: "v1".parse().unwrap(), state: VersionState::Sound }],
        slots: service_slots,
        concurrency_per_engine: 64,
        queue_per_engine: 256,
        steps: vec![100],
        step_seconds: 1,
        harm: hooklug_bundle::model::HarmThresholds::default(),
    };
    let window = Window {
        start: at(0),
        end: at(60_000),
        group: "frost".parse().unwrap(),
        service: "advisor".parse().unwrap(),
        slots: window_slots,
    };
    Bundle {
        version: BundleVersion(1),
        services: [("advisor".parse().unwrap(), service)].into(),
        windows: [("night".parse().unwrap(), window)].into(),
        ..Bundle::default()
    }
}

proptest! {
    /// However the service's slots are distributed over engines, the engines together reserve at
    /// least the window's slots, and no engine reserves more than it has.
    #[test]
    fn window_shares_of_all_engines_cover_the_reservation(
        engines in proptest::collection::vec(1_u32..40, 1..12),
        part in 0.0_f64..1.0,
    ) {
        let all: u32 = engines.iter().sum();
        let window = (f64::from(all) * part) as u32;
        let bundle = bundle(all, window);
        let service = "advisor".parse().unwrap();
        let mut kept = 0;
        for slots in &engines {
            let own = reserved_spans(&bundle, &service, *slots)[0].slots;
            prop_assert!(own <= *slots);
            kept += own;
        }
        prop_assert!(kept >= window);
        prop_assert!(kept < window + engines.len() as u32);
    }

    /// For any sequence of requests, there are never more running turns than slots, each request is
    /// decided at most once, and the unused reserved slots of an open window are not given to others.
    #[test]
    fn slots_and_reservations_are_never_overcommitted(
        steps in proptest::collection::vec((0_u8..10, 0_u64..4, 1_u64..40_000, 0_u64..2_000), 1..200),
    ) {
        let (slots, kept) = (8, 3);
        let mut admission = admission(slots, 5, vec![span("frost", 20_000, 10_000_000, kept)]);
        let mut now = 0;
        let mut running: BTreeMap<Ticket, bool> = BTreeMap::new();
        let mut requests: BTreeMap<Ticket, bool> = BTreeMap::new();
        let mut decided: BTreeSet<Ticket> = BTreeSet::new();
        for (number, (kind, tenant, time_left, pause)) in steps.into_iter().enumerate() {
            now += pause;
            let ticket = Ticket(number as u64);
            let decisions = if kind < 6 {
                let is_member = kind < 2;
                requests.insert(ticket, is_member);
                let tenant = format!("tenant-{tenant}");
                let request = if is_member {
                    member(&tenant, "frost", now + time_left)
                } else {
                    request(&tenant, now + time_left)
                };
                admission.request(ticket, request, at(now))
            } else if let Some(first) = running.keys().next().copied() {
                running.remove(&first);
                admission.release(first, at(now))
            } else {
                admission.update(at(now))
            };
            for decision in decisions {
                prop_assert!(decided.insert(decision.ticket), "decided twice: {decision:?}");
                if decision.outcome == Outcome::Granted {
                    running.insert(decision.ticket, requests[&decision.ticket]);
                    let others = running.values().filter(|member| !**member).count() as u32;
                    // Turns may run past their deadline in this test, so only new grants are checked.
                    if now >= 20_000 && !requests[&decision.ticket] {
                        prop_assert!(others + kept <= slots);
                    }
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(admission.load().0 as usize, running.len());
        }
    }
}

#[test]
fn slot_uses_list_groups_with_reserved_slots_or_running_turns() {
    let mut admission =
        admission(8, 8, vec![span("frost", 0, 10_000, 3), span("idle", 0, 5_000, 1)]);
    let turns = [member("a", "frost", 60_000), request("b", 60_000)];
    for (ticket, turn) in (1..).zip(turns) {
        admission.request(Ticket(ticket), turn, at(1_000));
    }
    let uses_at = |now| {
        let usage = admission.usage(at(now)).into_iter();
        let group = |group: Option<WindowGroup>| group.map(|g| g.to_string());
        usage.map(|u| (group(u.group), u.reserved, u.running)).collect::<Vec<_>>()
    };
    let (frost, idle) = (Some("frost".to_owned()), Some("idle".to_owned()));
    assert_eq!(uses_at(1_000), [(None, 0, 1), (frost.clone(), 3, 1), (idle, 1, 0)]);
    assert_eq!(uses_at(20_000), [(None, 0, 1), (frost, 0, 1)], "the windows have closed");
}
