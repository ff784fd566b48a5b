//! Tests the benchlink adapter through the binary protocol on its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"balancers": 2, "classes": [{"onTimeMs": 500.0, "hardLimitMs": 1200.0,
    "repeat": "retryable", "unheardOf": [1]}], "limits": {"maxAttempts": 3}, "discovery": "automatic",
    "rules": {"coldFrom": 0.2, "coldMs": 9000.0, "fallMultiple": 3.0, "overloadForMs": 1000.0},
    "stats": {"columns": ["cpu", "x0"], "source": "inline"}, "news": {}}"#;

fn record(code: u8, instance: u32, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    let mut r = vec![code];
    r.extend((body.len() as u32 + 4).to_be_bytes());
    r.extend(instance.to_be_bytes());
    r.extend(body);
    r
}

fn batch(ms: f64, seq: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut b = ms.to_be_bytes().to_vec();
    b.extend((body.len() as u32 + 8).to_be_bytes());
    b.extend((records.len() as u32).to_be_bytes());
    b.extend(seq.to_be_bytes());
    b.extend(body);
    b
}

fn start_instance(instance: u32, options: &str) -> Vec<u8> {
    let n = (options.len() as u32).to_be_bytes();
    record(10, instance, &[&7u64.to_be_bytes(), &n, options.as_bytes()])
}

const SERVER: [u8; 6] = [10, 18, 74, 7, 0x1f, 0x93];

fn server_list(instance: u32) -> Vec<u8> {
    let weight = 1f32.to_be_bytes();
    let entry = [&SERVER[..], &[0; 6], &[3], &weight, &[0; 8]].concat();
    record(20, instance, &[&1u64.to_be_bytes(), &[4], &1u32.to_be_bytes(), &entry])
}

