use super::*;
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Thing {
    rate: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    note: Option<String>,
    parts: Vec<Part>,
}

#[derive(Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Part {
    name: String,
    count: u32,
}

fn thing() -> Thing {
    let part = |name: &str| Part { name: name.into(), count: 1 };
    Thing { rate: 1.5, note: None, parts: vec![part("full"), part("half")] }
}

fn set(texts: &[&str]) -> Result<Thing, String> {
    let settings: Vec<Setting> = texts.iter().map(|t| t.parse().unwrap()).collect();
    apply(&thing(), &settings).map_err(|e| e.to_string())
}

#[test]
fn a_path_reaches_fields_numbered_elements_and_named_ones() {
    let got = set(&["rate=20", "parts.0.count=7", "parts.half.count=9", "note=as it is"]).unwrap();
    assert_eq!((got.rate, got.parts[0].count, got.parts[1].count), (20.0, 7, 9));
    assert_eq!(got.note.as_deref(), Some("as it is"));
}

#[test]
fn an_empty_value_removes_a_setting() {
    assert_eq!(set(&["note=x", "note="]).unwrap().note, None);
}

#[rstest]
#[case("rat=1", "unknown field `rat`, expected one of `rate`, `note`, `parts`")]
#[case("part.0.count=1", "no 'part' in the scenario; wanted: parts, rate")]
#[case("parts.2.count=1", "no element '2' in parts, which has 2")]
#[case("rate.x=1", "rate has no parts, so no 'x'")]
#[case("rate=fast", "invalid type: string \"fast\", expected f64")]
#[case("parts.0.count=-1", "invalid value: integer `-1`, expected u32")]
fn an_impossible_change_says_what_was_expected(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(set(&[text]).unwrap_err(), format!("{text}: {expected}"));
}

#[rstest]
#[case("rate")]
#[case("=4")]
#[case("a..b=4")]
fn a_text_without_a_path_is_rejected(#[case] text: &str) {
    assert!(text.parse::<Setting>().is_err());
}

#[test]
fn an_axis_has_a_setting_for_each_value_and_keeps_lists_intact() {
    let axis: Axis = "rate = 1, 2.5,x,[1,2], \"a,b\"".parse().unwrap();
    let values: Vec<Value> = axis.points.iter().map(|p| p[0].value.clone()).collect();
    assert_eq!(values, [1.into(), 2.5.into(), "x".into(), vec![1, 2].into(), Value::from("a,b")]);
    assert!("rate=1,,2".parse::<Axis>().is_err());
}

#[test]
fn paths_varied_together_need_equally_many_values() {
    let axis: Axis = "nodes=1,2&rate=10,20".parse().unwrap();
    assert_eq!(axis.paths, ["nodes", "rate"]);
    let texts: Vec<String> =
        axis.points.iter().map(|p| p.iter().map(|s| format!("{s} ")).collect()).collect();
    assert_eq!(texts, ["nodes=1 rate=10 ", "nodes=2 rate=20 "]);
    let error = "nodes=1,2&rate=10".parse::<Axis>().unwrap_err();
    assert_eq!(error, "rate has 1 values; wanted: 2");
}
