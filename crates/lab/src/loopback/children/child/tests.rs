use super::*;

fn shell(script: &str) -> Child {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", script]);
    Child::spawn("p0", command, |_| {}).expect("process starts")
}

const LIMITS: Limits = Limits { memory_kb: 1 << 30, descriptors: 64, file_bytes: None };

#[test]
fn an_error_about_a_dead_child_quotes_its_last_log_lines() {
    let mut child = shell("echo first >&2; echo bad luck >&2; exit 3");
    let status = child.wait(Duration::from_secs(20)).expect("process exits");
    assert_eq!(status.code(), Some(3));
    assert!(child.error("died").to_string().ends_with("died; last log lines:\n  first\n  bad luck"));
}

#[test]
fn exceeded_limits_are_reported_and_drop_kills_the_child() {
    let child = shell("exec sleep 600");
    let (few, little) = (Limits { descriptors: 1, ..LIMITS }, Limits { memory_kb: 1, ..LIMITS });
    let usage = child.usage().expect("process is running");
    assert!(child.limit_error(LIMITS, usage).is_none());
    let message = child.limit_error(few, usage).expect("at least three are open").to_string();
    assert!(message.contains("descriptors, the limit is 1"), "{message}");
    assert!(child.limit_error(little, usage).expect("uses more than 1 KB").to_string().contains("of memory"));
    let pid = child.pid();
    drop(child);
    assert_eq!(Usage::of(pid), None);
}