fn request(instance: u32, id: u64, class: u16, not_after: f64) -> Vec<u8> {
    let (key, hint, size) = (42u64.to_be_bytes(), 12f64.to_be_bytes(), 0f32.to_be_bytes());
    let head = [&id.to_be_bytes()[..], &class.to_be_bytes(), &[1], &[0; 4], &key].concat();
    record(30, instance, &[&head, &not_after.to_be_bytes(), &hint, &size])
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_trackshift-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("its input");
    // An adapter that rejected a malformed batch has closed its end.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

/// A record as code, instance and fields.
type ReplyRecord = (u8, u32, Vec<u8>);

/// Decodes the replies: batch number and records.
fn replies(mut out: &[u8]) -> Vec<(u32, Vec<ReplyRecord>)> {
    let word = |b: &[u8]| u32::from_be_bytes([b[0], b[1], b[2], b[3]]);
    let mut replies = Vec::new();
    while !out.is_empty() {
        let (n, seq) = (word(out) as usize, word(&out[4..]));
        let (mut body, rest) = out[8..].split_at(n - 4);
        let mut records = Vec::new();
        while !body.is_empty() {
            let n = word(&body[1..]) as usize;
            records.push((body[0], word(&body[5..]), body[9..5 + n].to_vec()));
            body = &body[5 + n..];
        }
        replies.push((seq, records));
        out = rest;
    }
    replies
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_a_clean_exit() {
    let out = run_adapter(&batch(241.0, 1, &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 4, 0, 0, 0, 1]);
}

#[test]
fn a_request_is_sent_with_its_ids_untouched() {
    let id = 0x000f_1570_5d3a_91c4;
    let input = [
        batch(1_000.0, 1, &[start_instance(3, OPTIONS), server_list(3)]),
        batch(1_010.0, 2, &[request(3, id, 0, 1_500.0)]),
    ];
    let out = run_adapter(&input.concat());
    let replies = replies(&out.stdout);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let (seq, records) = &replies[1];
    assert_eq!(*seq, 2);
    let sent = [&id.to_be_bytes()[..], &[0; 8], &SERVER].concat();
    assert_eq!(records, &vec![(120, 3, sent)]);
}

#[test]
fn instances_share_nothing_and_a_stopped_one_forgets() {
    let input = [
        batch(
            1_000.0,
            1,
            &[start_instance(1, OPTIONS), server_list(1), start_instance(2, OPTIONS), server_list(2)],
        ),
        batch(1_010.0, 2, &[record(100, 1, &[]), start_instance(1, OPTIONS), request(2, 5, 0, 1_500.0)]),
        // The new instance 1 has no list yet, so it refuses; instance 2 still sends.
        batch(1_020.0, 3, &[request(1, 6, 0, 1_500.0), request(2, 7, 0, 1_500.0)]),
    ];
    let replies = replies(&run_adapter(&input.concat()).stdout);
    assert!(replies[1].1.iter().all(|r| r.1 == 2));
    let codes: Vec<_> = replies[2].1.iter().map(|r| (r.0, r.1)).collect();
    assert_eq!(codes, [(10, 1), (120, 2)]);
}

#[test]
fn malformed_input_is_one_plain_line_and_exit_status_1() {
    let start = batch(1_000.0, 1, &[start_instance(3, OPTIONS), server_list(3)]);
    let whole = batch(1_010.0, 2, &[request(3, 9, 0, 1_500.0)]);
    let mut longer = whole.clone();
    longer[20 + 4] += 1;
    let mut huge = whole.clone();
    huge[20 + 1] = 0xff;
    let mut bad_entry_count = server_list(3);
    bad_entry_count[18] = 0xff;
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("ends within a batch header", whole[..7].to_vec()),
        ("ends within a batch", whole[..40].to_vec()),
        ("does not fit the batch", longer),
        ("does not fit the batch", huge),
        ("event code 77 is unknown", batch(1_010.0, 2, &[record(77, 3, &[])])),
        ("entries do not fill", batch(1_010.0, 2, &[bad_entry_count])),
        ("shorter than its fields", batch(1_010.0, 2, &[record(60, 3, &[&[1, 2]])])),
        ("left over in the record", batch(1_010.0, 2, &[record(100, 3, &[&[0]])])),
        ("out of range", batch(1_010.0, 2, &[request(3, 9, 0, f64::NAN)])),
        ("class 4", batch(1_010.0, 2, &[request(3, 9, 4, 1_500.0)])),
        ("not JSON", batch(1_010.0, 2, &[start_instance(4, "{")])),
        ("classes is missing", batch(1_010.0, 2, &[start_instance(4, "{}")])),
        (
            "limits.maxAttempts is missing",
            batch(1_010.0, 2, &[start_instance(4, &OPTIONS.replace("maxA", "a"))]),
        ),
        (
            "rules.coldFrom is not a number",
            batch(1_010.0, 2, &[start_instance(4, &OPTIONS.replace("0.2", "\"0.2\""))]),
        ),
        (
            "classes[0].repeat",
            batch(1_010.0, 2, &[start_instance(4, &OPTIONS.replace("retryable", "often"))]),
        ),
    ];
    for (expected, bytes) in cases {
        let out = run_adapter(&[start.clone(), bytes].concat());
        let line = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{expected}: {line}");
        assert!(
            line.contains(expected) && line.contains("record") && line.contains("byte"),
            "{expected}: {line}"
        );
        assert_eq!(line.lines().count(), 1, "{line}");
        assert_eq!(replies(&out.stdout).len(), 1, "no reply for that batch: {expected}");
    }
}

#[test]
fn events_of_unknown_requests_and_instances_do_nothing() {
    let gone = record(60, 3, &[&99u64.to_be_bytes()]);
    let elsewhere = record(60, 8, &[&99u64.to_be_bytes()]);
    let peer = record(90, 3, &[&[0, 2, 0, 1, 0x68]]);
    let input = [
        batch(1_000.0, 1, &[start_instance(3, OPTIONS), server_list(3)]),
        batch(1_010.0, 2, &[gone, elsewhere, peer]),
    ];
    let out = run_adapter(&input.concat());
    assert!(out.status.success());
    assert!(replies(&out.stdout)[1].1.is_empty());
}

/// The settings `keepOrder`, `orderSettleMs`, `zonesOnly`, `flavorsOpen` and `drainCloseMs` reach the module.
#[test]
fn the_settings_of_the_further_rules_are_passed_on() {
    let options = OPTIONS
        .replace("\"unheardOf\": [1]", "\"keepOrder\": true")
        .replace("\"coldFrom\"", "\"drainCloseMs\": 1500.0, \"orderSettleMs\": 50.0, \"coldFrom\"");
    let options_with = |s: &str| OPTIONS.replace("\"unheardOf\": [1]", s);
    let mut drains = server_list(3);
    let phase = drains.len() - 13;
    drains[phase] = 1;
    let requests = [request(3, 5, 0, 1_500.0), request(3, 6, 0, 1_500.0)];
    let input = [
        batch(1_000.0, 1, &[start_instance(3, &options), server_list(3)]),
        batch(1_010.0, 2, &requests),
        batch(1_020.0, 3, &[drains]),
    ];
    let replies_of = |input: &[Vec<u8>]| replies(&run_adapter(&input.concat()).stdout);
    let got = replies_of(&input);
    let codes: Vec<_> = got[1].1.iter().map(|r| r.0).collect();
    assert_eq!(codes, [120, 40], "the second of the key waits its turn");
    assert!(got[2].1.contains(&(80, 3, SERVER.to_vec())), "{:?}", got[2]);
    // The server is in zone 0 and of kind 0.
    for (setting, code) in [
        ("\"zonesOnly\": [1]", 10),
        ("\"flavorsOpen\": [1, 2]", 10),
        ("\"flavorsOpen\": [0], \"zonesOnly\": null", 120),
    ] {
        let input = [
            batch(1_000.0, 1, &[start_instance(3, &options_with(setting)), server_list(3)]),
            batch(1_010.0, 2, &[request(3, 5, 0, 1_500.0)]),
        ];
        assert_eq!(replies_of(&input)[1].1[0].0, code, "{setting}");
    }
    let bad = run_adapter(&batch(1_000.0, 1, &[start_instance(3, &options_with("\"zonesOnly\": [-1]"))]));
    assert!(String::from_utf8_lossy(&bad.stderr).contains("classes[0].zonesOnly is not a list of positions"));
}
