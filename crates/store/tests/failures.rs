//! Network partitions, failing stores and restarts: no acknowledged write is lost, and no read is
//! stale.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use hooklug_protocol::control::NodeAddress;
use hooklug_protocol::store::{Execute, LeaseStatus, LeaseSubject, StoreRequestError};
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_state::encode;
use hooklug_state::meta::{MetaCommand, MetaReply};
use hooklug_state::shard::{ShardCommand, ShardQuery, ShardRefusal, ShardReply};
use hooklug_store::{StateAccess, StoreClient};
use hooklug_types::{
    EngineId, EngineIncarnation, FencingEpoch, GroupId, Incarnation, META_GROUP, NodeId, NodeRole,
    UnixMillis, shard_of,
};
use support::{
    SECRET, TestCluster, fast_options, free_address, has_program, program, put_program, soon, until,
};
use tokio::time::Instant;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_partitioned_leader_serves_no_stale_read() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let group = shard_of("program");
    let old = cluster.until_leader(group).await;
    cluster.isolate(old, true);
    let others: Vec<usize> = (0..3).filter(|number| *number != old).collect();
    put_program(&cluster.client_of(&others), "program").await;
    // The old leader may still consider itself the leader; it must not report that the program is
    // missing.
    let cut_off = cluster.client_of(&[old]);
    let query = ShardQuery::Program(program("program"));
    let deadline = Instant::now() + Duration::from_millis(1_500);
    let answer = cut_off.query_shard(group, &query, deadline).await;
    assert!(answer.is_err(), "{answer:?}");
    let deadline = Instant::now() + Duration::from_millis(500);
    let refused = cut_off.execute_shard(group, &support::put("other"), deadline).await;
    assert!(refused.is_err(), "{refused:?}");
    cluster.isolate(old, false);
    assert!(has_program(&cut_off, "program").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn groups_serve_during_one_way_partitions() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    for (number, is_outbound) in [(0, true), (1, false), (2, true)] {
        for other in (0..3).filter(|other| *other != number) {
            let (from, to) = if is_outbound { (number, other) } else { (other, number) };
            cluster.cut(from, to, true);
        }
        for name in 0..6 {
            put_program(&client, &format!("program-{number}-{name}")).await;
        }
        cluster.isolate(number, false);
        for name in 0..6 {
            assert!(has_program(&client, &format!("program-{number}-{name}")).await);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_fail_without_a_majority_and_succeed_after_its_restart() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    put_program(&client, "program").await;
    cluster.kill(0).await;
    cluster.kill(1).await;
    let deadline = Instant::now() + Duration::from_secs(2);
    let group = shard_of("program");
    let query = ShardQuery::Program(program("program"));
    assert!(client.query_shard(group, &query, deadline).await.is_err());
    let deadline = Instant::now() + Duration::from_millis(500);
    assert!(client.execute_shard(group, &support::put("other"), deadline).await.is_err());
    cluster.start(0).await;
    cluster.start(1).await;
    assert!(has_program(&client, "program").await);
    put_program(&client, "other").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stopping_stores_one_by_one_keeps_groups_available() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    for number in 0..3 {
        cluster.stop(number).await;
        for name in 0..8 {
            put_program(&client, &format!("program-{number}-{name}")).await;
        }
        cluster.start(number).await;
        cluster.until_formed().await;
    }
}

fn engine(name: &str) -> EngineIncarnation {
    EngineIncarnation { engine: EngineId::new(name).unwrap(), incarnation: Incarnation(5) }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lease_is_held_for_its_full_time_after_a_leader_change() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    let holder = engine("engine-1");
    let group = shard_of("engine-1");
    let subject = LeaseSubject::Engine(holder.clone());
    let renew = ShardCommand::RenewLease { holder: holder.clone() };
    client.execute_shard(group, &renew, soon()).await.unwrap();
    let status = client.expire_lease(group, subject.clone(), soon()).await.unwrap();
    assert!(matches!(status, LeaseStatus::Held { .. }), "{status:?}");
    let leader = cluster.until_leader(group).await;
    cluster.kill(leader).await;
    // The new leader counts the full lease time from the start of its leadership.
    let status = client.expire_lease(group, subject.clone(), soon()).await.unwrap();
    assert!(matches!(status, LeaseStatus::Held { .. }), "{status:?}");
    until("the lease expires", async || {
        let status = client.expire_lease(group, subject.clone(), soon()).await.unwrap();
        status == LeaseStatus::Expired
    })
    .await;
    let reply = client.execute_shard(group, &renew, soon()).await.unwrap();
    assert_eq!(reply, ShardReply::Refused(ShardRefusal::LeaseExpired));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_ungranted_lease_is_expired_permanently() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    let holder = engine("engine-2");
    let group = shard_of("engine-2");
    let subject = LeaseSubject::Engine(holder.clone());
    // A retry, as after a lost reply, gets the same result.
    for _ in 0..2 {
        let status = client.expire_lease(group, subject.clone(), soon()).await.unwrap();
        assert_eq!(status, LeaseStatus::Unknown);
    }
    let renew = ShardCommand::RenewLease { holder };
    let reply = client.execute_shard(group, &renew, soon()).await.unwrap();
    assert_eq!(reply, ShardReply::Refused(ShardRefusal::LeaseExpired));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_and_internal_commands_are_refused() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let rpc = support::rpc_client();
    let group = GroupId(1);
    let leader = cluster.stores[cluster.until_leader(group).await].address;
    let clock = ShardCommand::AdvanceClock { now: UnixMillis(u64::MAX) };
    let nested = ShardCommand::Batch(vec![clock.clone()]);
    for command in [vec![0xff; 9], encode(&clock), encode(&nested)] {
        let answer =
            rpc.call(leader, &Execute { group, command: command.into() }, soon()).await.unwrap();
        assert!(matches!(answer, Err(StoreRequestError::Refused { .. })), "{answer:?}");
    }
    put_program(&cluster.client(), "program").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_log_and_snapshots_stay_bounded_and_replicas_agree() {
    let options = hooklug_settings::StoreSettings { snapshot_commands: 150, ..fast_options() };
    let mut cluster = TestCluster::formed(3, options).await;
    let client = cluster.client();
    let group = shard_of("program");
    // 200,000 commands in batches over a bounded set of programs.
    let batches = (0..1_000_u32).map(|batch| {
        let names = (0..200).map(move |n| format!("program-{}", (batch * 7 + n) % 200));
        ShardCommand::Batch(names.map(|name| support::put(&name)).collect())
    });
    for batch in batches {
        client.execute_shard(group, &batch, soon()).await.unwrap();
    }
    for number in 0..3 {
        let bytes = folder_bytes(cluster.stores[number].folder.path());
        assert!(bytes < 100 << 20, "store {number} holds {bytes} bytes");
        let snapshots = cluster.stores[number].folder.path().join("groups/snapshots");
        let of_group = |name: &str| name.starts_with(&format!("{:05}-", group.0));
        until("old snapshots are removed", async || {
            let names = std::fs::read_dir(&snapshots).unwrap();
            let names = names.map(|e| e.unwrap().file_name().into_string().unwrap());
            names.filter(|name| of_group(name)).count() <= 2
        })
        .await;
    }
    cluster.assert_equal_digests(group).await;
    for number in 0..3 {
        cluster.kill(number).await;
        cluster.start(number).await;
    }
    cluster.assert_equal_digests(group).await;
}

fn folder_bytes(folder: &std::path::Path) -> u64 {
    let entries = std::fs::read_dir(folder).unwrap().map(Result::unwrap);
    let size = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => folder_bytes(&entry.path()),
        Ok(metadata) => metadata.len(),
        // The file was removed in the meantime.
        Err(_) => 0,
    };
    entries.map(size).sum()
}

/// After a loss of power of all machines, no replica has applied anything yet, and the seed
/// processes may be the last ones to return.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stores_restarted_together_find_each_other_without_seeds() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    put_program(&cluster.client(), "program").await;
    for number in 0..3 {
        cluster.kill(number).await;
    }
    cluster.seeds.clear();
    for number in 0..3 {
        cluster.start(number).await;
    }
    assert!(has_program(&cluster.client(), "program").await);
    cluster.until_formed().await;
}

/// Returns a client of the process with this address, role and incarnation.
fn client_at(cluster: &TestCluster, rpc: SocketAddr, run: u64, role: NodeRole) -> StoreClient {
    let address = NodeAddress {
        node: NodeId(run),
        incarnation: Incarnation(run),
        role,
        rpc,
        ..cluster.address_of(0, NodeId(0))
    };
    let stores = cluster.stores.iter().map(|store| store.address).collect();
    let client = RpcClient::new(LocalIdentity::new(address, SECRET));
    StoreClient::new(client, tokio::sync::watch::channel(stores).1)
}

/// Guards against a delay of seconds without a core leader, and so without repairs, after all
/// processes were killed: the leader's machine had restarted, but all cores waited for the lease of
/// its former run to expire.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_core_restarted_at_its_address_expires_its_former_lease_immediately() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let (rpc, elsewhere) = (free_address().await, free_address().await);
    let former = client_at(&cluster, rpc, 5, NodeRole::Core);
    let acquire = MetaCommand::AcquireLeadership {
        core: NodeId(5),
        incarnation: Incarnation(5),
        address: rpc,
        seen: FencingEpoch(0),
    };
    let reply = former.execute_meta(&acquire, soon()).await.unwrap();
    let MetaReply::Leader(leader) = reply else { panic!("{reply:?}") };
    let epoch = leader.epoch;
    let expire = async |client: &StoreClient, address| {
        let subject = LeaseSubject::FormerRun { epoch, address };
        client.expire_lease(META_GROUP, subject, soon()).await.unwrap()
    };
    let others = [
        (former.clone(), rpc),
        (client_at(&cluster, rpc, 4, NodeRole::Core), rpc),
        (client_at(&cluster, elsewhere, 6, NodeRole::Core), elsewhere),
        (client_at(&cluster, elsewhere, 6, NodeRole::Core), rpc),
        (client_at(&cluster, rpc, 6, NodeRole::Store), rpc),
    ];
    for (other, address) in others {
        let status = expire(&other, address).await;
        assert!(matches!(status, LeaseStatus::Held { .. }), "{status:?}");
    }
    let next = client_at(&cluster, rpc, 6, NodeRole::Core);
    assert_eq!(expire(&next, rpc).await, LeaseStatus::Expired);
}
