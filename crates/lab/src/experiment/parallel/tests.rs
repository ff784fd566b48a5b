use super::*;

#[test]
fn results_keep_the_order_of_the_items_on_any_number_of_threads() {
    let items: Vec<u64> = (0..500).collect();
    let wanted: Vec<u64> = items.iter().map(|x| x * x + 1).collect();
    for threads in [1, 2, 7, 64] {
        let threads = NonZeroUsize::new(threads).unwrap();
        assert_eq!(map(threads, &items, |i, x| i as u64 * x + 1), wanted);
    }
}

#[test]
fn no_items_give_no_results() {
    assert!(map(cores(), &[] as &[u8], |_, x| *x).is_empty());
}
