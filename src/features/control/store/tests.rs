use super::*;
use dissemination::{Change, Head as StreamHead, StreamId};
use std::sync::atomic::{AtomicUsize, Ordering};

const ME: ControlId = ControlId(2);

/// A directory of its own for each test, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("martenweir-{}-store-{count}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        TempDir(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("store")
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn record(number: u64) -> Record {
    let stream = StreamId { topic: (number % 2) as u8, store: ME };
    if number % 5 == 4 {
        return Record::Horizon(stream, StreamHead { number, digest: 7 });
    }
    let body = vec![number as u8; (number % 7) as usize].into();
    Record::Change(Change { stream, number, key: number as u32, body }, 1000 + number as u32)
}

fn open(path: &Path) -> Result<Loaded, String> {
    Store::open(path, ME, 1)
}

fn append(store: &mut Store, records: &[Record]) {
    store.append(&encode(records).expect("records")).expect("it is written");
}

/// Creates a file with this number of records; returns them and the bytes of the file.
fn written(folder: &TempDir, count: u64) -> (Vec<Record>, Vec<u8>) {
    let records: Vec<Record> = (1..=count).map(record).collect();
    let mut loaded = open(&folder.file()).expect("a new file");
    assert_eq!((loaded.records.len(), loaded.torn, loaded.older), (0, 0, None));
    records.chunks(3).for_each(|some| append(&mut loaded.store, some));
    (records, fs::read(folder.file()).expect("the file"))
}

#[test]
fn appended_records_are_loaded_at_the_next_start() {
    let folder = TempDir::new();
    let (mut records, _) = written(&folder, 8);
    let mut loaded = open(&folder.file()).expect("the file");
    assert_eq!((&loaded.records, loaded.torn, loaded.older), (&records, 0, None));
    records.push(record(9));
    append(&mut loaded.store, &records[8..]);
    assert_eq!(open(&folder.file()).expect("the file").records, records);
}

/// A file may be cut off at any byte, if the machine stops during a write. Complete records before the cut
/// are loaded, the size of the rest is reported, and the file can be appended to.
#[test]
fn an_incomplete_last_record_is_dropped_and_those_before_it_stay() {
    let folder = TempDir::new();
    let (records, bytes) = written(&folder, 6);
    let ends: Vec<usize> = {
        let mut ends = vec![MAGIC.len()];
        while let Frame::Body(body) = next_frame(&bytes[ends[ends.len() - 1]..]) {
            ends.push(ends[ends.len() - 1] + HEADER_BYTES + body.len());
        }
        ends
    };
    assert_eq!((ends.len(), ends.last()), (8, Some(&bytes.len())));
    for cut in MAGIC.len()..=bytes.len() {
        fs::write(folder.file(), &bytes[..cut]).expect("the file");
        let mut loaded = open(&folder.file()).expect("the file");
        let whole = ends.iter().rposition(|end| *end <= cut).expect("the first");
        // The first frame is the head.
        let kept = &records[..whole.saturating_sub(1)];
        assert_eq!((&loaded.records[..], loaded.torn), (kept, (cut - ends[whole]) as u64), "cut at {cut}");
        append(&mut loaded.store, &[record(99)]);
        let again = open(&folder.file()).expect("the file");
        assert_eq!(
            (again.records.len(), again.records.last(), again.torn),
            (kept.len() + 1, Some(&record(99)), 0)
        );
    }
}

#[test]
fn zeros_at_the_end_are_an_incomplete_record() {
    let folder = TempDir::new();
    let (records, mut bytes) = written(&folder, 4);
    bytes.extend([0; 300]);
    fs::write(folder.file(), &bytes).expect("the file");
    let loaded = open(&folder.file()).expect("the file");
    assert_eq!((loaded.records, loaded.torn), (records, 300));
}

/// Every flipped bit is detected, also in the last record.
#[test]
fn a_damaged_file_is_refused_with_its_name_and_the_position() {
    let folder = TempDir::new();
    let (_, bytes) = written(&folder, 5);
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            fs::write(folder.file(), &damaged).expect("the file");
            let why = open(&folder.file()).map(|loaded| loaded.records).expect_err("it is damaged");
            assert!(why.starts_with(&format!("{}: byte ", folder.file().display())), "{why}");
            assert_eq!(fs::read(folder.file()).expect("the file"), damaged, "it is left as it was");
        }
    }
}

#[test]
fn a_file_of_another_machine_or_later_epoch_is_refused_and_of_an_earlier_epoch_accepted() {
    let folder = TempDir::new();
    let (records, _) = written(&folder, 4);
    let other = Store::open(&folder.file(), ControlId(3), 1).map(drop);
    assert!(other.expect_err("another's").ends_with(": written by control machine 2, this is 3"));
    let raised = Store::open(&folder.file(), ME, 4).expect("raised");
    assert_eq!((raised.records, raised.older), (records, Some(1)));
    let back = Store::open(&folder.file(), ME, 3).map(drop);
    assert!(back.expect_err("an older epoch").ends_with(": written in epoch 4, controlepoch is 3"));
    assert_eq!(Store::open(&folder.file(), ME, 4).expect("the same").older, None);
}

#[test]
fn a_rewritten_file_has_the_given_records_and_can_be_appended_to() {
    let folder = TempDir::new();
    let (records, bytes) = written(&folder, 8);
    let loaded = open(&folder.file()).expect("the file");
    assert!(!loaded.store.needs_rewrite());
    let mut store = loaded.store.rewrite(&encode(&records[6..]).expect("records")).expect("rewritten");
    assert!(fs::read(folder.file()).expect("the file").len() < bytes.len());
    append(&mut store, &[record(9)]);
    let expected = [&records[6..], &[record(9)]].concat();
    assert_eq!(open(&folder.file()).expect("the file").records, expected);
}

#[test]
fn a_file_that_has_grown_far_beyond_its_needed_size_needs_a_rewrite() {
    let folder = TempDir::new();
    let mut store = open(&folder.file()).expect("a new file").store;
    let stream = StreamId { topic: 1, store: ME };
    let large = |number| Record::Change(Change { stream, number, key: 1, body: vec![7; 4096].into() }, 1);
    let some: Vec<Record> = (1..=1024).map(large).collect();
    let mut times = 0;
    while !store.needs_rewrite() {
        append(&mut store, &some);
        times += 1;
        assert!(times < 10, "{} bytes", store.bytes);
    }
    assert!(store.bytes > REWRITE_THRESHOLD);
    assert!(!store.rewrite(&encode(&some).expect("records")).expect("rewritten").needs_rewrite());
}
