//! The pool of connections to backends.

mod support;

use hooklug_ingress::connections::{Connection, ConnectionId, Connections};
use hooklug_types::EngineId;
use support::{FakeBackend, TEST_TIMEOUT};
use tokio::time::Instant;

async fn get(pool: &Connections, backend: &FakeBackend, used: &[ConnectionId]) -> Connection {
    let id = EngineId::new(&backend.name).unwrap();
    let deadline = Instant::now() + TEST_TIMEOUT;
    pool.get(&id, backend.address, used, deadline).await.expect("a connection")
}

#[tokio::test]
async fn the_most_recently_used_idle_connection_is_reused() {
    let backend = FakeBackend::start("e1", &[]).await;
    let pool = Connections::default();
    let (first, second) = (get(&pool, &backend, &[]).await, get(&pool, &backend, &[]).await);
    let recent = first.id;
    pool.put_back(second, None);
    pool.put_back(first, None);
    assert_eq!(get(&pool, &backend, &[]).await.id, recent);
}

/// Guards against a request that is sent twice on one connection, also after other requests have
/// used the connection: a late copy of the first response would be taken for the second one.
#[tokio::test]
async fn a_connection_is_not_returned_for_a_request_that_it_has_carried() {
    let backend = FakeBackend::start("e1", &[]).await;
    let pool = Connections::default();
    let (first, second) = (get(&pool, &backend, &[]).await, get(&pool, &backend, &[]).await);
    let used = [first.id];
    let unused = second.id;
    pool.put_back(second, None);
    pool.put_back(first, None);
    // Another request uses the connection in between.
    let other = get(&pool, &backend, &[]).await;
    assert_eq!(other.id, used[0]);
    pool.put_back(other, None);
    assert_eq!(get(&pool, &backend, &used).await.id, unused, "an idle one is preferred");
    assert_ne!(get(&pool, &backend, &used).await.id, used[0], "a new one is opened");
    assert_eq!(get(&pool, &backend, &[]).await.id, used[0], "other requests still use it");
}
