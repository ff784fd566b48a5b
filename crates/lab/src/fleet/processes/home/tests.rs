use super::*;

#[test]
fn what_a_killed_lab_has_left_goes_and_what_another_one_uses_stays() {
    let place = tempfile::tempdir().expect("a folder");
    let orphan = place.path().join("lab-fleet-orphan");
    fs::create_dir(&orphan).expect("a folder");
    fs::write(orphan.join(LOCK), "").expect("a file");
    let begun = place.path().join("lab-fleet-begun");
    fs::create_dir(&begun).expect("a folder");
    let first = Home::temporary_in(place.path()).expect("a home");
    assert!(!orphan.exists(), "nobody holds its lock");
    let second = Home::temporary_in(place.path()).expect("a home");
    assert!(first.path().exists() && begun.exists());
    drop((first, second));
    assert_eq!(fs::read_dir(place.path()).expect("a folder").count(), 1, "but for the one that was begun");
}
