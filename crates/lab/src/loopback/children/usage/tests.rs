use super::*;

#[test]
fn a_process_knows_what_it_uses() {
    let before = Usage::of(std::process::id()).expect("it runs");
    let opened: Vec<_> = (0..10).map(|_| fs::File::open("/dev/null").expect("a file")).collect();
    let after = Usage::of(std::process::id()).expect("it runs");
    // Other tests in this process open and close files too.
    assert!(after.descriptors >= 10 && opened.len() == 10);
    assert!(before.memory_kb > 500 && after.cpu >= before.cpu);
    assert_eq!(Usage::of(u32::MAX), None, "nobody has this number");
}
