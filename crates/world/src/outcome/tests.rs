use super::*;

#[test]
fn steady_growth_is_distinguished_from_a_filling_table_and_from_noise() {
    let mut sizes = Sizes::new(1);
    for at in 0..200_usize {
        let filling = (4 * at).min(300);
        let tables = [("leaks", at), ("fills", filling), ("few", at / 50)];
        // Of two proxies the one with the larger table counts.
        sizes.take(tables.into_iter().chain([("leaks", at / 2)]));
    }
    let grown: Vec<&str> = sizes.grown(1.5).iter().map(|(table, _)| *table).collect();
    assert_eq!(grown, ["leaks"]);
    let span = Sizes::span(&sizes.tables["leaks"]);
    assert_eq!((span.start, span.middle, span.end, span.most), (9.5, 99.5, 189.5, 199));
    assert_eq!(Sizes::span(&[]).most, 0);
}
