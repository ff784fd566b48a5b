use super::*;

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let mut table = Table::new(&["class", "p99"]);
    table.row(["lookup".into(), "12.5".into()]);
    table.row(["á".into(), "1234.5".into()]);
    assert_eq!(table.to_string(), "class      p99\nlookup    12.5\ná       1234.5\n");
}
