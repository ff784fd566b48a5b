use super::*;

const NOW: i64 = CLOCK_BASE + 1000;

#[test]
fn boots_never_decrease_when_the_clock_is_set_back_or_the_file_is_damaged() {
    let dir = std::env::temp_dir().join(format!("martenweir-boots-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("state");
    let start = |unix, fingerprint| count(Some(&path), unix, fingerprint);
    assert_eq!(start(NOW, 5), (Start { boots: 1000, warm: false }, None));
    assert_eq!(start(NOW, 5).0, Start { boots: 1001, warm: true }, "at once again");
    assert_eq!(start(NOW - 500, 6).0, Start { boots: 1002, warm: false }, "the clock was set back");
    assert_eq!(start(NOW + 500, 6).0, Start { boots: 1500, warm: true });
    fs::write(&path, "boots many").expect("a file");
    let (damaged, why) = start(NOW + 600, 6);
    assert_eq!((damaged, why.is_some()), (Start { boots: 1600, warm: false }, true));
    assert_eq!(start(NOW + 600, 6), (Start { boots: 1601, warm: true }, None), "it is mended");
    fs::write(&path, format!("boots {}\nsettings 0\n", i32::MAX)).expect("a file");
    assert_eq!(start(NOW, 6).0.boots, i32::MAX as u32, "it stays at the last");
    let nowhere = dir.join("none").join("state");
    assert!(count(Some(&nowhere), NOW, 5).1.is_some());
    assert_eq!(count(None, CLOCK_BASE - 5, 5).0, Start { boots: 1, warm: false });
    fs::remove_dir_all(&dir).expect("the folder goes");
}
