use super::*;
use dissemination::ControlId;
use rstest::rstest;

const OWN: &str = "tapport 7101\ntapsample 0.5 # half\ndeny 10.0.0.0/8\ndeny 10.1.0.0/16\n";

fn applier() -> StagingApplier {
    StagingApplier::new(OWN.into(), Rc::new(Site::default()))
}

fn stream(store: u8) -> StreamId {
    StreamId { topic: 1, store: ControlId(store) }
}

fn change(to: &mut StagingApplier, store: u8, version: u64, lines: &str) -> Result<String, Refusal> {
    let name = file::setting_name(lines).expect("one setting");
    to.configure(stream(store), key(name), &body(version, lines))
}

/// The non-empty lines of the resulting text.
fn settings_of(of: &StagingApplier) -> Vec<String> {
    of.text().lines().map(str::trim).filter(|l| !l.is_empty()).map(str::to_owned).collect()
}

#[test]
fn a_received_setting_overrides_the_file_until_it_is_reset() {
    let mut to = applier();
    assert_eq!(change(&mut to, 0, 1, "deny 10.9.0.0/16\ndeny 10.8.0.0/16"), Ok("deny".into()));
    assert_eq!(change(&mut to, 0, 2, "tapsample 0.25"), Ok("tapsample".into()));
    assert_eq!(to.counts().settings, 2);
    let text = to.text();
    let features = file::read(&text).expect("it can be read");
    assert_eq!(features.tap.map(|tap| tap.sample), Some(0.25));
    assert_eq!(features.addresses.map(|lists| lists.deny.len()), Some(2));
    assert!(!text.contains("10.1.0.0"), "{text}");
    assert_eq!(change(&mut to, 1, 3, "tapsample"), Ok("tapsample".into()));
    assert_eq!(change(&mut to, 1, 4, "deny"), Ok("deny".into()));
    assert_eq!(settings_of(&to), settings_of(&applier()));
}

/// The greatest version wins in every order in which the changes of several stores can arrive.
#[test]
fn the_result_does_not_depend_on_the_order_of_streams() {
    let all =
        [(0, 5, "tapsample 0.1"), (1, 7, "tapsample 0.2"), (2, 6, "tapsample 0.3"), (3, 7, "tapsample 0.4")];
    let mut orders = vec![vec![]];
    for _ in 0..all.len() {
        let longer = |order: &Vec<usize>| {
            let order = order.clone();
            let rest = (0..4).filter({
                let order = order.clone();
                move |i| !order.contains(i)
            });
            rest.map(move |i| [&order[..], &[i]].concat()).collect::<Vec<_>>()
        };
        orders = orders.iter().flat_map(longer).collect();
    }
    assert_eq!(orders.len(), 24);
    for order in orders {
        let mut to = applier();
        for i in &order {
            let (store, version, lines) = all[*i];
            assert_eq!(change(&mut to, store, version, lines), Ok("tapsample".into()));
        }
        assert!(to.text().contains("tapsample 0.4\n"), "{order:?}: {}", to.text());
    }
}

#[rstest]
#[case::value("tapsample 7", "tapsample: a fraction above 0 and up to 1 is wanted")]
#[case::unknown("tapsamples 1", "tapsamples: unknown setting")]
#[case::twice("tapsample 0.1\ntapsample 0.2", "tapsample: set twice")]
#[case::site("memcachenodes kind nonesuch", "memcachenodes: ")]
fn an_invalid_setting_is_refused_and_the_last_valid_one_stays(#[case] lines: &str, #[case] why: &str) {
    let mut to = applier();
    assert_eq!(change(&mut to, 0, 1, "tapsample 0.25"), Ok("tapsample".into()));
    let before = to.text();
    let refused = change(&mut to, 0, 2, lines).expect_err("it does not fit");
    assert!(refused.0.starts_with(why), "{refused:?}");
    assert_eq!(to.text(), before);
    // A refused change does not block later ones.
    assert_eq!(change(&mut to, 0, 3, "tapsample 0.5"), Ok("tapsample".into()));
    assert_eq!(change(&mut to, 0, 4, "tapport 7102"), Ok("tapport".into()));
}

