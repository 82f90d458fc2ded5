//! Turns that are abandoned while their start is on its way: callers that disconnect, replies that
//! are lost and commands that arrive late. A turn that has reached no engine costs no budget, and a
//! reservation is never left behind.

mod support;

use std::time::Duration;

use hooklug_ingress::{IngressAnswer, IngressRequest, Refusal};
use hooklug_state::shard::{
    EndChainedTurn, ShardCommand, ShardRefusal, ShardReply, StartChainedTurn,
};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{
    GroupId, NodeId, ProgramId, SessionId, SessionKey, TokenCount, TurnId, UnixMillis, shard_of,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    Behaviour, FakeBackend, HeldState, Link, TEST_TIMEOUT, TOKENS_PER_EVENT, World, run_seeds, turn,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Longer than the time limit of any turn of these tests.
const PAST_TIME_LIMITS: Duration = Duration::from_secs(30);

fn shard() -> GroupId {
    shard_of("p")
}

fn refusal(answer: IngressAnswer) -> Refusal {
    match answer {
        IngressAnswer::Refused(refusal) => refusal,
        IngressAnswer::Forwarded(head, _) => panic!("unexpected response: {}", head.status),
    }
}

fn is_not_run(answer: &IngressAnswer) -> bool {
    matches!(answer, IngressAnswer::Refused(Refusal::NotRun { .. }))
}

/// Tokens that count against the budget of the program `p` once the time limits of all its turns
/// have passed.
async fn spent(state: &MemoryState) -> u64 {
    state.set_clock(UnixMillis::now().plus_millis(millis(PAST_TIME_LIMITS)));
    let mut budget = 0;
    loop {
        let probe = probe(budget + 1);
        let key = probe.key.clone();
        match execute(state, ShardCommand::StartChainedTurn(probe)).await {
            ShardReply::ChainedTurnStarted(started) => {
                let end = EndChainedTurn {
                    key,
                    turn: TurnId::new(format!("probe-{}", budget + 1)).unwrap(),
                    epoch: started.epoch,
                    tokens: TokenCount(0),
                    output: None,
                };
                execute(state, ShardCommand::EndChainedTurn(end)).await;
                return budget;
            }
            ShardReply::Refused(ShardRefusal::BudgetSpent) => budget += 1,
            other => panic!("unexpected reply: {other:?}"),
        }
    }
}

/// A turn that is started only if less than `budget` tokens are spent or reserved.
fn probe(budget: u64) -> StartChainedTurn {
    StartChainedTurn {
        key: SessionKey {
            program: ProgramId::new("p").unwrap(),
            session: SessionId::new("probe").unwrap(),
        },
        turn: TurnId::new(format!("probe-{budget}")).unwrap(),
        host: NodeId(9),
        after: None,
        token_budget: Some(TokenCount(budget)),
        max_tokens: TokenCount(0),
        input: None,
        include_history: false,
        imported: None,
        time_limit_ms: 0,
        keep_ms: 600_000,
    }
}

async fn execute(state: &MemoryState, command: ShardCommand) -> ShardReply {
    let deadline = Instant::now() + TEST_TIMEOUT;
    state.execute_shard(shard(), &command, deadline).await.expect("the shard is available")
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

/// Sends a turn and waits until the link has received its start.
async fn send(world: &World, state: &HeldState, id: &str) -> JoinHandle<IngressAnswer> {
    let (ingress, request) = (world.ingress.clone(), turn("/kept/x", id, None));
    let serving = tokio::spawn(async move { ingress.serve(&request).await });
    state.received().await;
    serving
}

/// Disconnects the caller of a turn whose start has no reply yet.
async fn disconnect(serving: JoinHandle<IngressAnswer>) {
    serving.abort();
    assert!(serving.await.is_err_and(|error| error.is_cancelled()));
}

/// Sends a turn whose caller disconnects once the link has received the start.
async fn send_and_disconnect(world: &World, state: &HeldState, id: &str) {
    disconnect(send(world, state, id).await).await;
}

/// Guards against a program that is refused for good because its callers left earlier turns before
/// their starts were confirmed: the reservations stayed.
#[tokio::test]
async fn a_turn_whose_caller_disconnects_during_its_start_costs_no_budget() {
    let engine = FakeBackend::start("e1", &[]).await;
    let (world, state) = World::behind_link(&[&engine]).await;
    state.set_link(Link::LosesReply);
    for id in ["t1", "t2", "t3"] {
        send_and_disconnect(&world, &state, id).await;
    }
    world.ingress.finish().await;
    assert_eq!(spent(&world.state).await, 0);
    assert_eq!(engine.executed(), []);
}

/// Guards against a reservation that appears after the turn was abandoned, because the start was
/// still on its way.
#[tokio::test]
async fn a_start_that_arrives_after_its_caller_disconnected_reserves_nothing() {
    let engine = FakeBackend::start("e1", &[]).await;
    let (world, state) = World::behind_link(&[&engine]).await;
    state.set_link(Link::HoldsCommand);
    for id in ["t1", "t2", "t3"] {
        send_and_disconnect(&world, &state, id).await;
    }
    world.ingress.finish().await;
    for reply in state.deliver().await {
        assert_eq!(reply, ShardReply::Refused(ShardRefusal::TurnDiffers));
    }
    assert_eq!(spent(&world.state).await, 0);
}

/// Guards against the same reservation after the caller was told that its turn was not run, because
/// the reply to the start did not arrive in time.
#[tokio::test]
async fn a_turn_without_a_reply_to_its_start_is_reported_not_run_and_costs_no_budget() {
    for link in [Link::LosesReply, Link::HoldsCommand] {
        let engine = FakeBackend::start("e1", &[]).await;
        let (world, state) = World::behind_link(&[&engine]).await;
        state.set_link(link);
        let request = IngressRequest {
            caller_timeout: Some(Duration::from_millis(50)),
            ..turn("/kept/x", "t1", None)
        };
        assert!(is_not_run(&world.ingress.serve(&request).await), "{link:?}");
        world.ingress.finish().await;
        state.deliver().await;
        assert_eq!(spent(&world.state).await, 0, "{link:?}");
        assert_eq!(engine.executed(), [], "{link:?}");
    }
}

/// Guards against a turn that is started after it was refused, because an earlier copy of its start
/// was still on its way.
#[tokio::test]
async fn a_late_copy_of_a_refused_start_reserves_nothing() {
    let engine = FakeBackend::start("e1", &vec![Behaviour::Unresponsive; 3]).await;
    let (world, state) = World::behind_link(&[&engine]).await;
    // Three running turns reserve the budget.
    let held = ["t1", "t2", "t3"].map(|id| {
        let ingress = world.ingress.clone();
        tokio::spawn(async move { ingress.serve(&turn("/kept/x", id, None)).await })
    });
    for _ in &held {
        state.received().await;
    }
    support::eventually("the turns run", || engine.executed().len() == 3).await;
    state.set_link(Link::HoldsCopy);
    for id in ["t4", "t5", "t6"] {
        let refused = refusal(world.ingress.serve(&turn("/kept/x", id, None)).await);
        assert!(matches!(refused, Refusal::NotRun { .. }), "{refused}");
    }
    let unknown = turn("/kept/x", "t7", Some("t0"));
    assert_eq!(refusal(world.ingress.serve(&unknown).await), Refusal::UnknownTurn);
    held.iter().for_each(tokio::task::JoinHandle::abort);
    for running in held {
        let _ = running.await;
    }
    world.ingress.finish().await;
    state.deliver().await;
    assert_eq!(spent(&world.state).await, 0);
}

/// Guards against a reservation that stays because its shard was unavailable for longer than one
/// attempt to release it takes, as while a group elects a leader.
#[tokio::test(start_paused = true)]
async fn a_turn_abandoned_during_a_long_outage_costs_no_budget() {
    let (world, state) = World::behind_link(&[]).await;
    state.set_link(Link::LosesReply);
    let abandoned = send(&world, &state, "t1").await;
    // The turn is open; its shard becomes unavailable before the caller disconnects.
    world.state.set_available(shard(), false);
    disconnect(abandoned).await;
    let request = turn("/kept/x", "t2", None);
    assert!(is_not_run(&world.ingress.serve(&request).await));
    tokio::time::sleep(Duration::from_secs(20)).await;
    world.state.set_available(shard(), true);
    world.ingress.finish().await;
    assert_eq!(spent(&world.state).await, 0);
}

/// Guards against a cancellation that fences or ends another turn of its session.
#[tokio::test]
async fn a_cancelled_turn_does_not_affect_the_next_turn_of_its_session() {
    let engine = FakeBackend::start("e1", &[Behaviour::EventsHeld(&["a"])]).await;
    let (world, state) = World::behind_link(&[&engine]).await;
    state.set_link(Link::HoldsCommand);
    let abandoned = send(&world, &state, "t1").await;
    state.set_link(Link::Passes);
    let answer = world.ingress.serve(&turn("/kept/x", "t2", None)).await;
    disconnect(abandoned).await;
    state.cancelled().await;
    state.deliver().await;
    engine.release();
    let (status, body) = support::forwarded(answer).await;
    assert_eq!((status, body.is_ok()), (200, true), "the turn is complete and retained");
    world.ingress.finish().await;
    assert_eq!(spent(&world.state).await, TOKENS_PER_EVENT);
}

const TURNS: usize = 24;
const EVENTS: &[&str] = &["a", "b"];

/// How a caller of the seeded test ends.
#[derive(Debug, Clone, Copy)]
enum Caller {
    Waits,
    Disconnects(Duration),
}

async fn check_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let engine = FakeBackend::start("e1", &vec![Behaviour::Events(EVENTS); TURNS]).await;
    let (world, state) = World::behind_link(&[&engine]).await;
    let (mut received, mut left) = (0, Vec::new());
    for number in 0..TURNS {
        let links = [Link::Passes, Link::LosesReply, Link::HoldsCommand, Link::HoldsCopy];
        state.set_link(links[rng.random_range(0..links.len())]);
        let outage = rng.random_bool(0.2);
        world.state.set_available(shard(), !outage);
        let caller = match rng.random_bool(0.5) {
            true => Caller::Waits,
            false => Caller::Disconnects(Duration::from_micros(rng.random_range(0..3_000))),
        };
        let id = format!("t{number}");
        let mut request = turn("/kept/x", &id, None);
        request.caller_timeout = Some(Duration::from_millis(60));
        request.turn.as_mut().unwrap().token_budget = None;
        request.turn.as_mut().unwrap().session =
            SessionId::new(format!("s{}", number % 3)).unwrap();
        let ingress = world.ingress.clone();
        let serving = tokio::spawn(async move {
            match ingress.serve(&request).await {
                IngressAnswer::Forwarded(_, body) => support::read_body(body).await.is_ok(),
                IngressAnswer::Refused(_) => false,
            }
        });
        match caller {
            Caller::Waits => {
                let complete = serving.await.expect("no panic");
                received += if complete { EVENTS.len() as u64 * TOKENS_PER_EVENT } else { 0 };
                if !complete {
                    left.push(id);
                }
            }
            Caller::Disconnects(after) => {
                tokio::time::sleep(after).await;
                serving.abort();
                // The turn may also have completed before.
                let _ = serving.await;
                left.push(id);
            }
        }
        if rng.random_bool(0.3) {
            world.state.set_available(shard(), true);
            state.deliver().await;
        }
    }
    world.state.set_available(shard(), true);
    world.ingress.finish().await;
    state.deliver().await;
    let executed = engine.executed();
    let reached = left.iter().filter(|id| executed.iter().any(|ran| ran.id == **id)).count() as u64;
    let spent = spent(&world.state).await;
    let most = received + reached * EVENTS.len() as u64 * TOKENS_PER_EVENT;
    let range = received..=most;
    assert!(range.contains(&spent), "seed {seed}: {spent} tokens are spent, not {range:?}");
}

/// Guards against reservations that are left behind, and against tokens that are not counted,
/// whatever the order of starts, cancellations, disconnects and outages.
#[tokio::test]
async fn turns_that_reach_no_engine_cost_no_budget_whatever_the_order_of_events() {
    run_seeds(check_seed).await;
}
