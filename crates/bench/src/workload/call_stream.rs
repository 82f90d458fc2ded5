//! Device calls (alarms and sensor readings) at a fixed rate, whether or not earlier calls were
//! answered. Programs call in closed loops, so that they alone never exceed the capacity of the
//! application engines.

use std::time::Duration;

use hooklug_fleet::Tool;
use hooklug_fleet::caller::CallRequest;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::calls::CallPlan;
use super::client::Client;

/// Time that a device waits for the result of its call; a later one is of no use to it.
const RESULT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which due calls are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Number of programs that the calls of a stream are spread over, so that all shards take part.
const PROGRAMS: u64 = 16;
/// Token budget of the devices' programs; calls stream no tokens.
const BUDGET: u64 = 1;

/// A stream of calls to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct CallStream {
    /// Prefix of the names of the devices' programs.
    pub name: String,
    /// Tools to call, chosen at random.
    pub tools: Vec<Tool>,
    /// Calls per second.
    pub per_second: f64,
}

impl CallStream {
    /// Sends calls until `stop` is cancelled, then waits for the calls in flight.
    pub async fn run(self, client: Client, seed: u64, stop: CancellationToken) {
        for number in 0..PROGRAMS {
            if client.declare_program(0, &self.program(number), BUDGET, BUDGET).await.is_err() {
                return;
            }
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut calls = JoinSet::new();
        let (started, mut sent) = (Instant::now(), 0_u64);
        let mut ticks = interval(SEND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            let due = (started.elapsed().as_secs_f64() * self.per_second) as u64;
            for number in sent..due {
                let Some(plan) = self.plan(number, &mut random) else { return };
                let (client, gateway) = (client.clone(), random.random_range(0..64));
                calls.spawn(async move { client.run_call(gateway, &plan).await });
            }
            sent = sent.max(due);
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    fn program(&self, number: u64) -> String {
        format!("{}-{}", self.name, number % PROGRAMS)
    }

    fn plan(&self, number: u64, random: &mut ChaCha8Rng) -> Option<CallPlan> {
        let tool = self.tools.choose(random)?;
        let call = format!("c{number}");
        let arguments = json!({"of": self.name, "call": call});
        let mut request = CallRequest::new(&tool.name, arguments);
        request.deadline_ms = RESULT_TIMEOUT.as_millis() as u64;
        Some(CallPlan {
            program: self.program(number),
            call,
            request,
            may_repeat: tool.may_repeat,
            send_again: false,
            retry_time: RESULT_TIMEOUT,
        })
    }
}
