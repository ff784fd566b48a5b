use super::*;

#[test]
fn a_number_that_was_given_back_finds_nothing() {
    let mut t = Table::new();
    let a = t.insert('a');
    assert_eq!(t.remove(a), Some('a'));
    let b = t.insert('b');
    assert_eq!((t.get(a), t.get(b)), (None, Some(&'b')));
    assert_eq!(t.remove(a), None);
    assert_eq!(t.len(), 1);
}
