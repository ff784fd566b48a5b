use super::*;

#[test]
fn a_grid_holds_each_combination_once() {
    let axes: Vec<Axis> = ["a=1,2&c=3,4", "b=x,y,z"].iter().map(|t| t.parse().unwrap()).collect();
    let texts: Vec<String> =
        grid(&axes).iter().map(|p| p.iter().map(|s| s.written.as_str()).collect()).collect();
    assert_eq!(texts, ["13x", "13y", "13z", "24x", "24y", "24z"]);
}
