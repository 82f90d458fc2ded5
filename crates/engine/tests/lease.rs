//! The lease, with a clock that the test moves.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hooklug_engine::lease::{
    LAPSE_TIME, LEASE_TIME, LeaseKeeper, LeaseState, LeaseView, RENEW_EVERY,
};
use hooklug_protocol::store::{LeaseSubject, LeaseVerdict};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{EngineIncarnation, Incarnation, shard_of};
use support::stalled::StalledState;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

/// Shortest time that these tests tell apart.
const STEP: Duration = Duration::from_millis(10);

struct Kept {
    view: LeaseView,
    lost: Arc<AtomicU32>,
    ended: JoinHandle<()>,
    link: StalledState,
    state: MemoryState,
}

fn holder() -> EngineIncarnation {
    EngineIncarnation { engine: "e1".parse().unwrap(), incarnation: Incarnation(1) }
}

fn keep() -> Kept {
    let state = MemoryState::default();
    let link = StalledState::new(state.clone());
    let keeper = LeaseKeeper::new(Arc::new(link.clone()), holder());
    let view = keeper.view();
    let lost = Arc::new(AtomicU32::new(0));
    let count = lost.clone();
    let run = keeper.run(CancellationToken::new(), move || {
        count.fetch_add(1, Ordering::SeqCst);
    });
    Kept { view, lost, ended: tokio::spawn(run), link, state }
}

impl Kept {
    fn lost(&self) -> u32 {
        self.lost.load(Ordering::SeqCst)
    }

    async fn expire(&self) -> LeaseVerdict {
        let subject = LeaseSubject::Engine(holder());
        let deadline = Instant::now() + Duration::from_secs(1);
        self.state.expire_lease(shard_of("e1"), subject, deadline).await.unwrap()
    }
}

#[tokio::test(start_paused = true)]
async fn it_is_held_while_renewed_and_cannot_be_expired() {
    let kept = keep();
    for _ in 0..20 {
        sleep(RENEW_EVERY).await;
        assert!(kept.view.is_held());
        assert!(matches!(kept.expire().await, LeaseVerdict::Held { .. }));
    }
    assert_eq!(kept.lost(), 0);
}

#[tokio::test(start_paused = true)]
async fn it_runs_out_by_its_own_clock_before_the_shard_may_expire_it() {
    let kept = keep();
    sleep(RENEW_EVERY * 2 + Duration::from_millis(10)).await;
    let LeaseState::Until(until) = kept.view.state() else { panic!("not held") };
    kept.link.stall(true);
    while kept.view.is_held() {
        assert!(matches!(kept.expire().await, LeaseVerdict::Held { .. }));
        sleep(Duration::from_millis(1)).await;
    }
    assert!(Instant::now() >= until);
    // Loops stand still from here on; they are given up once no late renewal is waited for any more.
    let given_up = until + LAPSE_TIME;
    let standing = timeout_at(given_up - STEP, kept.view.decided());
    assert!(standing.await.is_err());
    assert_eq!(kept.lost(), 0);
    sleep_until(given_up + STEP).await;
    assert_eq!(kept.lost(), 1);
    assert_eq!(kept.view.state(), LeaseState::Lapsed);
    let (now, lease_until) = kept.view.decided().await;
    assert!(now >= lease_until);
}

#[tokio::test(start_paused = true)]
async fn loops_stand_still_until_a_late_renewal_and_then_go_on() {
    let kept = keep();
    sleep(STEP).await;
    let LeaseState::Until(until) = kept.view.state() else { panic!("not held") };
    // Two renewals get no answer; that of the third comes after the lease has run out.
    kept.link.stall(true);
    sleep_until(until - STEP).await;
    kept.link.delay(LAPSE_TIME / 2);
    kept.link.stall(false);
    sleep_until(until + STEP).await;
    assert!(!kept.view.is_held());
    let (now, lease_until) = kept.view.decided().await;
    assert!(now >= until + LAPSE_TIME / 2 && now < lease_until, "{now:?} {lease_until:?}");
    assert_eq!(kept.lost(), 0);
    assert!(matches!(kept.expire().await, LeaseVerdict::Held { .. }));
}

#[tokio::test(start_paused = true)]
async fn nobody_waits_for_a_renewal_of_an_engine_that_has_stopped() {
    let kept = keep();
    sleep(STEP).await;
    kept.ended.abort();
    sleep(LEASE_TIME).await;
    let (now, lease_until) = kept.view.decided().await;
    assert!(now >= lease_until);
}

#[tokio::test(start_paused = true)]
async fn it_counts_from_sending_however_late_the_answer() {
    let kept = keep();
    sleep(Duration::from_millis(10)).await;
    kept.link.delay(Duration::from_millis(800));
    sleep(RENEW_EVERY * 3).await;
    let LeaseState::Until(until) = kept.view.state() else { panic!("not held") };
    // The last answer came at most one renewal ago; had it counted from the answer, it would last longer.
    let left = until - Instant::now();
    assert!(left <= LEASE_TIME - Duration::from_millis(800), "{left:?}");
}

#[tokio::test(start_paused = true)]
async fn one_that_only_ran_out_is_renewed_again() {
    let kept = keep();
    sleep(RENEW_EVERY).await;
    kept.link.stall(true);
    sleep(LEASE_TIME * 2).await;
    assert!(!kept.view.is_held());
    kept.link.stall(false);
    sleep(RENEW_EVERY).await;
    assert!(kept.view.is_held());
    assert_eq!(kept.lost(), 1);
    assert!(!kept.ended.is_finished());
}

#[tokio::test(start_paused = true)]
async fn one_that_has_expired_is_expired_for_ever() {
    let kept = keep();
    sleep(RENEW_EVERY).await;
    kept.link.stall(true);
    sleep(LEASE_TIME * 2).await;
    assert_eq!(kept.expire().await, LeaseVerdict::Expired);
    kept.link.stall(false);
    kept.ended.await.unwrap();
    assert_eq!(kept.view.state(), LeaseState::Expired);
    assert!(!kept.view.is_held());
}
