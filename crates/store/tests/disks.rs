//! Disks that lose unsynced data, fail, or are damaged.

#[path = "support/disk.rs"]
mod disk;
mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use disk::TestDisk;
use hooklug_protocol::store::{Execute, StoreRequestError};
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_settings::StoreSettings;
use hooklug_state::encode;
use hooklug_state::shard::{ShardCommand, StartChainedTurn};
use hooklug_store::{DATA_FORMAT, StateAccess, Store, StoreError, load_node_id};
use hooklug_types::{NodeId, ProgramId, SessionId, SessionKey, TokenCount, TurnId, shard_of};
use support::{
    TEST_TIMEOUT, TestCluster, fast_options, has_program, put, put_program, soon, until,
};

async fn cluster_on(disks: &[TestDisk]) -> TestCluster {
    cluster_with(disks, fast_options()).await
}

async fn cluster_with(disks: &[TestDisk], options: StoreSettings) -> TestCluster {
    let mut cluster = TestCluster::new(disks.len(), options).await;
    for (number, disk) in disks.iter().enumerate() {
        cluster.stores[number].files = Arc::new(disk.clone());
        cluster.start(number).await;
    }
    cluster.until_formed().await;
    cluster
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn acknowledged_writes_survive_power_loss_on_all_machines() {
    let disks = [TestDisk::default(), TestDisk::default(), TestDisk::default()];
    let mut cluster = cluster_on(&disks).await;
    let (acknowledged, stopped) =
        (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let writers: Vec<_> = (0..16)
        .map(|writer| {
            let client = cluster.client();
            let (acknowledged, stopped) = (acknowledged.clone(), stopped.clone());
            tokio::spawn(async move {
                for number in 0.. {
                    let name = format!("program-{writer}-{number}");
                    let command = put(&name);
                    let writing = client.execute_shard(shard_of(&name), &command, soon());
                    if writing.await.is_ok() && !stopped.load(Ordering::SeqCst) {
                        acknowledged.lock().unwrap().push(name);
                    }
                }
            })
        })
        .collect();
    until("enough is written", async || acknowledged.lock().unwrap().len() > 400).await;
    for number in 0..3 {
        cluster.kill(number).await;
    }
    stopped.store(true, Ordering::SeqCst);
    writers.iter().for_each(tokio::task::JoinHandle::abort);
    disks.iter().for_each(TestDisk::lose_power);
    for number in 0..3 {
        cluster.start(number).await;
    }
    let client = cluster.client();
    let names = acknowledged.lock().unwrap().clone();
    for name in names {
        assert!(has_program(&client, &name).await, "{name}");
    }
}

/// Fills several segments of the stores' logs.
async fn write_turns(cluster: &TestCluster, count: std::ops::Range<usize>) {
    let client = cluster.client();
    for number in count {
        let program = format!("large-{number}");
        let start = StartChainedTurn {
            key: SessionKey {
                program: ProgramId::new(&program).unwrap(),
                session: SessionId::new("session").unwrap(),
            },
            turn: TurnId::new("turn").unwrap(),
            host: NodeId(1),
            after: None,
            token_budget: None,
            max_tokens: TokenCount(0),
            input: Some(vec![b'x'; 32 << 10].into()),
            include_history: false,
            imported: None,
            time_limit_ms: 1_000,
            keep_ms: 1_000,
        };
        let command = ShardCommand::StartChainedTurn(start);
        client.execute_shard(shard_of(&program), &command, soon()).await.expect("a reply");
    }
}

/// Guards against a store that never starts again after a loss of power: log segments are removed one
/// after the other, and an older one comes back while a newer one does not.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_starts_although_removed_log_segments_come_back() {
    let disks = [TestDisk::default(), TestDisk::default(), TestDisk::default()];
    let options = StoreSettings { log_megabytes: 1, ..fast_options() };
    let mut cluster = cluster_with(&disks, options).await;
    put_program(&cluster.client(), "first").await;
    let mut written = 0;
    for chosen in [|number| number == 0, |number| number % 2 == 0] {
        let removed = disks[0].removed_segments() + 5;
        while disks[0].removed_segments() < removed {
            assert!(written < 5_000, "no segment is removed");
            write_turns(&cluster, written..written + 40).await;
            written += 40;
        }
        cluster.kill(0).await;
        disks[0].put_back_segments(chosen);
        cluster.start(0).await;
        cluster.until_formed().await;
        cluster.assert_equal_digests(shard_of("first")).await;
        assert!(has_program(&cluster.client(), "first").await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_with_a_failed_disk_acknowledges_nothing_while_the_others_serve() {
    let disks = [TestDisk::default(), TestDisk::default(), TestDisk::default()];
    let cluster = cluster_on(&disks).await;
    let client = cluster.client();
    let group = shard_of("program-0");
    let failing = cluster.until_leader(group).await;
    disks[failing].fail();
    for number in 0..20 {
        put_program(&client, &format!("program-{number}")).await;
    }
    assert!(cluster.handle(failing).failure().is_some());
    assert!(!cluster.handle(failing).is_ready().await);
    let request = Execute { group, command: encode(&put("other")).into() };
    let address = cluster.stores[failing].address;
    let answer = support::rpc_client().call(address, &request, soon()).await.unwrap();
    assert!(matches!(answer, Err(StoreRequestError::DiskFailed { .. })), "{answer:?}");
    for number in 0..20 {
        assert!(has_program(&client, &format!("program-{number}")).await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_set_to_end_when_failed_exits_on_disk_failure() {
    let options = StoreSettings { end_when_failed: true, ..fast_options() };
    let mut cluster = TestCluster::new(3, options).await;
    let disk = TestDisk::default();
    cluster.stores[0].files = Arc::new(disk.clone());
    for number in 0..3 {
        cluster.start(number).await;
    }
    cluster.until_formed().await;
    put_program(&cluster.client(), "before").await;
    disk.fail();
    for number in 0..20 {
        put_program(&cluster.client(), &format!("program-{number}")).await;
    }
    let running = cluster.stores[0].running.as_mut().expect("the store runs");
    let ended =
        tokio::time::timeout(TEST_TIMEOUT, &mut running.store).await.expect("the store ends");
    assert!(matches!(ended.unwrap(), Err(StoreError::DiskFailed(_))));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_whose_driver_panics_ends_with_an_error() {
    let disk = TestDisk::default();
    disk.panic_in("raft-driver");
    let mut cluster = TestCluster::new(3, fast_options()).await;
    cluster.stores[0].files = Arc::new(disk);
    for number in 0..3 {
        cluster.start(number).await;
    }
    let running = cluster.stores[0].running.take().expect("the store runs");
    let ended = tokio::time::timeout(TEST_TIMEOUT, running.store).await.expect("the store ends");
    assert!(matches!(ended.unwrap(), Err(StoreError::DriverExited)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_cluster_serves_after_a_snapshot_thread_panic() {
    let options = StoreSettings { snapshot_commands: 20, ..fast_options() };
    let mut cluster = TestCluster::new(3, options).await;
    let disk = TestDisk::default();
    cluster.stores[0].files = Arc::new(disk.clone());
    for number in 0..3 {
        cluster.start(number).await;
    }
    cluster.until_formed().await;
    disk.panic_in("snapshots");
    let client = cluster.client();
    let mut number = 0;
    while cluster.handle(0).failure().is_none() {
        put_program(&client, &format!("program-{number}")).await;
        number += 1;
    }
    put_program(&client, "afterwards").await;
    assert!(has_program(&client, "program-0").await);
}

fn open_folder(cluster: &TestCluster, number: usize, node: NodeId) -> Result<Store, StoreError> {
    let address = cluster.address_of(number, node);
    let identity = LocalIdentity::new(address, support::SECRET);
    let client = RpcClient::new(identity.clone());
    Store::open(Arc::new(cluster.settings(number)), identity, client)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unusable_store_folder_is_refused() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let node = cluster.node(0);
    let in_use = open_folder(&cluster, 0, node);
    assert!(matches!(in_use, Err(StoreError::FolderInUse { .. })), "{in_use:?}");
    cluster.kill(0).await;
    let other = open_folder(&cluster, 0, NodeId(1));
    assert!(matches!(other, Err(StoreError::NodeMismatch { .. })), "{other:?}");
    let folder = cluster.stores[0].folder.path().to_owned();
    let membership = folder.join("membership");
    let bytes = std::fs::read(&membership).unwrap();
    let mut damaged = bytes.clone();
    *damaged.last_mut().unwrap() ^= 1;
    std::fs::write(&membership, damaged).unwrap();
    let refused = open_folder(&cluster, 0, node);
    assert!(matches!(refused, Err(StoreError::Damaged { .. })), "{refused:?}");
    std::fs::write(&membership, bytes).unwrap();
    let identity = folder.join("identity");
    let bytes = std::fs::read(&identity).unwrap();
    std::fs::write(&identity, of_next_format(&bytes)).unwrap();
    let newer = open_folder(&cluster, 0, node);
    let format = DATA_FORMAT + 1;
    assert!(
        matches!(newer, Err(StoreError::FormatMismatch { format: f, .. }) if f == format),
        "{newer:?}"
    );
    std::fs::remove_file(&identity).unwrap();
    let lost = load_node_id(&folder);
    assert!(matches!(lost, Err(StoreError::Damaged { .. })), "{lost:?}");
}

/// Returns the contents of an identity file as a build with the next data format would write it.
fn of_next_format(identity: &[u8]) -> Vec<u8> {
    let mut body = identity[4..].to_vec();
    body[0] += 1;
    [crc32fast::hash(&body).to_le_bytes().as_slice(), &body].concat()
}
