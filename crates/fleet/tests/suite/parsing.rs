//! Parsing of topology files, process names and event streams, and the checks of a turn's events.

use std::path::Path;

use hooklug_bundle::validate;
use hooklug_fleet::caller::{SseParser, StreamEvent, Transcript};
use hooklug_fleet::{ProcessName, Topology};
use hooklug_types::BundleVersion;
use serde_json::json;

#[test]
fn every_topology_file_parses_and_yields_a_valid_bundle() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../topologies");
    let mut read = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let topology = Topology::read(&entry.unwrap().path()).unwrap();
        let bundle = topology.bundle(BundleVersion(1), BundleVersion(0)).unwrap();
        validate(&bundle).unwrap_or_else(|faults| panic!("{}: {faults:?}", topology.name));
        read.push(topology.name);
    }
    read.sort();
    assert_eq!(read, ["dalatek", "serra-verde", "small"]);
    assert_eq!(Topology::small().name, "small");
}

#[test]
fn impossible_topologies_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("t.toml");
    let good = toml::to_string(&Topology::small()).unwrap();
    for (from, to, named) in [
        ("stores = 4", "stores = 0", "stores"),
        ("gateways = 4", "gateways = 400", "addresses"),
        ("cores = 3", "kores = 3", "kores"),
        ("tenants = [\"serra-verde\"]", "tenants = []", "tenants"),
    ] {
        assert!(good.contains(from), "{from} in {good}");
        std::fs::write(&path, good.replace(from, to)).unwrap();
        let error = Topology::read(&path).unwrap_err().to_string();
        assert!(error.contains(named), "{error}");
    }
}

#[test]
fn process_names_round_trip_through_text() {
    for text in ["store:1", "core:0", "engine:12", "gateway:3", "model:2", "app:30", "platform:0"] {
        assert_eq!(text.parse::<ProcessName>().unwrap().to_string(), text);
    }
    for text in ["store", "store:", "store:x", "shop:1", ""] {
        assert!(text.parse::<ProcessName>().is_err(), "{text:?}");
    }
}

const STREAM: &str = ":\n\nid: 7\nevent: tokens\ndata: {\"turn\":\"t\",\n\
                      data: \"text\":\"ä \",\"count\":1}\n\n:\n\nid: 8\r\nevent: finished\r\n\
                      data: {\"turn\":\"t\",\"tokens\":1}\r\n\r\n";

#[test]
fn an_event_stream_parses_independently_of_chunk_boundaries() {
    let complete = SseParser::default().push(STREAM.as_bytes()).unwrap();
    assert_eq!(complete.len(), 2);
    assert_eq!((complete[0].id, &complete[0].data["text"]), (7, &json!("ä ")));
    assert!(complete[1].ends_turn());
    for size in 1..STREAM.len() {
        let mut parser = SseParser::default();
        let pieces = STREAM.as_bytes().chunks(size);
        let events: Vec<_> = pieces.flat_map(|piece| parser.push(piece).unwrap()).collect();
        assert_eq!(events, complete);
    }
    for bad in ["event: tokens\ndata: {}\n\n", "id: x\n", "id: 1\nevent: a\ndata: {\n\n"] {
        assert!(SseParser::default().push(bad.as_bytes()).is_err(), "{bad:?}");
    }
}

fn event(id: u64, kind: &str, data: serde_json::Value) -> StreamEvent {
    StreamEvent { id, event: kind.to_owned(), data }
}

fn complete_turn() -> Transcript {
    let events = vec![
        event(3, "turn", json!({"turn": "t", "after": null, "input": "x"})),
        event(4, "tokens", json!({"turn": "t", "text": "a ", "count": 1})),
        event(5, "tokens", json!({"turn": "t", "text": "b ", "count": 2})),
        event(6, "finished", json!({"turn": "t", "tokens": 3})),
    ];
    Transcript { events, cuts: 0 }
}

#[test]
fn a_transcript_check_detects_lost_repeated_and_spliced_events() {
    assert!(complete_turn().check("t").is_ok());
    assert_eq!((complete_turn().text().as_str(), complete_turn().end()), ("a b ", "finished"));
    let corruptions: [fn(&mut Vec<StreamEvent>); 6] = [
        |events| drop(events.remove(1)),
        |events| events.insert(2, events[1].clone()),
        |events| events[2].data["turn"] = json!("other"),
        |events| drop(events.pop()),
        |events| events[3].data["tokens"] = json!(4),
        |events| events.swap(1, 2),
    ];
    for (index, corrupt) in corruptions.into_iter().enumerate() {
        let mut transcript = complete_turn();
        corrupt(&mut transcript.events);
        assert!(transcript.check("t").is_err(), "damage {index} was not detected");
    }
    assert!(complete_turn().check("other").is_err());
    assert!(Transcript::default().check("t").is_err());
}
