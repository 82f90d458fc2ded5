//! The meta group: refusals, resends, bundles, rollbacks, and agreement of replicas.

use std::collections::BTreeMap;

use hooklug_bundle::{Bundle, Service, ServiceKind, Tenant, VersionEntry, VersionState};
use hooklug_state::meta::{
    BundleContent, BundleRecord, CoreLeader, GroupPlacement, HarmReport, MetaAnswer, MetaCommand,
    MetaMachine, MetaQuery, MetaRefusal, MetaReply, MetaState, RETAINED_VERSIONS, StoreRecord,
    StoreState, SubmitBundle,
};
use hooklug_state::{StateMachine, encode};
use hooklug_types::{
    BundleVersion, FencingEpoch, GroupId, Incarnation, NodeId, Renewal, ServiceName,
    ServiceVersion, TenantId, ZoneName,
};
use proptest::prelude::*;

const CLUSTER: u64 = 77;

fn store(node: u64, incarnation: u64) -> StoreRecord {
    StoreRecord {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        address: format!("127.0.0.{node}:7000").parse().unwrap(),
        zone: ZoneName::new("z1").unwrap(),
        state: StoreState::Active,
    }
}

fn placement(voters: &[u64]) -> GroupPlacement {
    GroupPlacement { voters: voters.iter().copied().map(NodeId).collect(), learners: vec![] }
}

fn form(cluster: u64) -> MetaCommand {
    let placements = vec![(GroupId(1), placement(&[1, 2, 3]))];
    MetaCommand::Form { cluster, stores: vec![store(3, 1), store(1, 1), store(2, 1)], placements }
}

fn acquire(core: u64, seen: u64) -> MetaCommand {
    MetaCommand::AcquireLeadership {
        core: NodeId(core),
        incarnation: Incarnation(1),
        address: "127.0.0.9:7000".parse().unwrap(),
        seen: FencingEpoch(seen),
    }
}

fn expire(epoch: u64, renewal: u64) -> MetaCommand {
    MetaCommand::ExpireLeadership { epoch: FencingEpoch(epoch), renewal: Renewal(renewal) }
}

fn set_state(epoch: u64, node: u64, state: StoreState) -> MetaCommand {
    MetaCommand::SetStoreState { epoch: FencingEpoch(epoch), node: NodeId(node), state }
}

fn set_placement(epoch: u64, expected: &[u64], placed: &[u64]) -> MetaCommand {
    MetaCommand::SetPlacement {
        epoch: FencingEpoch(epoch),
        group: GroupId(1),
        expected: placement(expected),
        placement: placement(placed),
    }
}

fn service(versions: &[&str]) -> Service {
    let versions = versions
        .iter()
        .map(|v| VersionEntry {
            version: ServiceVersion::new(v).unwrap(),
            state: VersionState::Sound,
        })
        .collect();
    Service {
        kind: ServiceKind::Application,
        model: None,
        versions,
        slots: 8,
        concurrency_per_engine: 64,
        queue_per_engine: 256,
        steps: vec![5, 100],
        step_seconds: 5,
        harm: Default::default(),
    }
}

fn bundle(version: u64, base: u64, tenants: usize) -> Bundle {
    let entry = |n: usize| {
        let tenant = Tenant { key_digests: vec![], group: None, limits: Default::default() };
        (TenantId::new(format!("tenant-{n}")).unwrap(), tenant)
    };
    Bundle {
        version: BundleVersion(version),
        base: BundleVersion(base),
        services: BTreeMap::from([(name(), service(&["v1", "v2"]))]),
        tenants: (0..tenants).map(entry).collect(),
        ..Bundle::default()
    }
}

fn name() -> ServiceName {
    ServiceName::new("alarms").unwrap()
}

fn submit(bundle: &Bundle) -> MetaCommand {
    MetaCommand::SubmitBundle(SubmitBundle {
        version: bundle.version,
        base: bundle.base,
        content: BundleContent::Full(serde_json::to_vec(bundle).unwrap()),
        signed_by: vec![],
    })
}

