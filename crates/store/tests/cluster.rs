//! A cluster forms, serves requests, and survives kills and restarts of its stores.

mod support;

use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_protocol::store::GroupStatus;
use hooklug_state::meta::{
    BundleContent, MetaAnswer, MetaCommand, MetaQuery, MetaReply, SubmitBundle,
};
use hooklug_state::shard::{ShardAnswer, ShardQuery};
use hooklug_store::clock::BUSY_INTERVAL;
use hooklug_store::{StateAccess, StoreClient};
use hooklug_types::{BundleVersion, GroupId, UnixMillis, shard_of};
use support::{TestCluster, fast_options, has_program, put_program, rpc_client, soon, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn three_stores_form_a_cluster_and_survive_kills() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    for number in 0..40 {
        put_program(&client, &format!("program-{number}")).await;
    }
    let victim = cluster.until_leader(shard_of("program-0")).await;
    cluster.kill(victim).await;
    for number in 40..80 {
        put_program(&client, &format!("program-{number}")).await;
    }
    cluster.start(victim).await;
    for number in 0..3 {
        if number != victim {
            cluster.kill(number).await;
            cluster.start(number).await;
        }
    }
    for number in 0..80 {
        assert!(has_program(&client, &format!("program-{number}")).await, "program-{number}");
    }
    for group in GroupId::all() {
        cluster.assert_equal_digests(group).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_new_cluster_knows_its_stores_and_placements() {
    let cluster = TestCluster::formed(4, fast_options()).await;
    let answer = cluster.client().query_meta(&MetaQuery::State, soon()).await.unwrap();
    let MetaAnswer::State(meta) = answer else { panic!("{answer:?}") };
    assert_eq!(meta.cluster, cluster.handle(0).cluster());
    assert_eq!(meta.placements.len(), GroupId::all().count());
    assert!(meta.placements.values().all(|p| p.voters.len() == 3));
    assert!(meta.stores.iter().any(|store| store.address == cluster.stores[3].address));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_stores_killed_at_once_lose_nothing() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    for number in 0..30 {
        put_program(&client, &format!("program-{number}")).await;
    }
    for number in 0..3 {
        cluster.kill(number).await;
    }
    for number in 0..3 {
        cluster.start(number).await;
    }
    for number in 0..30 {
        assert!(has_program(&client, &format!("program-{number}")).await, "program-{number}");
    }
    put_program(&client, "after").await;
}

/// Waits until the clock of a shard was last advanced some seconds ago.
async fn until_clock_is_old(client: &StoreClient, shard: GroupId) {
    until("the clock is 3 s old", async || {
        clock(client, shard).await.until(UnixMillis::now()) >= Duration::from_secs(3)
    })
    .await;
}

async fn clock(client: &StoreClient, shard: GroupId) -> UnixMillis {
    let answer = client.query_shard(shard, &ShardQuery::Clock, soon()).await.unwrap();
    let ShardAnswer::Clock(clock) = answer else { panic!("{answer:?}") };
    clock
}

/// Guards against records that a store expires early because a command after an idle time was
/// applied at an old time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_command_after_an_idle_time_is_applied_at_the_current_time() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    let shard = shard_of("program");
    until_clock_is_old(&client, shard).await;
    let before = UnixMillis::now();
    put_program(&client, "program").await;
    assert!(clock(&client, shard).await.until(before) <= BUSY_INTERVAL, "the clock is behind");
}

/// Guards against a clock that stays behind after a restart of all stores, because they take one
/// another for stores of the build before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_clock_follows_the_wall_clock_after_a_restart_of_all_stores() {
    let mut cluster = TestCluster::formed(3, fast_options()).await;
    let client = cluster.client();
    let shard = shard_of("program");
    until_clock_is_old(&client, shard).await;
    for number in 0..3 {
        cluster.kill(number).await;
    }
    for number in 0..3 {
        cluster.start(number).await;
    }
    let before = UnixMillis::now();
    put_program(&client, "program").await;
    assert!(clock(&client, shard).await.until(before) <= BUSY_INTERVAL, "the clock is behind");
}

/// The process that acknowledged a bundle may fail immediately afterwards, so the stores report the
/// newest committed bundle to all of their callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_store_reports_a_committed_bundle_to_its_callers() {
    let cluster = TestCluster::formed(3, fast_options()).await;
    let bundle = Bundle { version: BundleVersion(7), ..Bundle::default() };
    let submit = MetaCommand::SubmitBundle(SubmitBundle {
        version: bundle.version,
        base: bundle.base,
        content: BundleContent::Full(hooklug_bundle::canonical_bytes(&bundle)),
        signed_by: Vec::new(),
    });
    let reply = cluster.client().execute_meta(&submit, soon()).await.expect("a reply");
    assert!(!matches!(reply, MetaReply::Refused(_)), "{reply:?}");
    for store in &cluster.stores {
        let client = rpc_client();
        let named = client.identity().bundles.watch_newest();
        until("the store reports the bundle's version", async || {
            client.call(store.address, &GroupStatus, soon()).await.expect("a reply");
            *named.borrow() == bundle.version
        })
        .await;
    }
}
