use super::*;

fn pieces(parts: &[&[u8]]) -> Result<Vec<WatchItem>, String> {
    let (mut objects, mut all) = (ObjectSplitter::default(), Vec::new());
    for part in parts {
        objects.feed(part);
        while let Some(piece) = objects.piece()? {
            all.push(piece);
        }
    }
    Ok(all)
}

fn object(text: &str) -> WatchItem {
    WatchItem::Object(text.as_bytes().to_vec())
}

#[test]
fn objects_come_out_whatever_the_white_space_and_the_pieces() {
    let text = "{\"a\":1}\n\n{\r\n  \"b\": [\n {\"c\": \"}\\\"{\"}\r\n ]\n}\r\n\r\n {\"d\":2}{\"e\":3} \n \n";
    let wanted = vec![
        object("{\"a\":1}"),
        WatchItem::Blank,
        object("{\r\n  \"b\": [\n {\"c\": \"}\\\"{\"}\r\n ]\n}"),
        WatchItem::Blank,
        object("{\"d\":2}"),
        object("{\"e\":3}"),
        WatchItem::Blank,
    ];
    for size in 1..=text.len() {
        let parts: Vec<&[u8]> = text.as_bytes().chunks(size).collect();
        assert_eq!(pieces(&parts).as_ref(), Ok(&wanted), "in pieces of {size}");
    }
}

/// Guards against an object that was cut off: the next one must not be taken for a part of it.
#[test]
fn what_is_no_object_is_an_error() {
    for (text, why) in [
        ("x", "no object"),
        ("{}]", "no object"),
        ("{\"a\": \"b\n", "a line ends within a text"),
        (
            "{\"revision\":8,\"complete\":\n{\"revision\":9}\n{\"revision\":10}\n{\"revision\":11}\n",
            "expected `,` or `}`",
        ),
        ("{\"a\":tru\n", "expected ident"),
    ] {
        let told = pieces(&[text.as_bytes()]).expect_err(text);
        assert!(told.contains(why), "{text}: {told}");
    }
    let long = format!("{{\"a\":\"{}", "x".repeat(LINE));
    assert_eq!(pieces(&[long.as_bytes()]), Err("an object is too long".into()));
}

#[test]
fn an_entry_that_cannot_be_read_hides_no_other_and_gets_nothing_new() {
    let text = br#"{"revision":-1,"complete":true,"members":[
            {"id":"a","host_port":"127.0.0.1:1","phase":"WARMING"}, {"id":"b","host_port":"nowhere","phase":"SERVING"},
            {"id":"c","phase":"DELETED"}, 7, {"host_port":"127.0.0.1:1","phase":"SERVING"}, {"id":5}, {"id":"d"},
            {"id":"e","host_port":"127.0.0.1:1","phase":"SERVING","size":-2,"up_since_ms":-1e300,"cell":"x"},
            {"id":"f","host_port":"127.0.0.1:1","phase":"DRAINING"}]}"#;
    let (list, odd) = super::parse_list(text, &Site::default()).expect("a list");
    let phases: Vec<_> = list.nodes.iter().map(|l| (&*l.name, l.member.phase)).collect();
    let (draining, gone) = (Phase::Draining, Phase::Gone);
    let wanted = [
        ("a", draining),
        ("b", draining),
        ("c", gone),
        ("d", draining),
        ("e", Phase::Ready),
        ("f", draining),
    ];
    assert_eq!(phases, wanted);
    assert_eq!(odd.as_deref(), Some("a: unknown phase WARMING, and 5 more"));
    assert_eq!((list.revision, list.nodes[4].member.weight, list.nodes[4].member.started), (0, 1.0, None));
}
