use super::*;

fn shell(script: &str) -> Child {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", script]);
    Child::spawn("p0", command, |_| {}).expect("it starts")
}

const LIMITS: Limits = Limits { memory_kb: 1 << 30, descriptors: 64, file_bytes: None };

#[test]
fn a_child_that_dies_is_told_with_its_last_words() {
    let mut child = shell("echo first >&2; echo bad luck >&2; exit 3");
    let status = child.wait(Duration::from_secs(20)).expect("it ends");
    assert_eq!(status.code(), Some(3));
    assert!(child.error("died").to_string().ends_with("died; it said last:\n  first\n  bad luck"));
}

#[test]
fn a_child_over_its_limits_is_told_and_none_outlives_its_drop() {
    let child = shell("exec sleep 600");
    let (few, little) = (Limits { descriptors: 1, ..LIMITS }, Limits { memory_kb: 1, ..LIMITS });
    let usage = child.usage().expect("it runs");
    assert!(child.limit_error(LIMITS, usage).is_none());
    let told = child.limit_error(few, usage).expect("three at least").to_string();
    assert!(told.contains("descriptors, 1 at most are allowed"), "{told}");
    assert!(child.limit_error(little, usage).expect("more than 1 KB").to_string().contains("of memory"));
    let pid = child.pid();
    drop(child);
    assert_eq!(Usage::of(pid), None);
}
