use super::*;

#[test]
fn a_restarted_process_has_an_empty_view() {
    let change = |at, life, what| Change { at, life, what };
    let track = Track {
        changes: vec![
            change(0, 1, What::Started),
            change(1, 1, What::Connected("p0".into())),
            change(2, 1, What::Avoids("s1".into())),
            change(3, 1, What::Ended),
            change(4, 2, What::Started),
            change(5, 2, What::Avoids("s1".into())),
            change(6, 2, What::Returns("s2".into())),
            change(7, 2, What::Returns("s1".into())),
            change(8, 2, What::Avoids("s1".into())),
        ],
    };
    assert_eq!(track.avoided("s1"), [(2, Some(3), 1), (5, Some(7), 2), (8, None, 2)]);
    let states: Vec<(Micros, Now)> = track.states().collect();
    assert_eq!(states[4].1, Now { runs: true, ..Now::default() });
    assert_eq!(track.now().avoids.len(), 1);
}
