//! Renewal and loss of the engine's lease, on a paused clock.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hooklug_engine::lease::{
    LATE_RENEWAL_TIME, LEASE_TIME, LeaseKeeper, LeaseState, LeaseView, RENEW_INTERVAL,
};
use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{EngineIncarnation, Incarnation, shard_of};
use support::stalled::StalledState;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

/// Time resolution of these tests.
const STEP: Duration = Duration::from_millis(10);

struct RunningKeeper {
    view: LeaseView,
    lost: Arc<AtomicU32>,
    ended: JoinHandle<()>,
    link: StalledState,
    state: MemoryState,
}

fn holder() -> EngineIncarnation {
    EngineIncarnation { engine: "e1".parse().unwrap(), incarnation: Incarnation(1) }
}

fn start_keeper() -> RunningKeeper {
    let state = MemoryState::default();
    let link = StalledState::new(state.clone());
    let keeper = LeaseKeeper::new(Arc::new(link.clone()), holder());
    let view = keeper.view();
    let lost = Arc::new(AtomicU32::new(0));
    let count = lost.clone();
    let run = keeper.run(CancellationToken::new(), move || {
        count.fetch_add(1, Ordering::SeqCst);
    });
    RunningKeeper { view, lost, ended: tokio::spawn(run), link, state }
}

impl RunningKeeper {
    fn lost(&self) -> u32 {
        self.lost.load(Ordering::SeqCst)
    }

    async fn expire(&self) -> LeaseStatus {
        let subject = LeaseSubject::Engine(holder());
        let deadline = Instant::now() + Duration::from_secs(1);
        self.state.expire_lease(shard_of("e1"), subject, deadline).await.unwrap()
    }
}

#[tokio::test(start_paused = true)]
async fn a_renewed_lease_is_held_and_cannot_be_expired() {
    let keeper = start_keeper();
    for _ in 0..20 {
        sleep(RENEW_INTERVAL).await;
        assert!(keeper.view.is_held());
        assert!(matches!(keeper.expire().await, LeaseStatus::Held { .. }));
    }
    assert_eq!(keeper.lost(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_engine_lease_lapses_locally_before_the_shard_can_expire_it() {
    let keeper = start_keeper();
    sleep(RENEW_INTERVAL * 2 + Duration::from_millis(10)).await;
    let LeaseState::HeldUntil(until) = keeper.view.state() else { panic!("not held") };
    keeper.link.stall(true);
    while keeper.view.is_held() {
        assert!(matches!(keeper.expire().await, LeaseStatus::Held { .. }));
        sleep(Duration::from_millis(1)).await;
    }
    assert!(Instant::now() >= until);
    // From here on loops are suspended; sessions are dropped when the time for a late renewal is over.
    let lapsed_at = until + LATE_RENEWAL_TIME;
    let suspended = timeout_at(lapsed_at - STEP, keeper.view.wait_until_decided());
    assert!(suspended.await.is_err());
    assert_eq!(keeper.lost(), 0);
    sleep_until(lapsed_at + STEP).await;
    assert_eq!(keeper.lost(), 1);
    assert_eq!(keeper.view.state(), LeaseState::Lapsed);
    let (now, lease_until) = keeper.view.wait_until_decided().await;
    assert!(now >= lease_until);
}

#[tokio::test(start_paused = true)]
async fn a_late_renewal_resumes_waiting_session_loops() {
    let keeper = start_keeper();
    sleep(STEP).await;
    let LeaseState::HeldUntil(until) = keeper.view.state() else { panic!("not held") };
    // Two renewals get no reply; the reply to the third arrives after the lease has run out.
    keeper.link.stall(true);
    sleep_until(until - STEP).await;
    keeper.link.delay(LATE_RENEWAL_TIME / 2);
    keeper.link.stall(false);
    sleep_until(until + STEP).await;
    assert!(!keeper.view.is_held());
    let (now, lease_until) = keeper.view.wait_until_decided().await;
    assert!(now >= until + LATE_RENEWAL_TIME / 2 && now < lease_until, "{now:?} {lease_until:?}");
    assert_eq!(keeper.lost(), 0);
    assert!(matches!(keeper.expire().await, LeaseStatus::Held { .. }));
}

#[tokio::test(start_paused = true)]
async fn waiters_do_not_wait_for_a_stopped_lease_keeper() {
    let keeper = start_keeper();
    sleep(STEP).await;
    keeper.ended.abort();
    sleep(LEASE_TIME).await;
    let (now, lease_until) = keeper.view.wait_until_decided().await;
    assert!(now >= lease_until);
}

#[tokio::test(start_paused = true)]
async fn the_lease_time_counts_from_sending_the_renewal() {
    let keeper = start_keeper();
    sleep(Duration::from_millis(10)).await;
    keeper.link.delay(Duration::from_millis(800));
    sleep(RENEW_INTERVAL * 3).await;
    let LeaseState::HeldUntil(until) = keeper.view.state() else { panic!("not held") };
    // The last reply arrived at most one renewal interval ago. If the lease were measured from the
    // reply instead of from the sending, more time would be left.
    let left = until - Instant::now();
    assert!(left <= LEASE_TIME - Duration::from_millis(800), "{left:?}");
}

#[tokio::test(start_paused = true)]
async fn a_lapsed_lease_can_be_renewed() {
    let keeper = start_keeper();
    sleep(RENEW_INTERVAL).await;
    keeper.link.stall(true);
    sleep(LEASE_TIME * 2).await;
    assert!(!keeper.view.is_held());
    keeper.link.stall(false);
    sleep(RENEW_INTERVAL).await;
    assert!(keeper.view.is_held());
    assert_eq!(keeper.lost(), 1);
    assert!(!keeper.ended.is_finished());
}

#[tokio::test(start_paused = true)]
async fn an_expired_lease_cannot_be_renewed() {
    let keeper = start_keeper();
    sleep(RENEW_INTERVAL).await;
    keeper.link.stall(true);
    sleep(LEASE_TIME * 2).await;
    assert_eq!(keeper.expire().await, LeaseStatus::Expired);
    keeper.link.stall(false);
    keeper.ended.await.unwrap();
    assert_eq!(keeper.view.state(), LeaseState::Expired);
    assert!(!keeper.view.is_held());
}