fn roll_back(epoch: u64, version: &str) -> MetaCommand {
    let harm = HarmReport {
        service: name(),
        version: ServiceVersion::new(version).unwrap(),
        route: None,
        reason: "fails".to_owned(),
    };
    MetaCommand::RollBack { epoch: FencingEpoch(epoch), harm }
}

/// Returns a formed cluster in which core 9 leads under epoch 1.
fn with_leader() -> MetaMachine {
    let mut meta = MetaMachine::new();
    meta.apply_command(form(CLUSTER));
    meta.apply_command(acquire(9, 0));
    meta
}

fn state(meta: &MetaMachine) -> MetaState {
    match meta.answer(&MetaQuery::State) {
        MetaAnswer::State(state) => *state,
        other => panic!("{other:?}"),
    }
}

fn apply_refused(meta: &mut MetaMachine, command: MetaCommand) -> MetaRefusal {
    let before = state(meta);
    let shown = format!("{command:?}");
    let reply = meta.apply_command(command);
    assert_eq!(before, state(meta), "a refusal changed the state");
    match reply {
        MetaReply::Refused(refusal) => refusal,
        other => panic!("{shown}: {other:?}"),
    }
}

fn apply_twice(meta: &mut MetaMachine, command: MetaCommand) -> MetaReply {
    let first = meta.apply_command(command.clone());
    assert!(!matches!(first, MetaReply::Refused(_)), "{first:?}");
    let before = meta.digest();
    assert_eq!(first, meta.apply_command(command), "a resend got another reply");
    assert_eq!(before, meta.digest(), "a resend changed the state");
    first
}

