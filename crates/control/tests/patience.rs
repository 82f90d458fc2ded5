//! How long rounds of discovery wait.

use std::time::Duration;

use hooklug_control::agent::AskPatience;

/// Seeds that are still dark when a node starts with them must not cost it the time of a whole call: a node that starts
/// 0.6 s after the others has asked again by then.
#[test]
fn the_first_rounds_are_short_and_later_ones_bear_far_peers() {
    let mut patience = AskPatience::default();
    let rounds: Vec<Duration> = (0..10).map(|_| patience.next_round()).collect();
    assert!(rounds[0] + rounds[1] < Duration::from_millis(600), "{rounds:?}");
    assert!(rounds.is_sorted());
    assert_eq!(rounds.last(), Some(&Duration::from_secs(1)));
}
