use super::*;

fn fingerprint(line: &str) -> u64 {
    let (name, value) = line.split_once(' ').expect("a value");
    let mut lines = SettingLines::default();
    lines.set(1, name, value).expect("a line");
    lines.fingerprint
}

#[test]
fn the_fingerprint_does_not_depend_on_secrets() {
    let same = [
        ("snmpcommunity one 10.0.0.0/8 view v", "snmpcommunity other 10.0.0.0/8 view v"),
        ("snmpuser u sha256 passphrase aes passphrase", "snmpuser u sha256 12345678 aes 87654321"),
        ("snmptrapto trap 10.0.0.9:162 community one", "snmptrapto trap 10.0.0.9:162 community other"),
    ];
    assert!(same.iter().all(|(a, b)| fingerprint(a) == fingerprint(b)));
    let others = [
        ("snmpcommunity one 10.0.0.0/8 view v", "snmpcommunity one 10.0.0.0/9 view v"),
        ("snmpuser u sha256 passphrase aes passphrase", "snmpuser w sha256 passphrase aes passphrase"),
        ("snmptrapto trap 10.0.0.9:162 user one", "snmptrapto trap 10.0.0.9:162 user other"),
        ("snmpuser u noauth view v", "snmpuser u noauth view w"),
    ];
    assert!(others.iter().all(|(a, b)| fingerprint(a) != fingerprint(b)));
}