#[rstest]
#[case::short(key("tapport"), b"1234567".to_vec(), "no version")]
#[case::no_text(key("tapport"), body(1, "tapport 1").into_iter().chain([0xff]).collect(), "not valid UTF-8")]
#[case::nothing(key("tapport"), body(1, " # "), "lines that are not about one setting")]
#[case::two(key("tapport"), body(1, "tapport 1\ntapsample 1"), "lines that are not about one setting")]
#[case::other(key("tapport"), body(1, "tapsample 1"), "lines that are not about the change's key")]
fn a_malformed_change_of_settings_is_refused(#[case] key: u32, #[case] body: Vec<u8>, #[case] why: &str) {
    let mut to = applier();
    assert_eq!(to.configure(stream(0), key, &body), Err(Refusal(why.into())));
    assert_eq!((settings_of(&to), to.counts().settings), (settings_of(&applier()), 0));
}

/// Two settings that are only valid together: the first is refused on arrival, and becomes active with the
/// second.
#[test]
fn a_refused_setting_becomes_active_once_it_is_valid() {
    let mut to = applier();
    let why = change(&mut to, 0, 1, "snmpuser ops sha256 passphrase view w").expect_err("no such view");
    assert_eq!((why.0.as_str(), to.counts().settings), ("snmpuser: no snmpview is called \"w\"", 0));
    assert_eq!(change(&mut to, 1, 2, "snmpview w include 1.3"), Ok("snmpview".into()));
    assert_eq!(to.counts().settings, 2);
    assert!(to.text().contains("snmpuser ops "), "{}", to.text());
}

#[test]
fn a_voided_stream_loses_its_settings_and_the_others_stay() {
    let mut to = applier();
    assert!(change(&mut to, 0, 1, "tapsample 0.1").is_ok());
    assert!(change(&mut to, 1, 2, "tapsample 0.2").is_ok());
    assert!(change(&mut to, 1, 3, "tapport 7200").is_ok());
    to.void_stream(stream(1));
    assert_eq!(to.counts().settings, 1);
    assert!(to.text().contains("tapsample 0.1\n") && to.text().contains("tapport 7101\n"), "{}", to.text());
}

#[test]
fn the_set_of_stale_keys_is_bounded_and_overflow_marks_everything_stale() {
    let mut to = applier();
    (0..MAX_STALE_KEYS as u64).for_each(|n| to.mark_stale(&n.to_be_bytes()));
    to.mark_stale(&0u64.to_be_bytes());
    assert_eq!(to.counts(), Counts { stale: 0, all_stale: 1, settings: 0 });
    to.mark_stale(b"a key");
    assert!(to.is_stale(b"a key") && !to.is_stale(b"another"));
    to.mark_stale(&[0; MAX_KEY_BYTES + 1]);
    assert_eq!((to.counts().stale, to.counts().all_stale), (0, 2));
    to.mark_all_stale();
    assert_eq!(to.counts().all_stale, 3);
}

/// Unknown settings must not displace known ones when the limit is reached.
#[test]
fn the_number_of_received_settings_is_bounded() {
    let mut to = applier();
    for n in 0..2 * MAX_SETTINGS {
        assert!(change(&mut to, 0, 1, &format!("nonesuch{n} 1")).is_err());
        assert!(to.held.len() <= MAX_SETTINGS);
    }
    assert_eq!(change(&mut to, 0, 1, "tapport 1"), Ok("tapport".into()));
    assert!(change(&mut to, 0, 1, "nonesuch 1").is_err());
    assert!(to.held.len() <= MAX_SETTINGS && to.text().contains("tapport 1\n"));
}
