//! Seeded runs in which backends reject requests and send rejections once more, at random places of
//! their connections.

mod support;

use hooklug_ingress::{IngressAnswer, Refusal};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Behaviour, FakeBackend, World, call, run_seeds};

const BACKENDS: usize = 3;
const CALLERS: usize = 12;
const CALLS_PER_CALLER: usize = 6;
/// Requests for which each backend has a scripted behaviour; it accepts all later ones.
const SCRIPT_LENGTH: usize = 60;
/// Share of the scripted requests that are rejected.
const REJECTED_SHARE: f64 = 0.7;
/// Most other requests on a connection before its late rejection.
const MAX_OTHERS: usize = 2;

fn script(rng: &mut ChaCha8Rng) -> Vec<Behaviour> {
    let mut behaviour = || match rng.random_bool(REJECTED_SHARE) {
        true if rng.random_bool(0.5) => {
            Behaviour::AtCapacityTwice(rng.random_range(0..=MAX_OTHERS))
        }
        true => Behaviour::AtCapacity,
        false => Behaviour::Answer(200, "done"),
    };
    (0..SCRIPT_LENGTH).map(|_| behaviour()).collect()
}

/// Whether an answer promises that its call was not run.
fn promises_not_run(answer: &IngressAnswer) -> bool {
    matches!(answer, IngressAnswer::Refused(Refusal::NotRun { .. }))
}

async fn check_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        backends.push(FakeBackend::start(&format!("e{number}"), &script(&mut rng)).await);
    }
    let world = World::new(&backends.iter().collect::<Vec<_>>()).await;
    let callers = (0..CALLERS).map(|caller| {
        let ingress = world.ingress.clone();
        tokio::spawn(async move {
            let mut answers = Vec::new();
            for number in 0..CALLS_PER_CALLER {
                let id = format!("c{caller}-{number}");
                let answer = ingress.serve(&call("/once/x", &id)).await;
                answers.push((id, answer));
            }
            answers
        })
    });
    let answers = futures::future::join_all(callers.collect::<Vec<_>>()).await;
    let executed: Vec<_> = backends.iter().flat_map(FakeBackend::executed).collect();
    for (id, answer) in answers.into_iter().flat_map(|answers| answers.expect("a caller")) {
        let runs = executed.iter().filter(|ran| ran.id == id).count();
        assert!(runs <= 1, "seed {seed}: {id} ran {runs} times");
        let refuted = promises_not_run(&answer) && runs > 0;
        assert!(!refuted, "seed {seed}: {id} ran, but was reported as not run");
    }
}

/// Guards against calls that run twice, or are reported as not run although they ran, whatever the
/// order of rejections and their late copies.
#[tokio::test]
async fn calls_run_at_most_once_whatever_the_order_of_late_rejections() {
    run_seeds(check_seed).await;
}
