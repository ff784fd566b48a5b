use super::*;

#[test]
fn folders_of_killed_labs_are_removed_and_those_in_use_stay() {
    let place = tempfile::tempdir().expect("the folder is accessible");
    let orphan = place.path().join("lab-fleet-orphan");
    fs::create_dir(&orphan).expect("the folder is accessible");
    fs::write(orphan.join(LOCK), "").expect("the file is accessible");
    let begun = place.path().join("lab-fleet-begun");
    fs::create_dir(&begun).expect("the folder is accessible");
    let first = Home::temporary_in(place.path()).expect("the root folder is created");
    assert!(!orphan.exists(), "its lock is free");
    let second = Home::temporary_in(place.path()).expect("the root folder is created");
    assert!(first.path().exists() && begun.exists());
    drop((first, second));
    assert_eq!(
        fs::read_dir(place.path()).expect("the folder is accessible").count(),
        1,
        "only the unfinished folder remains"
    );
}
