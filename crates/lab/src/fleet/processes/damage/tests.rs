use super::*;

#[test]
fn damage_is_as_requested_and_stays_within_the_folder() {
    let dir = tempfile::tempdir().expect("the folder is accessible");
    let (folder, file) = (dir.path().join("f0"), PathBuf::from("state/journal"));
    fs::create_dir_all(folder.join("state")).expect("the folder is accessible");
    fs::write(dir.path().join("other"), "whole").expect("the file is accessible");
    fs::write(folder.join(&file), "0123456789").expect("the file is accessible");
    std::os::unix::fs::symlink("../other", folder.join("link")).expect("the link is known");
    let read = || fs::read(folder.join(&file)).expect("the file is accessible");
    Damage::ByteChanged { file: file.clone(), at: 3 }.apply(&folder).expect("changed");
    assert_eq!(read(), b"012\xcc456789");
    Damage::CutShort { file: file.clone(), to: 4 }.apply(&folder).expect("cut");
    assert_eq!(read(), b"012\xcc");
    // The same seed draws the same byte, so that the second inversion restores it.
    let drawn = Damage::AnyByteChanged { seed: 7 };
    drawn.apply(&folder).expect("drawn");
    assert_ne!(read(), b"012\xcc");
    drawn.apply(&folder).expect("drawn again");
    assert_eq!(read(), b"012\xcc");
    Damage::AnyCutShort { seed: 7 }.apply(&folder).expect("drawn");
    assert!(read().len() < 4);
    for file in ["../other", "link", "state", "state/../../other", "none"] {
        let damage = Damage::CutShort { file: file.into(), to: 0 };
        damage.apply(&folder).expect_err("a path outside the folder or without a file is rejected");
    }
    Damage::CutShort { file, to: 400 }.apply(&folder).expect_err("it is not longer");
    assert_eq!(fs::read(dir.path().join("other")).expect("the file is accessible"), b"whole");
}
