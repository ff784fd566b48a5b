use super::*;

#[test]
fn every_draw_is_valid_and_fair_and_all_default_kinds_are_drawn() {
    let mut kinds_seen = std::collections::BTreeSet::new();
    let mut small = Schedule { seconds: 4.0, ..Schedule::default() };
    small.fleet.halls.truncate(1);
    (small.fleet.planners, small.fleet.forwarders, small.fleet.nodes) = (0, 1, 1);
    let mut drawn = 0;
    for base in [Schedule::default(), small] {
        for position in 0..600 {
            let (schedule, seed) = draw(&base, &Bounds::default(), 9, position);
            assert_eq!(schedule.validate(), Ok(()), "{position}: {:?}", schedule.faults);
            assert!(schedule.faults.len() <= 3 && is_fair(&schedule));
            assert!(schedule.plan(seed).over <= seconds(base.seconds * 3.0));
            drawn += usize::from(!schedule.faults.is_empty());
            kinds_seen.extend(schedule.faults.iter().map(|f| f.kind));
        }
    }
    assert_eq!(kinds_seen.len(), Bounds::default().kinds.len(), "{kinds_seen:?}");
    assert!(drawn > 900, "{drawn}");
}

#[test]
fn a_draw_depends_only_on_its_seed_and_position() {
    let (base, bounds) = (Schedule::default(), Bounds::default());
    assert_eq!(draw(&base, &bounds, 1, 5), draw(&base, &bounds, 1, 5));
    assert_ne!(draw(&base, &bounds, 1, 5), draw(&base, &bounds, 1, 6));
    assert_ne!(draw(&base, &bounds, 1, 5), draw(&base, &bounds, 2, 5));
}

#[test]
fn overlapping_process_faults_and_garbled_values_are_unfair() {
    let who = |word: &str, f: Fault| Fault { who: word.parse().ok(), ..f };
    let with = |faults: Vec<Fault>| Schedule { faults, ..Schedule::default() };
    let pause = who("f0", Fault::new(Kind::Pause, 1.0, 3.0));
    let restart = |name: &str| who(name, Fault::new(Kind::Restart, 2.0, 0.0));
    assert!(!is_fair(&with(vec![pause.clone(), restart("f0")])));
    assert!(is_fair(&with(vec![pause, restart("f1")])));
    let garble =
        Fault { between: "halls".parse().ok(), rate: Some(0.1), ..Fault::new(Kind::Garble, 1.0, 1.0) };
    assert!(!is_fair(&with(vec![garble])));
}
