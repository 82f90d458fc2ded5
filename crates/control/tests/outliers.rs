//! Back ends that fail more than the others of their service, by the word of all gateways.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hooklug_control::backends::{BackendList, OutlierJudge};
use hooklug_protocol::backends::{BackendOutcomes, ListedBackend};
use hooklug_types::{EngineId, ServiceName, ServiceVersion, ZoneName};

fn id(number: usize) -> EngineId {
    EngineId::new(format!("e{number}")).unwrap()
}

fn list(backends: usize) -> BackendList {
    BackendList::new((0..backends).map(|number| ListedBackend {
        id: id(number),
        service: ServiceName::new("pool").unwrap(),
        version: ServiceVersion::new("v1").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new("z1").unwrap(),
        slots: 8,
        draining: false,
        ejected: false,
    }))
}

fn told(number: usize, answered: u32, failed: u32) -> BackendOutcomes {
    BackendOutcomes { backend: id(number), answered, failed }
}

/// Each of these gateways saw one request fail at the first back end, and two answered at each.
fn report_of_many(judge: &mut OutlierJudge, gateways: usize, now: Instant) {
    for _ in 0..gateways {
        judge.note(&[told(0, 2, 1), told(1, 2, 0), told(2, 2, 0), told(3, 2, 0)], now);
    }
}

#[test]
fn what_no_gateway_could_tell_alone_all_of_them_tell_together() {
    let (now, list) = (Instant::now(), list(4));
    let mut judge = OutlierJudge::default();
    report_of_many(&mut judge, 1, now);
    assert_eq!(judge.judge(&list, now), BTreeSet::new());
    report_of_many(&mut judge, 4, now);
    assert_eq!(judge.judge(&list, now), BTreeSet::from([id(0)]));
}

#[test]
fn an_ejected_back_end_is_tried_again_and_left_alone_for_longer_each_time() {
    let (start, list) = (Instant::now(), list(4));
    let mut judge = OutlierJudge::default();
    let mut now = start;
    let mut times = Vec::new();
    for _ in 0..3 {
        report_of_many(&mut judge, 5, now);
        let ejected = now;
        while !judge.judge(&list, now).is_empty() {
            now += Duration::from_millis(100);
        }
        times.push(now - ejected);
    }
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}

#[test]
fn when_all_fail_alike_none_is_ejected() {
    let (now, list) = (Instant::now(), list(4));
    let mut judge = OutlierJudge::default();
    let failing: Vec<_> = (0..4).map(|number| told(number, 10, 6)).collect();
    judge.note(&failing, now);
    assert_eq!(judge.judge(&list, now), BTreeSet::new());
}

#[test]
fn most_back_ends_of_a_service_stay_whatever_is_told() {
    let (now, list) = (Instant::now(), list(10));
    let mut judge = OutlierJudge::default();
    let half: Vec<_> =
        (0..10).map(|number| told(number, 40, if number < 5 { 40 } else { 0 })).collect();
    for _ in 0..10 {
        judge.note(&half, now);
        assert!(judge.judge(&list, now).len() <= 3);
    }
}

#[test]
fn what_was_told_long_ago_counts_no_more() {
    let (start, list) = (Instant::now(), list(4));
    let mut judge = OutlierJudge::default();
    judge.note(&[told(0, 0, 5), told(1, 20, 0)], start);
    let later = start + Duration::from_secs(10);
    judge.note(&[told(0, 0, 1), told(1, 20, 0)], later);
    assert_eq!(judge.judge(&list, later), BTreeSet::new());
}
