use super::*;

fn line(values: &[Option<f64>]) -> Line {
    let points = values.iter().enumerate().map(|(i, y)| (i as f64, *y)).collect();
    Line { name: "served".into(), points }
}

#[test]
fn a_line_breaks_where_there_is_no_value() {
    let whole = lines(&[line(&[Some(1.0); 6])], Axes::default()).unwrap();
    let broken = [Some(1.0), Some(1.0), None, None, Some(1.0), Some(1.0)];
    let broken = lines(&[line(&broken)], Axes::default()).unwrap();
    let count = |svg: &str| svg.matches("stroke-width=\"2\"").count();
    assert_eq!((count(&whole), count(&broken)), (1, 2));
}

#[test]
fn a_fault_is_shaded_and_named() {
    let fault = FaultMark { kind: "hall_cut".into(), from_s: 1.0, until_s: 3.0, what: "grafarholt".into() };
    let axes = Axes { faults: std::slice::from_ref(&fault), ..Axes::default() };
    let svg = lines(&[line(&[Some(0.4); 5])], axes).unwrap();
    assert!(svg.contains("hall_cut") && svg.contains("<rect"), "{svg}");
}

#[test]
fn a_lane_shows_what_it_sees_and_when_it_is_not_there() {
    let lane = Lane { name: "f0".into(), shades: vec![(1.0, 2.0, 0.5)], ..Lane::default() };
    let gone = Lane { away: vec![(2.0, 9.0)], ..lane.clone() };
    let count = |lane: Lane| lanes(&[lane], (0.0, 4.0), &[]).unwrap().matches("<rect").count();
    assert_eq!(count(gone), count(lane) + 1);
}

#[test]
fn a_long_line_is_thinned_and_keeps_its_mean() {
    let points: Vec<(f64, Option<f64>)> =
        (0..86_400).map(|i| (f64::from(i), Some(f64::from(i % 2)))).collect();
    let thinned = thin(&points);
    assert!(thinned.len() <= MOST_POINTS);
    let mean = thinned.iter().filter_map(|(_, y)| *y).sum::<f64>() / thinned.len() as f64;
    assert!((mean - 0.5).abs() < 1e-6, "{mean}");
}

#[test]
fn plots_of_nothing_are_drawn_too() {
    assert!(lines(&[], Axes::default()).unwrap().starts_with("<svg"));
    assert!(map(&[], &[], &[]).unwrap().starts_with("<svg"));
    assert!(dots(&[], "served_worth").unwrap().starts_with("<svg"));
    assert!(lanes(&[], (0.0, 0.0), &[]).unwrap().starts_with("<svg"));
}
