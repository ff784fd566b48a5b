//! Tests of the log without a process: the guarantees of its writer, its filter, and its line formats.

use martenweir::log::writer::Writer;
use martenweir::log::{lines, Filter, Format, InvalidDirective};
use rstest::rstest;
use std::io::{self, ErrorKind, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::Level;

/// Generous, since no successful test waits this long.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A target that reports the start of each write and blocks until the test lets it continue.
struct Gate {
    begun: Sender<()>,
    open: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.begun.send(());
        // Once the other end is dropped, writes no longer block.
        let _ = self.open.recv();
        self.written.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lost(n: u64) -> Vec<u8> {
    format!("lost {n}\n").into_bytes()
}

#[test]
fn a_blocked_target_blocks_no_caller_and_lost_lines_are_counted() {
    let ((begun, begins), (opens, open)) = (mpsc::channel(), mpsc::channel());
    let written = Arc::new(Mutex::new(Vec::new()));
    let writer = Writer::start(Gate { begun, open, written: written.clone() }, lost).expect("a thread");
    writer.push(b"first\n".to_vec());
    begins.recv_timeout(TIMEOUT).expect("a write");
    // Far more lines than the queue holds; if one of these calls blocked, the test would never end.
    let lines: Vec<String> = (0..20_000).map(|i| format!("line {i}\n")).collect();
    lines.iter().for_each(|line| writer.push(line.clone().into_bytes()));
    assert!(!writer.finish(Duration::ZERO), "nothing could be written yet");
    drop(opens);
    assert!(writer.finish(TIMEOUT));
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    let written_lines: Vec<&str> = text.split_inclusive('\n').collect();
    let kept = written_lines.len() - 2;
    assert_eq!(
        (written_lines[0], &written_lines[1..=kept]),
        ("first\n", lines[..kept].iter().map(String::as_str).collect::<Vec<_>>().as_slice())
    );
    assert_eq!(written_lines[kept + 1], format!("lost {}\n", lines.len() - kept));
    assert!(kept > 1000 && kept < lines.len(), "{kept} lines were held");
}

/// A target that accepts few bytes at a time, and sometimes fails with `Interrupted` or `WouldBlock`.
struct PartialWriter(Arc<Mutex<Vec<u8>>>, usize);

impl Write for PartialWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.1 += 1;
        match self.1 % 4 {
            0 => Err(ErrorKind::Interrupted.into()),
            1 => Err(ErrorKind::WouldBlock.into()),
            n => {
                let taken = &bytes[..bytes.len().div_ceil(n)];
                self.0.lock().expect("no panic").extend_from_slice(taken);
                Ok(taken.len())
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn partial_writes_keep_lines_and_batches_whole_and_in_order() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let writer = Writer::start(PartialWriter(written.clone(), 0), lost).expect("a thread");
    writer.push(b"a line of the log\n".to_vec());
    async_io::block_on(writer.write(b"two lines\nof figures\n".to_vec()));
    let out = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert_eq!(out, "a line of the log\ntwo lines\nof figures\n");
    assert!(writer.finish(TIMEOUT));
    writer.push(b"too late\n".to_vec());
    async_io::block_on(writer.write(b"too late\n".to_vec()));
    assert_eq!(written.lock().expect("no panic").len(), out.len());
}

#[rstest]
#[case::a_level("warn", "any", Level::WARN, true)]
#[case::no_more("warn", "any", Level::INFO, false)]
#[case::any_case("Debug", "any", Level::DEBUG, true)]
#[case::off("off", "any", Level::ERROR, false)]
#[case::nothing("", "any", Level::ERROR, true)]
#[case::nothing_but_errors("", "any", Level::WARN, false)]
#[case::a_module("warn,a::b=debug", "a::b::c", Level::DEBUG, true)]
#[case::of_another_module("warn,a::b=debug", "a::c", Level::DEBUG, false)]
#[case::the_longest("a=trace,a::b=error,info", "a::b", Level::WARN, false)]
#[case::the_last_of_two("a=error,a=trace", "a", Level::TRACE, true)]
#[case::a_module_alone("a", "a::b", Level::TRACE, true)]
#[case::only_that("a", "b", Level::ERROR, false)]
fn the_longest_matching_module_wins(
    #[case] text: &str,
    #[case] module: &str,
    #[case] level: Level,
    #[case] logged: bool,
) {
    let (filter, invalid) = Filter::new(text);
    assert_eq!((filter.admits(module, &level), invalid), (logged, vec![]));
}

#[test]
fn invalid_directives_are_returned_and_the_others_apply() {
    let (filter, invalid) = Filter::new("a=loud, info/text,=,warn");
    assert_eq!(invalid, ["a=loud", "info/text"].map(|d| InvalidDirective(d.into())));
    assert!(filter.admits("b", &Level::WARN));
}

/// Formats one event in the given format.
fn line(format: Format, tell: impl FnOnce()) -> String {
    let written = Arc::new(Mutex::new(Vec::new()));
    let writer = Writer::start(PartialWriter(written.clone(), 0), lost).expect("a thread");
    let (filter, _) = Filter::new("info");
    tracing::subscriber::with_default(lines(format, filter, writer.clone()), tell);
    assert!(writer.finish(TIMEOUT));
    let line = written.lock().expect("no panic").clone();
    String::from_utf8(line).expect("text")
}

#[test]
fn data_from_peers_cannot_forge_lines_or_make_them_unbounded() {
    let forged = "bad \"word\"\n[INFO ] ready";
    let why = "x".repeat(100_000);
    let tell = || tracing::warn!(event = "test", why, "{forged}");
    assert_eq!(line(Format::Text, tell), "[WARN ] bad \"word\"\n    [INFO ] ready\n");
    let why = "x".repeat(100_000);
    let tell = || tracing::warn!(event = "test", why, n = -1, yes = true, part = f64::NAN, "{forged}");
    let json = line(Format::Json, tell);
    assert_eq!(json.matches('\n').count(), 1);
    let object: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!((&object["message"], &object["event"]), (&forged.into(), &"test".into()));
    assert_eq!((&object["n"], &object["yes"], &object["part"]), (&(-1).into(), &true.into(), &().into()));
    assert!(object["why"].as_str().is_some_and(|why| why.len() == 4096));
    assert_eq!(line(Format::Json, || tracing::debug!("not told")), "");
}
