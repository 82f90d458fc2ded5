//! The fake model server: deterministic text, cache, queue and faults; and the engine list.

mod common;

use common::*;
use hooklug_emulator::model::text::{ContextItem, plan_response};
use hooklug_emulator::{
    EngineList, FakeBackend, FaultKind, LedgerEntry, ListedEngine, PlatformList, PlatformOptions,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};

const LAG: std::time::Duration = std::time::Duration::from_millis(50);

async fn generate(to: &FakeBackend, request: &str, session: &str, input: &str) -> ClientResponse {
    let body = json!({
        "session": session, "turn": "t1", "prefix": "greenhouse", "max_tokens": 12,
        "context": [{"role": "user", "text": "hello there"}], "input": input,
    });
    let headers = [("x-hooklug-request", request)];
    send(to.address(), Method::POST, "/generate", &headers, &body).await
}

fn lines(body: &[u8]) -> Vec<Value> {
    body.split(|b| *b == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect()
}

fn text_of(lines: &[Value]) -> String {
    lines.iter().filter_map(|line| line["text"].as_str()).collect()
}

#[tokio::test]
async fn stream_lines_are_numbered_and_their_text_is_determined_by_the_context() {
    let model = model().await;
    let (status, headers, body) = generate(&model, "r1", "p/s", "vent?").await.complete();
    assert_eq!((status, &headers["x-hooklug-request"]), (StatusCode::OK, &"r1".parse().unwrap()));
    let lines = lines(&body);
    assert!(lines.iter().enumerate().all(|(n, line)| line["seq"] == n + 1));
    assert!(lines.iter().all(|line| line["request"] == "r1"));
    let context = [ContextItem { role: "user".to_owned(), text: "hello there".to_owned() }];
    let plan = plan_response(7, &context, "vent?", 12);
    assert_eq!(text_of(&lines), plan.tokens.concat());
    let end = lines.last().unwrap();
    assert_eq!(end["events"], lines.len() - 1);
    assert_eq!(end["tokens_total"], plan.tokens.len());
    assert_eq!(end["end"], if plan.limited { "length" } else { "stop" });
}

#[tokio::test]
async fn an_input_can_request_a_length_and_a_tool_call() {
    let model = model().await;
    let input = "[tokens 4] [tool read_sensor]";
    let lines = lines(&generate(&model, "r1", "p/s", input).await.complete().2);
    assert_eq!(lines[1]["tool"]["name"], "read_sensor");
    assert_eq!(lines.last().unwrap()["tokens_total"], 4);
    assert_eq!(lines.last().unwrap()["events"], 5);
    assert_eq!(lines.last().unwrap()["end"], "stop");
}

#[tokio::test]
async fn the_cache_hits_on_a_known_prefix_and_history() {
    let model = model().await;
    for (request, session) in [("r1", "p/s"), ("r2", "p/other"), ("r3", "p/s")] {
        generate(&model, request, session, "go on").await.complete();
    }
    let found: Vec<_> = model
        .ledger()
        .into_iter()
        .filter_map(|line| match line.entry {
            LedgerEntry::GenerationBegan { prefix_hit, uncached_tokens, .. } => {
                Some((prefix_hit, uncached_tokens))
            }
            _ => None,
        })
        .collect();
    assert_eq!(found, [(false, 104), (true, 4), (true, 0)]);
}

#[tokio::test]
async fn faults_break_streams_recognisably() {
    let model = model().await;
    model.set_faults(faults(FaultKind::CutShort));
    assert!(matches!(generate(&model, "r1", "p/s", "one").await, ClientResponse::Truncated));
    model.set_faults(faults(FaultKind::LoseAnswer));
    assert!(matches!(generate(&model, "r2", "p/s", "two").await, ClientResponse::NoResponse));
    model.set_faults(faults(FaultKind::Garble));
    let (_, _, body) = generate(&model, "r3", "p/s", "three").await.complete();
    let is_corrupt = body
        .split(|b| *b == b'\n')
        .any(|l| serde_json::from_slice::<Value>(l).is_err() && !l.is_empty());
    assert!(is_corrupt);
    model.set_faults(faults(FaultKind::Cross));
    let (_, headers, body) = generate(&model, "r4", "p/s", "four").await.complete();
    assert_eq!(headers["x-hooklug-request"], "r3");
    assert!(lines(&body).iter().all(|line| line["request"] == "r3"));
}

#[tokio::test]
async fn a_disconnected_reader_aborts_its_generation() {
    let model = model().await;
    model.set_faults(faults(FaultKind::Stall));
    let waiting = tokio::spawn({
        let address = model.address();
        async move {
            let body = json!({"session": "p/s", "turn": "t", "max_tokens": 9, "input": "x"});
            let headers = [("x-hooklug-request", "r1")];
            send(address, Method::POST, "/generate", &headers, &body).await
        }
    });
    while model.running() == 0 {
        tokio::task::yield_now().await;
    }
    waiting.abort();
    let _ = waiting.await;
    let ended = || {
        model.ledger().into_iter().find_map(|line| match line.entry {
            LedgerEntry::GenerationEnded { end, .. } => Some(end),
            _ => None,
        })
    };
    while ended().is_none() {
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    assert_eq!(ended().unwrap(), "aborted");
    assert_eq!(model.running(), 0);
}

#[tokio::test]
async fn a_full_queue_is_refused_explicitly() {
    let model = model().await;
    model.set_faults(faults(FaultKind::Stall));
    let blocked: Vec<_> = (0..3)
        .map(|n| {
            let address = model.address();
            tokio::spawn(async move {
                let body = json!({"session": "p/s", "turn": "t", "max_tokens": 9, "input": "x"});
                let id = format!("r{n}");
                let headers = [("x-hooklug-request", id.as_str())];
                send(address, Method::POST, "/generate", &headers, &body).await
            })
        })
        .collect();
    while model.running() < 3 {
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    let (status, headers, _) = generate(&model, "r9", "p/s", "late").await.complete();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(headers["x-hooklug-refused"], "overloaded");
    blocked.into_iter().for_each(|task| task.abort());
}

#[tokio::test]
async fn the_engine_list_changes_after_its_lag() {
    let entry = |port: u16| ListedEngine {
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        zone: "z1".parse().unwrap(),
    };
    let options = PlatformOptions {
        listen: LISTEN.parse().unwrap(),
        engines: EngineList { engines: vec![entry(1)] },
        lag: LAG,
    };
    let list = PlatformList::start(options).await.unwrap();
    let changed = std::time::Instant::now();
    list.set(EngineList { engines: vec![entry(2)] });
    loop {
        let listed = get(list.address(), "/engines").await;
        if listed["engines"][0]["address"] == "127.0.0.1:2" {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    assert!(changed.elapsed() >= LAG);
}
