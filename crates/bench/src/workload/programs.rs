//! Programs of simulated users: turns with tool calls between them, one program after another.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hooklug_fleet::caller::{CallRequest, SessionRef, TurnRequest};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::calls::{CALL_RETRY_TIME, CallPlan};
use super::client::Client;
use super::profile::Profile;
use crate::oracle::evidence::{TurnClaim, TurnRecord};

/// Tokens of a large budget: more than a program streams.
const LARGE_BUDGET: u64 = 100_000;
/// Number of shared prompt prefixes.
const SHARED_PREFIXES: u64 = 4;

/// Runs `count` concurrent users, each of which runs one program after another, until `stop` is
/// cancelled. Their starts are spread over `ramp`.
pub async fn run_programs(
    client: &Client,
    profile: &Profile,
    count: usize,
    ramp: Duration,
    seed: u64,
    stop: &CancellationToken,
) {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let profile = Arc::new(profile.clone());
    let mut users = JoinSet::new();
    for user in 0..count {
        let delay = ramp.mul_f64(user as f64 / count as f64);
        let user = User {
            client: client.clone(),
            profile: profile.clone(),
            random: ChaCha8Rng::seed_from_u64(seed ^ (run << 32) ^ user as u64),
            name: format!("r{run}-u{user}"),
            programs: 0,
        };
        users.spawn(user.run(delay, stop.clone()));
    }
    while users.join_next().await.is_some() {}
}

/// A simulated user that runs one program after another.
struct User {
    client: Client,
    profile: Arc<Profile>,
    random: ChaCha8Rng,
    name: String,
    programs: u64,
}

impl User {
    async fn run(mut self, delay: Duration, stop: CancellationToken) {
        if stop.run_until_cancelled(tokio::time::sleep(delay)).await.is_none() {
            return;
        }
        while !stop.is_cancelled() {
            self.run_program(&stop).await;
        }
    }

    fn random_gateway(&mut self) -> usize {
        self.random.random_range(0..64)
    }

    async fn run_program(&mut self, stop: &CancellationToken) {
        self.programs += 1;
        let program = format!("{}-p{}", self.name, self.programs);
        let max_turn_tokens = self.profile.turn_tokens.1;
        let has_small_budget = self.random.random_bool(self.profile.small_budget_share);
        let budget = if has_small_budget {
            max_turn_tokens * self.random.random_range(1..4)
        } else {
            LARGE_BUDGET
        };
        let gateway = self.random_gateway();
        if self.client.declare_program(gateway, &program, budget, max_turn_tokens).await.is_err() {
            return;
        }
        // Two sessions compete for a small budget.
        let sessions = if has_small_budget { 2 } else { 1 };
        let mut running = JoinSet::new();
        for number in 0..sessions {
            let session_run = SessionRun {
                client: self.client.clone(),
                profile: self.profile.clone(),
                random: ChaCha8Rng::seed_from_u64(self.random.random()),
                session: SessionRef::new(&program, &format!("s{number}")),
                calls: 0,
            };
            running.spawn(session_run.run(stop.clone()));
        }
        while running.join_next().await.is_some() {}
    }
}

/// One session of a program, from opening it to its last turn.
struct SessionRun {
    client: Client,
    profile: Arc<Profile>,
    random: ChaCha8Rng,
    session: SessionRef,
    calls: u64,
}

impl SessionRun {
    fn random_gateway(&mut self) -> usize {
        self.random.random_range(0..64)
    }

    async fn run(mut self, stop: CancellationToken) {
        let prefix = format!("prefix-{}", self.random.random_range(0..SHARED_PREFIXES));
        let gateway = self.random_gateway();
        if self
            .client
            .open_session(gateway, &self.session, &self.profile.model, &prefix)
            .await
            .is_err()
        {
            return;
        }
        let leave = CancellationToken::new();
        let join_task = self.random.random_bool(self.profile.join_share).then(|| {
            let (client, session, leave) =
                (self.client.clone(), self.session.clone(), leave.clone());
            let gateway = gateway + 1;
            tokio::spawn(async move { client.join_session(gateway, &session, leave).await })
        });
        self.run_turns(&stop).await;
        leave.cancel();
        if let Some(join_task) = join_task {
            // The task only records events, so its result is ignored.
            let _ = join_task.await;
        }
    }

    async fn run_turns(&mut self, stop: &CancellationToken) {
        let mut after: Option<String> = None;
        for number in 0..self.profile.max_turns {
            if stop.is_cancelled() {
                return;
            }
            let record = self.run_turn(number, after.as_deref()).await;
            match &record.claim {
                TurnClaim::Ended(_) => after = Some(record.turn.clone()),
                TurnClaim::Refused(_) | TurnClaim::Inconclusive(_) => return,
            }
            let gateway = self.random_gateway();
            // The poll only records the owner, so a failed one is ignored.
            let _ = self.client.poll_session(gateway, &self.session).await;
            if self.random.random_bool(self.profile.call_share) {
                self.run_calls().await;
            }
            let pause = self.profile.max_think_time.mul_f64(self.random.random_range(0.2..1.0));
            stop.run_until_cancelled(tokio::time::sleep(pause)).await;
        }
    }

    async fn run_turn(&mut self, number: u32, after: Option<&str>) -> TurnRecord {
        let (min_tokens, max_tokens) = self.profile.turn_tokens;
        let tokens = self.random.random_range(min_tokens..=max_tokens);
        let tool = if self.random.random_bool(0.2) { " [tool read_sensor]" } else { "" };
        let input = format!("Vent or heat, {}? [tokens {tokens}]{tool}", self.session.program);
        let turn = TurnRequest::new(&format!("t{number}"), after, &input, max_tokens);
        let gateway = self.random_gateway();
        self.client.run_turn(gateway, &self.session, &turn).await
    }

    async fn run_calls(&mut self) {
        for _ in 0..self.random.random_range(1..=self.profile.max_calls.max(1)) {
            let Some(plan) = self.plan_call() else { return };
            let gateway = self.random_gateway();
            let answer = self.client.run_call(gateway, &plan).await;
            if let Some(answer) = answer.filter(|_| self.random.random_bool(0.5)) {
                self.send_result(&plan.call, &answer).await;
            }
        }
    }

    async fn send_result(&mut self, call: &str, answer: &Value) {
        let gateway = self.random_gateway();
        // A lost result violates no promise; if it was accepted, its event appears in the history.
        let _ = self.client.caller().send_tool_result(gateway, &self.session, call, answer).await;
    }

    fn plan_call(&mut self) -> Option<CallPlan> {
        let may_repeat = !self.random.random_bool(self.profile.non_repeatable_share);
        let tools =
            if may_repeat { &self.profile.repeatable } else { &self.profile.non_repeatable };
        let tool = tools.get(self.random.random_range(0..tools.len().max(1)))?.clone();
        self.calls += 1;
        let call = format!("{}-c{}", self.session.session, self.calls);
        let arguments = json!({"of": self.session.program, "call": call});
        let request = CallRequest::new(&tool, arguments);
        let send_again = self.random.random_bool(0.2);
        Some(CallPlan {
            program: self.session.program.clone(),
            call,
            request,
            may_repeat,
            send_again,
            retry_time: CALL_RETRY_TIME,
        })
    }
}
