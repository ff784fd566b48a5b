use super::*;

#[test]
fn the_usage_of_a_running_process_is_read() {
    let before = Usage::of(std::process::id()).expect("process is running");
    let opened: Vec<_> = (0..10).map(|_| fs::File::open("/dev/null").expect("file is created")).collect();
    let after = Usage::of(std::process::id()).expect("process is running");
    // Other tests in this process open and close files too.
    assert!(after.descriptors >= 10 && opened.len() == 10);
    assert!(before.memory_kb > 500 && after.cpu >= before.cpu);
    assert_eq!(Usage::of(u32::MAX), None, "no process has this id");
}