fn record(reply: MetaReply) -> BundleRecord {
    match reply {
        MetaReply::Bundle(record) => record,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_cluster_is_formed_once() {
    let mut meta = MetaMachine::new();
    let early = [MetaCommand::RegisterStore(store(4, 1)), acquire(9, 0), submit(&bundle(1, 0, 0))];
    for command in early {
        assert_eq!(apply_refused(&mut meta, command), MetaRefusal::NotFormed);
    }
    apply_twice(&mut meta, form(CLUSTER));
    assert_eq!(apply_refused(&mut meta, form(78)), MetaRefusal::AlreadyFormed { cluster: CLUSTER });
    assert!(state(&meta).stores.iter().map(|s| s.node.0).eq([1, 2, 3]));
}

#[test]
fn a_removed_store_cannot_register_again() {
    let mut meta = with_leader();
    let registration = StoreRecord { state: StoreState::Removed, ..store(4, 5) };
    apply_twice(&mut meta, MetaCommand::RegisterStore(registration));
    assert_eq!(state(&meta).stores[3].state, StoreState::Active);
    meta.apply_command(MetaCommand::RegisterStore(store(4, 4)));
    assert_eq!(
        state(&meta).stores[3].incarnation,
        Incarnation(5),
        "a late registration of an older run"
    );
    apply_twice(&mut meta, set_state(1, 4, StoreState::Removed));
    let back = MetaCommand::RegisterStore(store(4, 6));
    assert_eq!(apply_refused(&mut meta, back), MetaRefusal::NoStore);
    for command in [set_state(1, 4, StoreState::Active), set_state(1, 8, StoreState::Active)] {
        assert_eq!(apply_refused(&mut meta, command), MetaRefusal::NoStore);
    }
}

#[test]
fn a_placement_change_requires_the_expected_placement() {
    let mut meta = with_leader();
    apply_twice(&mut meta, set_placement(1, &[1, 2, 3], &[1, 2, 4]));
    let late = set_placement(1, &[1, 2, 3], &[1, 3, 4]);
    assert_eq!(apply_refused(&mut meta, late), MetaRefusal::PlacementChanged);
}

#[test]
fn one_core_leads_and_a_former_one_is_fenced() {
    let mut meta = with_leader();
    let MetaReply::Leader(leader) = apply_twice(&mut meta, acquire(9, 0)) else { panic!() };
    assert_eq!((leader.core, leader.epoch), (NodeId(9), FencingEpoch(1)));
    let renew = |epoch| MetaCommand::RenewLeadership { epoch: FencingEpoch(epoch) };
    meta.apply_command(renew(1));
    let alive = CoreLeader { renewal: Renewal(1), ..leader };
    assert_eq!(apply_refused(&mut meta, acquire(8, 1)), MetaRefusal::LeaderAlive { leader: alive });
    assert_eq!(apply_refused(&mut meta, expire(1, 0)), MetaRefusal::Renewed);
    apply_twice(&mut meta, expire(1, 1));
    let stale = |current| MetaRefusal::StaleFencing { current: FencingEpoch(current) };
    assert_eq!(apply_refused(&mut meta, renew(1)), stale(1), "expiry is permanent");
    assert_eq!(apply_refused(&mut meta, acquire(8, 0)), stale(1));
    apply_twice(&mut meta, acquire(8, 1));
    meta.apply_command(submit(&bundle(1, 0, 0)));
    let late = [
        renew(1),
        expire(1, 1),
        set_state(1, 1, StoreState::Retiring),
        set_placement(1, &[1, 2, 3], &[1, 2, 4]),
        roll_back(1, "v2"),
    ];
    for command in late {
        assert_eq!(apply_refused(&mut meta, command), stale(2));
    }
}

#[test]
fn only_one_of_two_racing_bundles_commits_and_resending_it_is_idempotent() {
    let mut meta = with_leader();
    let first = record(apply_twice(&mut meta, submit(&bundle(1, 0, 3))));
    let other = submit(&bundle(1, 0, 4));
    let taken = MetaRefusal::VersionTaken { version: BundleVersion(1), digest: first.digest };
    assert_eq!(apply_refused(&mut meta, other), taken);
    let stale = MetaRefusal::StaleBase { newest: BundleVersion(1) };
    assert_eq!(apply_refused(&mut meta, submit(&bundle(2, 0, 3))), stale);
    apply_twice(&mut meta, submit(&bundle(5, 1, 3)));
    assert_eq!(record(meta.apply_command(submit(&bundle(1, 0, 3)))), first);
}

#[test]
fn invalid_bundles_are_refused() {
    let mut meta = with_leader();
    let good = bundle(1, 0, 1);
    let with = |version, base, bytes| {
        let (version, base) = (BundleVersion(version), BundleVersion(base));
        MetaCommand::SubmitBundle(SubmitBundle {
            version,
            base,
            content: BundleContent::Full(bytes),
            signed_by: vec![],
        })
    };
    let bytes = serde_json::to_vec(&good).unwrap();
    let pretty = serde_json::to_vec_pretty(&good).unwrap();
    for command in [
        with(0, 0, bytes.clone()),
        with(2, 0, bytes.clone()),
        with(1, 0, pretty),
        with(1, 0, bytes[1..].to_vec()),
    ] {
        assert!(matches!(apply_refused(&mut meta, command), MetaRefusal::InvalidBundle { .. }));
    }
}

#[test]
fn bundles_are_readable_in_full_and_by_section() {
    let mut meta = with_leader();
    let (one, two) = (bundle(1, 0, 40), bundle(2, 1, 41));
    let first = record(meta.apply_command(submit(&one)));
    let second = record(meta.apply_command(submit(&two)));
    let read = |version| match meta.answer(&MetaQuery::BundleBytes(version)) {
        MetaAnswer::BundleBytes(found) => found.unwrap(),
        other => panic!("{other:?}"),
    };
    assert_eq!(read(Some(BundleVersion(1))), (first.clone(), serde_json::to_vec(&one).unwrap()));
    assert_eq!(read(None), (second.clone(), serde_json::to_vec(&two).unwrap()));
    let changed = second.sections.iter().filter(|(name, d)| first.sections.get(*name) != Some(d));
    let changed: Vec<_> = changed.collect();
    assert_eq!(changed.len(), 1, "one more tenant changes one section");
    let MetaAnswer::Section(Some(_)) = meta.answer(&MetaQuery::Section(*changed[0].1)) else {
        panic!("a section is missing")
    };
}

#[test]
fn old_bundles_are_dropped_and_shared_sections_stay() {
    let mut meta = with_leader();
    let surplus = 3;
    let tenants = |version: u64| (version % 40) as usize;
    for version in 1..=(RETAINED_VERSIONS as u64 + surplus) {
        let added = meta.apply_command(submit(&bundle(version, version - 1, tenants(version))));
        assert!(matches!(added, MetaReply::Bundle(_)));
    }
    let read = |version| meta.answer(&MetaQuery::BundleBytes(Some(BundleVersion(version))));
    assert_eq!(read(surplus), MetaAnswer::BundleBytes(None));
    let MetaAnswer::BundleBytes(Some((_, bytes))) = read(surplus + 1) else { panic!() };
    let kept = bundle(surplus + 1, surplus, tenants(surplus + 1));
    assert_eq!(bytes, serde_json::to_vec(&kept).unwrap());
    let MetaAnswer::History(records) = meta.answer(&MetaQuery::History(u32::MAX)) else { panic!() };
    assert_eq!(records.len(), RETAINED_VERSIONS);
}

#[test]
fn a_rollback_creates_one_new_bundle() {
    let mut meta = with_leader();
    assert!(matches!(
        apply_refused(&mut meta, roll_back(1, "v2")),
        MetaRefusal::NothingToRollBack { .. }
    ));
    meta.apply_command(submit(&bundle(4, 0, 2)));
    let rolled = record(apply_twice(&mut meta, roll_back(1, "v2")));
    assert_eq!((rolled.version, rolled.base), (BundleVersion(5), BundleVersion(4)));
    let MetaAnswer::BundleBytes(Some((_, bytes))) = meta.answer(&MetaQuery::BundleBytes(None))
    else {
        panic!()
    };
    let read: Bundle = serde_json::from_slice(&bytes).unwrap();
    assert!(!read.services[&name()].is_sound(&ServiceVersion::new("v2").unwrap()));
    assert_eq!(state(&meta).rollbacks.len(), 1);
    for version in ["v1", "v9"] {
        let refusal = apply_refused(&mut meta, roll_back(1, version));
        assert!(matches!(refusal, MetaRefusal::NothingToRollBack { .. }), "{version}");
    }
}

fn commands() -> impl Strategy<Value = MetaCommand> {
    prop_oneof![
        (1_u64..4, 0_u64..4).prop_map(|(core, seen)| acquire(core, seen)),
        (0_u64..4, 0_u64..3).prop_map(|(epoch, renewal)| expire(epoch, renewal)),
        (0_u64..4).prop_map(|e| MetaCommand::RenewLeadership { epoch: FencingEpoch(e) }),
        (1_u64..6, 1_u64..4).prop_map(|(n, i)| MetaCommand::RegisterStore(store(n, i))),
        (0_u64..4, 1_u64..6).prop_map(|(e, n)| set_state(e, n, StoreState::Removed)),
        (0_u64..4).prop_map(|e| set_placement(e, &[1, 2, 3], &[1, 2, 4])),
        (0_u64..6, 0_u64..6, 0_usize..9).prop_map(|(v, b, t)| submit(&bundle(v, b, t))),
        (0_u64..4).prop_map(|e| roll_back(e, "v2")),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn replicas_agree_and_versions_only_grow(
        sequence in prop::collection::vec(commands(), 0..80),
        cut in 0_usize..80,
    ) {
        let (mut one, mut two) = (with_leader(), with_leader());
        let mut newest = BundleVersion(0);
        for (index, command) in sequence.iter().enumerate() {
            if index == cut {
                let snapshot = two.snapshot();
                two = MetaMachine::new();
                two.restore(&snapshot).unwrap();
            }
            let bytes = encode(command);
            prop_assert_eq!(one.apply(&bytes).unwrap(), two.apply(&bytes).unwrap());
            prop_assert_eq!(one.digest(), two.digest());
            let version = state(&one).bundle.map(|b| b.version).unwrap_or_default();
            prop_assert!(version >= newest);
            newest = version;
        }
    }
}
