use super::*;

#[test]
fn only_the_window_counts_and_it_stays_small() {
    let mut p = WindowSum::new(1_000_000);
    let sums: Vec<f64> = (0..3000).map(|ms| p.add(ms * 1000, 1.0)).collect();
    assert_eq!(sums[500], 501.0);
    assert!((sums[2999] - 1000.0).abs() <= 20.0, "{}", sums[2999]);
    assert!(p.spans.len() <= SPANS as usize);
    assert_eq!(p.sum(10_000_000), 0.0);
}
