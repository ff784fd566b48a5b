use super::*;

#[test]
fn every_draw_is_a_valid_scenario_and_all_kinds_are_drawn() {
    let mut kinds_seen = std::collections::BTreeSet::new();
    let one_hall = Scenario { halls: vec!["only".into()], seconds: 0.5, ..Scenario::default() };
    for base in [Scenario::default(), one_hall] {
        for position in 0..600 {
            let (scenario, _) = draw(&base, &Bounds::default(), 9, position);
            assert_eq!(scenario.validate(), Ok(()), "{position}: {:?}", scenario.faults);
            assert!((1..=3).contains(&scenario.faults.len()) && is_fair(&scenario));
            kinds_seen.extend(scenario.faults.iter().map(|f| f.kind));
        }
    }
    assert_eq!(kinds_seen.len(), FaultKind::ALL.len(), "{kinds_seen:?}");
}

#[test]
fn a_restart_that_kills_too_soon_and_two_proxy_faults_are_unfair() {
    let with = |faults: &[Fault]| Scenario { faults: faults.to_vec(), ..Scenario::default() };
    let restart = |down| Fault { down_s: Some(down), ..Fault::new(FaultKind::ProxyRestart, 1.0, 0.0) };
    // The longest patience of the default classes is 2.5 s.
    assert!(is_fair(&with(&[restart(3.2)])) && !is_fair(&with(&[restart(3.1)])));
    assert!(!is_fair(&with(&[restart(4.0), Fault::new(FaultKind::ProxyCrash, 30.0, 0.0)])));
}

#[test]
fn a_draw_depends_only_on_its_seed_and_position() {
    let base = Scenario::default();
    let bounds = Bounds::default();
    assert_eq!(draw(&base, &bounds, 1, 5), draw(&base, &bounds, 1, 5));
    assert_ne!(draw(&base, &bounds, 1, 5), draw(&base, &bounds, 1, 6));
    assert_ne!(draw(&base, &bounds, 1, 5), draw(&base, &bounds, 2, 5));
}
