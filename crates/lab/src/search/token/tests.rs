use super::*;
use world::scenario::{Fault, FaultKind};

const PREFIX: &str = Scenario::PREFIX;

fn read(word: &str) -> Result<Token, TokenError> {
    Token::read(word)
}

fn token() -> Token {
    let mut scenario = Scenario { name: "hang".into(), seconds: 12.3, ..Scenario::default() };
    scenario.clients.rate_per_s = 0.1 + 0.2;
    scenario.ledger.capacity_per_s = Some(40.0);
    scenario.nodes.truncate(1);
    scenario.faults = vec![Fault { node: Some(2), ..Fault::new(FaultKind::Hang, 1.5, 3.0) }];
    Token { scenario, seed: u64::MAX - 3, plant: Some("lost_request".into()) }
}

#[test]
fn a_token_round_trips_also_in_upper_case() {
    let word = token().write();
    assert_eq!(read(&word), Ok(token()));
    assert_eq!(read(&format!(" {}\n", word.to_ascii_uppercase())), Ok(token()));
    assert!(word.len() < 400, "a token should fit in a few terminal lines, length {}", word.len());
}

#[test]
fn a_token_with_any_letter_changed_or_missing_is_rejected() {
    let word = token().write();
    for i in PREFIX.len()..word.len() {
        let mut other = word.clone().into_bytes();
        other[i] = if other[i] == b'a' { b'b' } else { b'a' };
        let other = String::from_utf8(other).unwrap();
        assert!(read(&other).is_err(), "letter {i} changed");
        let mut lost = word.clone();
        lost.remove(i);
        assert!(read(&lost).is_err(), "letter {i} lost");
    }
}

#[test]
fn a_word_that_is_no_token_differs_from_an_unsupported_version() {
    for word in ["", "lab", "la\u{e9}x", "hello there", "LABXabc"] {
        assert_eq!(read(word), Err(TokenError::Foreign(PREFIX)), "{word}");
    }
    assert_eq!(read("lab7abcd"), Err(TokenError::Version("lab7".into(), PREFIX)));
    assert!(matches!(read("lab1"), Err(TokenError::Damaged(_))));
}

#[test]
fn a_token_made_with_other_defaults_is_rejected() {
    let content = Content { defaults: 0xdead_beef, seed: 1, plant: None, patch: "{}".into() };
    let word = seal(PREFIX, &content);
    assert_eq!(read(&word), Err(TokenError::OtherDefaults));
}

#[test]
fn a_patch_removes_adds_and_descends_into_lists_of_tables() {
    let whole =
        serde_json::json!({"a": 1, "b": {"c": 2, "d": 3}, "l": [{"x": 1, "y": [1, 2]}], "m": [{"z": 1}]});
    let wanted = serde_json::json!(
            {"b": {"c": 2, "e": [1]}, "l": [{"x": 4, "y": [1, 2]}, {"x": 1, "y": [1]}], "m": []});
    let patch = difference(&whole, &wanted).unwrap();
    let mut patched = whole;
    merge(&mut patched, patch.clone());
    assert_eq!(patched, wanted);
    assert_eq!(patch["l"], serde_json::json!({"length": 2, "0": {"x": 4}, "1": {"y": [1]}}));
}

#[test]
fn fleet_schedules_have_their_own_token_prefix() {
    let schedule = Schedule { name: "cut".into(), seconds: 4.2, ..Schedule::default() };
    let token = Token { scenario: schedule, seed: 7, plant: None };
    let word = token.write();
    assert_eq!(Token::<Schedule>::read(&word), Ok(token));
    assert_eq!(read(&word), Err(TokenError::Foreign(PREFIX)));
}
