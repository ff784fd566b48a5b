use super::*;

const TEXT: &str = "name = \"x\"\n\n[clients]\nrate_per_s = 3\n\n[[faults]]\nkind = \"hang\"\n\n[[faults]]\n\
                        kind = \"drain\"\nat_s = 4\n";

#[test]
fn a_path_has_the_line_of_its_key_or_of_its_parent() {
    let places = Places::of(TEXT);
    assert_eq!(places.line_of("clients.rate_per_s"), 4);
    assert_eq!(places.line_of("faults.1.at_s"), 11);
    assert_eq!(places.line_of("faults.1.for_s"), 9, "an absent key has the line of its table");
    assert_eq!(places.line_of("ledger.slots"), 1, "no prefix of the path occurs");
}

#[test]
fn a_byte_has_the_innermost_path_containing_it() {
    let places = Places::of(TEXT);
    let byte = TEXT.find("\"drain\"").unwrap();
    assert_eq!(places.path_at(byte), "faults.1.kind");
    assert_eq!(places.line_at(byte), 10);
}

#[test]
fn invalid_toml_has_no_positions() {
    assert_eq!(Places::of("a = = 3").line_of("a"), 1);
}
