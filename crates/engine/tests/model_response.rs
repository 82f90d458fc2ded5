//! Validation of a model server's response: arbitrary chunk boundaries and invalid responses.

use hooklug_engine::model::{InvalidResponse, ResponseValidator};
use hooklug_session::{ModelEnd, ModelEvent};
use hooklug_types::TokenCount;
use proptest::prelude::*;

fn lines(count: u64) -> Vec<String> {
    let mut lines: Vec<String> = (1..=count)
        .map(|seq| format!(r#"{{"request":"r-1","seq":{seq},"text":"w{seq}","tokens":2}}"#))
        .collect();
    let (seq, tokens) = (count + 1, 2 * count);
    lines.push(format!(
        r#"{{"request":"r-1","seq":{seq},"end":"stop","tokens_total":{tokens},"events":{count}}}"#
    ));
    lines
}

fn check(pieces: &[&[u8]]) -> (Vec<ModelEvent>, Result<ModelEnd, InvalidResponse>) {
    let mut validator = ResponseValidator::new("r-1".to_owned());
    let mut events = Vec::new();
    for piece in pieces {
        if let Err(error) = validator.push(piece, &mut events) {
            return (events, Err(error));
        }
    }
    (events, validator.finish())
}

fn text(number: u64) -> ModelEvent {
    ModelEvent::Text { text: format!("w{number}"), tokens: TokenCount(2) }
}

proptest! {
    #[test]
    fn responses_parse_independently_of_chunk_boundaries(count in 0_u64..8, cuts in proptest::collection::vec(0_usize..400, 0..8)) {
        let body = lines(count).iter().map(|l| format!("{l}\n")).collect::<String>().into_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c % (body.len() + 1)).collect();
        cuts.extend([0, body.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|w| &body[w[0]..w[1]]).collect();
        let (events, end) = check(&pieces);
        prop_assert_eq!(events, (1..=count).map(text).collect::<Vec<_>>());
        prop_assert_eq!(end, Ok(ModelEnd::Stop));
    }

    /// With a line lost, repeated, swapped or truncated, the validator returns a prefix of the valid
    /// events and never an end.
    #[test]
    fn an_altered_response_never_ends_successfully(count in 1_u64..8, place in 0_usize..8, kind in 0..4) {
        let mut all = lines(count);
        let place = place % all.len();
        match kind {
            0 => drop(all.remove(place)),
            1 => all.insert(place, all[place].clone()),
            2 => {
                let other = (place + 1) % all.len();
                all.swap(place, other);
            }
            _ => {
                let half = all[place].len() / 2;
                all[place].truncate(half);
            }
        }
        let body = all.iter().map(|l| format!("{l}\n")).collect::<String>();
        let (events, end) = check(&[body.as_bytes()]);
        prop_assert!(end.is_err());
        let sound: Vec<ModelEvent> = (1..=count).map(text).take(events.len()).collect();
        prop_assert_eq!(events, sound);
    }
}

#[test]
fn invalid_responses_are_distinguished() {
    let crossed = lines(1)[0].replace("r-1", "r-2") + "\n";
    let found = "r-2".to_owned();
    assert_eq!(check(&[crossed.as_bytes()]).1, Err(InvalidResponse::WrongRequest { found }));
    let unknown = r#"{"request":"r-1","seq":1,"text":"a","tokens":1,"more":2}"#.to_owned() + "\n";
    assert!(matches!(check(&[unknown.as_bytes()]).1, Err(InvalidResponse::MalformedLine(_))));
    assert_eq!(check(&[b""]).1, Err(InvalidResponse::Truncated));
    let unended = lines(1).join("\n");
    assert_eq!(check(&[unended.as_bytes()]).1, Err(InvalidResponse::Truncated));
}
