use super::*;
use world::outcome::Second;

#[test]
fn every_figure_is_read_by_the_name_that_it_shows() {
    for name in PLAIN.iter().map(|(name, _)| *name).chain(["p50.lookup", "p999.instruct"]) {
        assert_eq!(name.parse::<Figure>().unwrap().to_string(), name);
    }
    for wrong in ["", "p98.lookup", "p99.", "worth"] {
        assert!(wrong.parse::<Figure>().is_err(), "{wrong}");
    }
}

#[test]
fn a_figure_that_a_run_lacks_is_no_number() {
    for name in ["p99.lookup", "hits", "crossings", "busiest"] {
        assert!(name.parse::<Figure>().unwrap().of(&Run::default()).is_nan(), "{name}");
    }
}

#[test]
fn the_busiest_node_is_measured_by_the_mean_of_its_second() {
    let second =
        |loads: &[f32], worth_asked| Second { node_load: loads.to_vec(), worth_asked, ..Second::default() };
    let timeline = vec![
        second(&[0.2, 0.4, 0.6], 1.0),
        second(&[0.0, 0.0], 1.0),
        second(&[0.5, 0.5], 1.0),
        second(&[0.0, 0.9], 0.0),
    ];
    let busiest = Figure::Busiest.of(&Run { timeline, ..Run::default() });
    assert!((busiest - 1.25).abs() < 1e-6, "{busiest}");
}
