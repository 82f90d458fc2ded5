//! Versions on trial: which of their backends receive requests, and the times by which they are
//! compared with others.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hooklug_control::backends::BackendList;
use hooklug_ingress::backends::{BackendTable, RequestKind, SelectionCriteria};
use hooklug_ingress::stream_times::StreamTimes;
use hooklug_ingress::versions::AllowedVersions;
use hooklug_protocol::backends::ListedBackend;
use hooklug_types::{EngineId, ServiceName, ServiceVersion, ZoneName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 3;
const BACKENDS: usize = 24;

fn service() -> ServiceName {
    ServiceName::new("pool").unwrap()
}

fn target() -> ServiceVersion {
    ServiceVersion::new("v2").unwrap()
}

fn listed(number: usize) -> ListedBackend {
    ListedBackend {
        id: EngineId::new(format!("e{number}")).unwrap(),
        service: service(),
        version: target(),
        address: format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
        zone: ZoneName::new("z1").unwrap(),
        slots: 100,
        draining: false,
    }
}

/// The backends that gateways choose for a hundred requests each.
fn chosen(
    gateways: &[&str],
    versions: &AllowedVersions,
    kind: RequestKind<'_>,
) -> BTreeSet<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut chosen = BTreeSet::new();
    for gateway in gateways {
        let table = Arc::new(BackendTable::new((*gateway).to_owned()));
        table.apply_list(&BackendList::new((0..BACKENDS).map(listed)));
        let service = service();
        let criteria = SelectionCriteria { service: &service, versions, tried: &[], kind };
        for _ in 0..100 {
            let reservation = table.pick(&criteria, &mut rng).expect("a backend");
            chosen.insert(reservation.picked.id.to_string());
        }
    }
    chosen
}

/// Guards against harm that shows only under load and is found after most requests have met it: in the
/// load step, the target's calls go to as few backends as will serve that share later.
#[test]
fn all_gateways_send_the_calls_of_a_load_step_to_the_same_few_backends() {
    let versions = AllowedVersions::Trial(target(), 100);
    let both = chosen(&["one", "other"], &versions, RequestKind::Call);
    assert_eq!(both.len(), 2, "a tenth of {BACKENDS}: {both:?}");
    for versions in [AllowedVersions::Trial(target(), 99), AllowedVersions::Only(target())] {
        let both = chosen(&["one", "other"], &versions, RequestKind::Call);
        assert!(both.len() > BACKENDS / 2, "{versions:?}: {both:?}");
    }
}

/// Guards against a sound version that fails its trial because one model engine, which has no prompt
/// cached yet, gets the prompts of all.
#[test]
fn the_prompts_of_a_load_step_go_to_all_engines() {
    let versions = AllowedVersions::Trial(target(), 100);
    let chosen = chosen(&["one"], &versions, RequestKind::Prompt(&[]));
    assert!(chosen.len() > BACKENDS / 2, "{chosen:?}");
}

/// Guards against a sound version that is taken for a slow one because its engines have no prompts
/// cached, so that the first event comes late.
#[test]
fn streams_are_compared_by_the_time_between_events() {
    let millis = Duration::from_millis;
    let mut cached = StreamTimes::default();
    let mut uncached = StreamTimes::default();
    for event in 0..5 {
        cached.record(1, millis(30 + 10 * event));
        uncached.record(1, millis(900 + 10 * event));
    }
    assert_eq!(cached.between_events(), Some(millis(10)));
    assert_eq!(uncached.between_events(), cached.between_events());
    assert_eq!(uncached.first(), Some(millis(900)));
    let mut in_two_chunks = StreamTimes::default();
    in_two_chunks.record(3, millis(40));
    in_two_chunks.record(2, millis(80));
    assert_eq!(in_two_chunks.between_events(), Some(millis(10)));
    let mut single = StreamTimes::default();
    single.record(1, millis(40));
    assert_eq!((single.between_events(), single.first()), (None, Some(millis(40))));
}
