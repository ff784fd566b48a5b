use super::*;

#[test]
fn a_removed_handle_finds_nothing_after_its_slot_is_reused() {
    let mut t = SlotTable::new();
    let a = t.insert('a');
    assert_eq!(t.remove(a), Some('a'));
    let b = t.insert('b');
    assert_eq!((t.get(a), t.get(b)), (None, Some(&'b')));
    assert_eq!(t.remove(a), None);
    assert_eq!(t.len(), 1);
}
