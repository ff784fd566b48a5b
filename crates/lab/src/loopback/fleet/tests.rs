use super::*;
use std::io::Write;
use std::os::unix::fs::PermissionsExt;

#[test]
fn leaked_descriptors_are_reported() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = dir.path().join("proxy");
    let mut file = std::fs::File::create(&path).expect("file is created");
    let opens: String = (3..10).map(|n| format!(" {n}</dev/null")).collect();
    write!(file, "#!/bin/sh\nexec{opens}\nexec sleep 600\n").expect("file is written");
    file.set_permissions(std::fs::Permissions::from_mode(0o755)).expect("permissions are set");
    drop(file);
    let program = Program::unguarded(&path).expect("program exists");
    let limits = Limits { memory_kb: 1 << 20, descriptors: 64, file_bytes: None };
    let (notices, _) = async_channel::unbounded();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let executor = LocalExecutor::new();
    let mut fleet = Fleet::new(&program, limits, dir.path(), &[address], notices);
    fleet.start(ProxyNo(0), "{}", &executor).expect("process starts");
    let running = fleet.slots[0].running.as_mut().expect("process is running");
    // Once the shell has executed the other program, all descriptors are open and its script is closed.
    let name = format!("/proc/{}/comm", running.child.pid());
    while std::fs::read_to_string(&name).expect("process is running").trim() != "sleep" {
        std::thread::sleep(Duration::from_millis(5));
    }
    // The test process may inherit further descriptors.
    let open = running.child.usage().expect("process is running").descriptors;
    assert!(open >= 10, "{open}");
    running.at_start = Some(open - DESCRIPTOR_TOLERANCE);
    fleet.check_for_leaks().expect("within the tolerance");
    fleet.slots[0].running.as_mut().expect("process is running").at_start =
        Some(open - DESCRIPTOR_TOLERANCE - 1);
    let message = fleet.check_for_leaks().expect_err("leak is reported").to_string();
    assert!(message.starts_with(&format!("n0: leaks descriptors: {open} are open")), "{message}");
}
