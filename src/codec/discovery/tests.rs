use super::*;

fn split(parts: &[&[u8]]) -> Result<Vec<WatchItem>, String> {
    let (mut objects, mut items) = (ObjectSplitter::default(), Vec::new());
    for part in parts {
        objects.feed(part);
        while let Some(item) = objects.next_item()? {
            items.push(item);
        }
    }
    Ok(items)
}

fn object(text: &str) -> WatchItem {
    WatchItem::Object(text.as_bytes().to_vec())
}

#[test]
fn objects_are_split_whatever_the_whitespace_and_the_chunks() {
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
        assert_eq!(split(&parts).as_ref(), Ok(&wanted), "in pieces of {size}");
    }
}

/// A truncated object must be reported as an error: the next object must not be taken for a part of it.
#[test]
fn input_that_is_not_an_object_is_an_error() {
    for (text, why) in [
        ("x", "expected a JSON object"),
        ("{}]", "expected a JSON object"),
        ("{\"a\": \"b\n", "a line ends within a JSON string"),
        (
            "{\"revision\":8,\"complete\":\n{\"revision\":9}\n{\"revision\":10}\n{\"revision\":11}\n",
            "expected `,` or `}`",
        ),
        ("{\"a\":tru\n", "expected ident"),
    ] {
        let error = split(&[text.as_bytes()]).expect_err(text);
        assert!(error.contains(why), "{text}: {error}");
    }
    let long = format!("{{\"a\":\"{}", "x".repeat(LINE));
    assert_eq!(split(&[long.as_bytes()]), Err("a JSON object is too long".into()));
}

#[test]
fn an_unreadable_entry_hides_no_other_and_counts_as_draining() {
    let text = br#"{"revision":-1,"complete":true,"members":[
            {"id":"a","host_port":"127.0.0.1:1","phase":"WARMING"}, {"id":"b","host_port":"nowhere","phase":"SERVING"},
            {"id":"c","phase":"DELETED"}, 7, {"host_port":"127.0.0.1:1","phase":"SERVING"}, {"id":5}, {"id":"d"},
            {"id":"e","host_port":"127.0.0.1:1","phase":"SERVING","size":-2,"up_since_ms":-1e300,"cell":"x"},
            {"id":"f","host_port":"127.0.0.1:1","phase":"DRAINING"}]}"#;
    let (list, invalid) = super::parse_list(text, &Site::default()).expect("a list");
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
    assert_eq!(invalid.as_deref(), Some("a: unknown phase WARMING, and 5 more"));
    assert_eq!((list.revision, list.nodes[4].member.weight, list.nodes[4].member.started), (0, 1.0, None));
}
