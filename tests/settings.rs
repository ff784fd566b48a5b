//! Settings of other deployments: how the module, the core and the parsers handle values and names
//! far from those of any one deployment.

use martenweir::admission::{self, Activity, Admission, Limits, PortKind, WaitingFor};
use martenweir::choice::Balancer;
use martenweir::codec::discovery::{self, Cluster, Listed};
use martenweir::core::{Answer, Core, DownstreamId, Effect, Input, Message, NewStream, Stage};
use martenweir::interface::*;
use martenweir::settings::{self, Site};
use rstest::rstest;
use serde_json::{json, Value};
use std::rc::Rc;

const MS: Micros = 1_000;

/// The decision module alone, with attempts that end as the test specifies.
struct Module {
    balancer: Balancer,
    now: Micros,
    ids: u64,
    timers: Vec<(Micros, Token)>,
}

/// An attempt: its request, its server and its timeout.
type Sent = (RequestId, ServerId, Option<Micros>);

impl Module {
    fn new(settings: Settings, entries: Vec<Member>) -> Module {
        let mut m =
            Module { balancer: Balancer::new(settings, 1), now: 60_000 * MS, ids: 0, timers: Vec::new() };
        m.event(Event::Members { form: ListForm::Cached, entries });
        m
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { after, token } = action {
                self.timers.push((self.now + after, *token));
            }
        }
        out
    }

    fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (until, mut out) = (self.now + span, Vec::new());
        while let Some(at) = (0..self.timers.len()).min_by_key(|at| self.timers[*at].0) {
            if self.timers[at].0 > until {
                break;
            }
            let (at, token) = self.timers.swap_remove(at);
            self.now = self.now.max(at);
            out.extend(self.event(Event::Timer(token)));
        }
        self.now = until;
        out
    }

    fn ask(&mut self, class: u16, write: bool, patience: Micros) -> (RequestId, Vec<Action>) {
        self.ids += 1;
        let (id, deadline) = (RequestId(self.ids), self.now + patience);
        let (class, key) = (ClassId(class), Key(self.ids));
        let request = Request { id, class, key, write, deadline, ..Request::default() };
        (id, self.event(Event::Request(request)))
    }

    fn end(
        &mut self,
        (request, server): (RequestId, ServerId),
        attempt: u8,
        verdict: Verdict,
        elapsed: Micros,
    ) -> Vec<Action> {
        self.event(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            verdict,
            elapsed,
            finished: verdict == Verdict::Served,
            no_place: false,
            note: 0,
            // No server is busy.
            report: vec![0.1],
        }))
    }

    /// Provides answers of a few milliseconds, so that half the target latency is long in
    /// comparison.
    fn learn(&mut self, class: u16, write: bool) {
        for _ in 0..100 {
            let (id, out) = self.ask(class, write, 1_000 * MS);
            if let Some((_, server, _)) = sent(&out) {
                self.pass(2 * MS);
                self.end((id, server), 0, Verdict::Served, 2 * MS);
            }
            self.pass(50 * MS);
        }
    }
}

fn sent(actions: &[Action]) -> Option<Sent> {
    actions.iter().find_map(|a| match a {
        Action::Send { request, server, timeout, .. } => Some((*request, *server, *timeout)),
        _ => None,
    })
}

/// `nodes` nodes, with one zone and one cell per `cell` nodes, and an origin.
fn fleet(nodes: u64, cell: u64) -> Vec<Member> {
    let node = |i: u64| Member {
        zone: ZoneId((i / cell) as u16),
        cell: CellId((i / cell) as u16),
        ..Member::ready(ServerId(i + 1))
    };
    let origin = Member { kind: KindId(2), cell: CellId(99), ..Member::ready(ServerId(1_000)) };
    (0..nodes).map(node).chain([origin]).collect()
}

fn aside(class: Class) -> Settings {
    Settings {
        classes: vec![class],
        origin_kind: Some(KindId(2)),
        may_copy: true,
        max_attempts: 4,
        period: 5 * MS,
        ..Settings::default()
    }
}

/// An attempt is cut short for another one only if another is possible: attempts given up at half
/// the target latency would otherwise have been answered.
#[rstest]
#[case::safe(Repeat::Retryable, Group::All, 0, 1, true)]
#[case::once(Repeat::Fragile, Group::All, 60_000, 4, false)]
#[case::keyed(Repeat::Dedup, Group::All, 2_000, 1, true)]
#[case::keyed_for_less_than_half_the_aim(Repeat::Dedup, Group::All, 200, 1, false)]
#[case::keyed_within_a_cell(Repeat::Dedup, Group::Cell, 2_000, 4, true)]
#[case::keyed_within_a_cell_of_one(Repeat::Dedup, Group::Cell, 2_000, 1, false)]
#[case::keyed_within_a_zone(Repeat::Dedup, Group::Zone, 2_000, 2, true)]
#[case::keyed_within_a_zone_of_one(Repeat::Dedup, Group::Zone, 2_000, 1, false)]
fn an_attempt_is_cut_short_only_where_another_may_follow(
    #[case] repeat: Repeat,
    #[case] group: Group,
    #[case] window_ms: Micros,
    #[case] cell: u64,
    #[case] cut: bool,
) {
    let class = Class { repeat, group, window: window_ms * MS, ..Class::default() };
    let half = class.target_latency / 2;
    let mut m = Module::new(aside(class), fleet(8, cell));
    m.learn(0, false);
    for _ in 0..20 {
        let (_, out) = m.ask(0, false, 1_000 * MS);
        let (_, _, timeout) = sent(&out).expect("it is sent");
        assert_eq!(timeout, Some(half).filter(|_| cut));
        m.pass(50 * MS);
    }
}

/// The same for a write, which can only be repeated at the origin.
#[rstest]
#[case::for_long(2_000, true)]
#[case::for_less_than_half_the_aim(200, false)]
fn a_write_is_cut_short_only_where_the_origin_still_drops_its_repeat(
    #[case] window_ms: Micros,
    #[case] cut: bool,
) {
    let class = Class { repeat: Repeat::Dedup, window: window_ms * MS, ..Class::default() };
    let half = class.target_latency / 2;
    let mut m = Module::new(aside(class), fleet(2, 1));
    m.learn(0, true);
    let (id, out) = m.ask(0, true, 1_000 * MS);
    let (_, server, timeout) = sent(&out).expect("it is sent");
    assert_eq!(timeout, Some(half).filter(|_| cut));
    m.pass(half);
    let again = m.end((id, server), 0, Verdict::Timeout, half);
    assert_eq!(sent(&again).is_some(), cut, "{again:?}");
}

/// An answer within the target latency of its class is in time, whatever the target of another
/// class: otherwise the origin would seem to fail all requests of a class that can wait.
#[test]
fn a_class_that_can_wait_is_not_held_to_the_aim_of_one_that_cannot() {
    let short = Class { target_latency: 100 * MS, limit: 300 * MS, ..Class::default() };
    let long = Class { target_latency: 8_000 * MS, limit: 20_000 * MS, ..Class::default() };
    let mut settings = aside(short);
    settings.classes.push(long);
    let mut m = Module::new(settings, fleet(2, 1));
    let (mut asked, mut served) = (0, 0);
    for _ in 0..40 {
        // Four at once; the origin answers each request that reaches it after 600 ms.
        let all: Vec<_> = (0..4).map(|_| m.ask(1, true, 20_000 * MS)).collect();
        asked += all.len();
        let mut out: Vec<Sent> = all.iter().filter_map(|(_, out)| sent(out)).collect();
        while !out.is_empty() {
            m.pass(600 * MS);
            let ended = std::mem::take(&mut out);
            for (id, server, _) in ended {
                served += 1;
                out.extend(sent(&m.end((id, server), 0, Verdict::Served, 600 * MS)));
            }
            out.extend(sent(&m.pass(50 * MS)));
        }
    }
    let origin = m.balancer.origin_status(m.now).expect("an origin");
    assert!(origin.failure_ratio < 0.01 && origin.window >= 4.0, "{origin:?}");
    assert_eq!(served, asked);
}

/// The settings of a deployment with every key of the protocol, except those that only affect cost.
fn full_settings() -> Value {
    json!({
        "balancers": 3, "me": 1, "zone": 1, "periodMs": 5.0, "discovery": "subscribe", "overShareWorth": 0.2,
        "worthBy": "request", "workload": "cache", "weights": "nominal", "stages": ["x"], "tier": 0,
        "zones": ["a", "b"], "flavors": ["small", "origin"],
        "classes": [{"name": "pay", "onTimeMs": 100.0, "hardLimitMs": 300.0, "repeat": "dedup",
            "group": "cell", "windowMs": 200.0, "points": 2.0, "lateValue": 0.1, "streamed": false,
            "aimStretch": 0.5}],
        "tenants": [{"name": "pay", "quotaPerS": 5.0, "share": 1.0}],
        "clients": {"marksRetry": true},
        "familyInfo": {"mode": "aside", "originKind": 1, "originFallMultiple": 2.5, "originFallMs": 3000.0},
        "charges": {"probe": 0.014},
        "limits": {"cancelling": true, "dialTimeoutMs": 60.0, "keepaliveMs": 1000.0, "maxAttempts": 2,
            "maxOpen": 100, "maxRetryAfterMs": 900.0, "probes": true, "retryAfter": true,
            "secondCopies": true},
        "rules": {"askWithinMs": 10000.0, "coldFrom": 0.15, "coldMs": 23000.0, "drainGraceMs": 500.0,
            "fallMultiple": 3.0, "graceToAnswerMs": 20.0, "overloadForMs": 1000.0},
        "stats": {"columns": ["err_rps", "cpu"], "source": "inline"}
    })
}

/// Collects JSON pointers to all values, containers included.
fn pointers(v: &Value, at: &str, all: &mut Vec<String>) {
    let inner: Vec<(String, &Value)> = match v {
        Value::Object(map) => map.iter().map(|(key, v)| (format!("{at}/{key}"), v)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(i, v)| (format!("{at}/{i}"), v)).collect(),
        _ => Vec::new(),
    };
    for (pointer, v) in inner {
        pointers(v, &pointer, all);
        all.push(pointer);
    }
}

fn read(v: &Value) -> Result<Site, String> {
    let site = settings::site(v)?;
    // The simulator's entry point parses the same.
    assert_eq!(settings::read(v.to_string().as_bytes()).as_ref(), Ok(&site.settings));
    Ok(site)
}

/// Required keys; an error names the missing one.
const NEEDED: [&str; 10] = [
    "/classes",
    "/classes/0",
    "/classes/0/name",
    "/classes/0/onTimeMs",
    "/classes/0/hardLimitMs",
    "/classes/0/repeat",
    "/limits/maxAttempts",
    "/rules/coldFrom",
    "/rules/fallMultiple",
    "/rules/coldMs",
];

#[test]
fn settings_without_any_one_of_their_optional_keys_are_read_and_lacking_ones_are_named() {
    let (whole, mut all) = (full_settings(), Vec::new());
    assert!(read(&whole).is_ok());
    pointers(&whole, "", &mut all);
    for pointer in &all {
        let (parent, key) = pointer.rsplit_once('/').expect("a key");
        for null in [false, true] {
            let mut v = whole.clone();
            match v.pointer_mut(parent).expect("it exists") {
                Value::Object(map) if null => drop(map.insert(key.to_owned(), Value::Null)),
                Value::Object(map) => drop(map.remove(key)),
                Value::Array(list) => drop(list.remove(0)),
                _ => unreachable!(),
            }
            let more =
                ["/limits", "/rules", "/rules/overloadForMs", "/familyInfo/originKind", "/tenants/0/name"];
            let needed = NEEDED.contains(&pointer.as_str()) || more.contains(&pointer.as_str());
            match read(&v) {
                Ok(_) => assert!(!needed, "{pointer} is required but was accepted as missing"),
                Err(told) => {
                    let last = pointer.trim_end_matches("/0").rsplit('/').next().expect("a key");
                    let part = if key == "0" || !needed { last } else { key };
                    assert!(needed, "{pointer}: {told}");
                    assert!(told.starts_with("settings: "), "{told}");
                    let named = told.contains(part) || told.contains(parent.trim_matches('/'));
                    assert!(
                        named || whole.pointer(pointer).is_some_and(Value::is_object),
                        "{pointer}: {told}"
                    );
                }
            }
        }
    }
}

#[test]
fn unknown_keys_are_ignored() {
    let (whole, mut all) = (full_settings(), Vec::new());
    pointers(&whole, "", &mut all);
    let mut more = whole.clone();
    for pointer in all.iter().map(String::as_str).chain([""]) {
        if let Some(Value::Object(map)) = more.pointer_mut(pointer) {
            map.insert("newer".into(), json!([{"a": 1.5}, null]));
        }
    }
    assert_eq!(read(&more).expect("sound").settings, read(&whole).expect("sound").settings);
}

/// Runs a proxy with these settings and checks that one request of each class is answered once and
/// in time, whatever the values.
fn runs_with(settings: &Settings, told: &str) {
    let now = 1_000_000 * MS;
    let node = |i: u64, kind: u16| Listed {
        member: Member { kind: KindId(kind), cell: CellId(i as u16), ..Member::ready(ServerId(i)) },
        address: ([127, 0, 0, 1], i as u16).into(),
        name: i.to_string().into(),
    };
    let nodes = (1..4).map(|i| node(i, 0)).chain([node(4, 1)]).collect();
    let known = Cluster { revision: 1, complete: true, nodes };
    let mut core = Core::new(now, settings.clone(), 1, 100, known);
    let patience = 300 * MS;
    for place in 0..4 {
        let class = ClassId((place % settings.classes.len() as u64) as u16);
        core.input(
            now,
            Input::Stream(NewStream {
                downstream: DownstreamId(1),
                place,
                class,
                tenant: TenantId(0),
                key: Key(place + 1),
                repeat: false,
                patience,
                hint: None,
                message: Rc::new(Message { value: (place % 2 == 1).then(Vec::new), ..Message::default() }),
            }),
        );
    }
    let mut answered = 0;
    // No node answers, and only some connections are established.
    for ms in 0..=500 {
        let now = now + ms * MS;
        core.tick(now);
        for effect in core.take_effects() {
            match effect {
                Effect::Dial { connection, .. } if connection.0 % 2 == 0 => {
                    core.input(now, Input::Connected(connection))
                }
                Effect::Dial { connection, .. } => core.input(now, Input::Broken(connection, Stage::Idle)),
                Effect::Answer { answer, .. } => {
                    answered += 1;
                    assert!(
                        !matches!(answer, Answer::Value(_) | Answer::Absent | Answer::DuplicateId),
                        "{told}"
                    );
                    if settings.max_retry_after.is_none() {
                        assert!(!matches!(answer, Answer::Busy(Some(_))), "{told}: {answer:?}");
                    }
                }
                _ => {}
            }
        }
    }
    assert_eq!(answered, 4, "{told}: each gets one answer within 200 ms of its deadline");
}

#[test]
fn a_proxy_lives_with_each_figure_at_both_ends_of_its_range() {
    let (whole, mut all) = (full_settings(), Vec::new());
    pointers(&whole, "", &mut all);
    let numbers = all.iter().filter(|p| whole.pointer(p).is_some_and(Value::is_number));
    let mut read_in_all = 0;
    for pointer in numbers {
        for figure in [
            json!(0),
            json!(0.0),
            json!(1e-9),
            json!(0.5),
            json!(1),
            json!(255),
            json!(70000),
            json!(999_999_999_999u64),
        ] {
            for mode in ["aside", "through"] {
                let mut v = whole.clone();
                v["familyInfo"]["mode"] = mode.into();
                *v.pointer_mut(pointer).expect("it exists") = figure.clone();
                let told = format!("{pointer} = {figure}, {mode}");
                let site = read(&v).expect(&told);
                read_in_all += 1;
                // With a tick of more than a tenth of a second the deadlines of these cases cannot
                // be kept.
                if pointer == "/periodMs" && figure.as_f64() > Some(50.0) {
                    continue;
                }
                runs_with(&site.settings, &told);
            }
        }
        for wrong in [json!(-1), json!("1"), json!(true), json!(1e12), json!([1])] {
            let mut v = whole.clone();
            *v.pointer_mut(pointer).expect("it exists") = wrong.clone();
            if let Err(told) = read(&v) {
                assert!(told.starts_with("settings: "), "{told}");
            }
        }
    }
    assert!(read_in_all > 300, "{read_in_all}");
}

#[rstest]
fn a_proxy_lives_with_any_class_under_any_permission(
    #[values("retryable", "dedup", "fragile")] repeat: &str,
    #[values("all", "zone", "cell")] group: &str,
    #[values("inline", "on_probe", "off")] source: &str,
    #[values("aside", "through")] mode: &str,
) {
    for bits in 0..32 {
        let bit = |i: u32| bits >> i & 1 == 1;
        let mut v = full_settings();
        let class = json!({"name": "pay", "onTimeMs": if bit(3) { 100.0 } else { 5_000.0 },
            "hardLimitMs": 300.0, "repeat": repeat, "group": group,
            "windowMs": if bit(4) { 50.0 } else { 60_000.0 }});
        v["classes"] = json!([class]);
        v["stats"]["source"] = source.into();
        v["familyInfo"]["mode"] = mode.into();
        for (i, key) in ["cancelling", "secondCopies", "retryAfter"].into_iter().enumerate() {
            v["limits"][key] = bit(i as u32).into();
        }
        v["limits"]["probes"] = bit(0).into();
        if bit(1) {
            v.as_object_mut().expect("an object").remove("tenants");
        }
        runs_with(&read(&v).expect("sound").settings, &v.to_string());
    }
}

/// Attempts are numbered in one byte: if the settings allowed more, the numbering of a request that
/// no node accepts would start again.
#[test]
fn attempts_are_never_more_than_their_number_has_room_for() {
    let mut v = full_settings();
    for (told, most) in [(1, 1), (4, 4), (255, 255), (256, 255), (100_000, 255)] {
        v["limits"]["maxAttempts"] = told.into();
        v["classes"][0]["repeat"] = "retryable".into();
        let settings = read(&v).expect("sound").settings;
        let mut m = Module::new(settings, fleet(300, 1));
        let (id, mut out) = m.ask(0, false, 60_000 * MS);
        let mut sends = 0u32;
        while let Some((_, server, _)) = sent(&out) {
            let attempt = u8::try_from(sends).expect("its number");
            sends += 1;
            m.pass(MS);
            out = m.end((id, server), attempt, Verdict::ConnectFailed, MS);
        }
        assert_eq!(sends, most);
    }
}

/// Requests of the first tenant, one every 20 ms: returns how many are tried again when the first
/// attempt is refused. Over quota none is.
fn tried_again(tenants: Value) -> usize {
    let mut v = full_settings();
    v["tenants"] = tenants;
    v["classes"][0]["repeat"] = "retryable".into();
    let mut m = Module::new(read(&v).expect("sound").settings, fleet(4, 1));
    let mut again = 0;
    for i in 0..100 {
        m.pass(20 * MS);
        let (id, out) = m.ask(0, false, 300 * MS);
        let (_, server, _) = sent(&out).expect("it is sent");
        // Most are served, so that there is a retry budget for the others.
        let verdict = if i % 10 == 9 { Verdict::Full } else { Verdict::Served };
        again += usize::from(sent(&m.end((id, server), 0, verdict, MS)).is_some());
    }
    again
}

#[test]
fn a_tenant_without_a_quota_is_not_over_it() {
    let named = |quota: Value| json!([{"name": "pay", "quotaPerS": quota}]);
    assert_eq!(tried_again(json!([{"name": "pay"}])), 10);
    assert_eq!(tried_again(json!([{"name": "pay"}, {"name": "pay-now", "quotaPerS": 1.0}])), 10);
    assert_eq!(tried_again(json!([])), 10);
    assert_eq!(tried_again(named(1e6.into())), 10);
    assert_eq!(tried_again(named(0.into())), 0, "a quota of 0 is a quota");
}

/// Zones that a list names and the settings do not are each distinct, from each other and from those
/// in the settings.
#[test]
fn zones_that_the_settings_lack_are_not_taken_for_one_another() {
    let site =
        |zones: &[&str]| Site { zones: zones.iter().map(|z| z.to_string()).collect(), ..Site::default() };
    let zone = |site: &Site, locality: Value| {
        let mut member = json!({"id": "s", "host_port": "127.0.0.1:1", "phase": "SERVING", "flavor": "x"});
        member["locality"] = locality;
        let list = json!({"revision": 1, "complete": true, "members": [member]});
        discovery::parse_list(list.to_string().as_bytes(), site).expect("a list").0.nodes[0].member.zone
    };
    for site in [site(&[]), site(&["north"]), site(&["north", "north-2", "north"])] {
        let others = ["north-1", "north-22", "nort", "North", "south", "", "\u{5317}"];
        let all: Vec<ZoneId> = others.iter().map(|name| zone(&site, json!(name))).collect();
        for (i, one) in all.iter().enumerate() {
            assert!(usize::from(one.0) >= site.zones.len(), "{one:?}");
            assert_eq!(*one, zone(&site, json!(others[i])), "it is the same each time");
            assert!(all[..i].iter().all(|other| other != one), "{}: {all:?}", others[i]);
        }
        if !site.zones.is_empty() {
            assert_eq!(zone(&site, json!("north")), ZoneId(0));
        }
        assert_eq!(zone(&site, Value::Null), zone(&site, json!(7)), "zones without a name are equal");
    }
}

/// A client waiting for an answer is never closed as idle, however long its request may take.
#[test]
fn a_client_that_waits_for_its_answer_is_not_idle() {
    let limits = Limits { descriptors: 256, memory: 192 << 20, side_ports: 0 };
    let mut door = Admission::new(&admission::Settings::default(), limits);
    let id = DownstreamId(7);
    door.accepted(0, id, PortKind::Main, [192, 0, 2, 7].into(), WaitingFor::Command);
    let asked = Activity { steps: 1, streams: 1, waiting_for: WaitingFor::Answer, ..Activity::default() };
    let served = Activity { steps: 2, waiting_for: WaitingFor::Nothing, ..asked };
    door.update(MS, id, asked);
    for s in 0..3_600 {
        assert_eq!((door.next_timeout(s * 1_000 * MS), door.next_deadline(s * 1_000 * MS)), (None, None));
    }
    // Once answered, the idle time-out starts; another request ends it.
    let now = 3_600_000 * MS;
    door.update(now, id, served);
    assert_eq!(door.next_timeout(now + 50_000 * MS), None);
    door.update(now + 59_999 * MS, id, Activity { steps: 3, streams: 2, ..asked });
    assert_eq!(door.next_timeout(now + 3_600_000 * MS), None);
}

fn asked(patience: Micros) -> Input {
    Input::Stream(NewStream {
        downstream: DownstreamId(1),
        place: 0,
        class: ClassId(0),
        tenant: TenantId(0),
        key: Key(7),
        repeat: false,
        patience,
        hint: None,
        message: Rc::new(Message::default()),
    })
}

/// A timer many turns of the timer wheel ahead fires on time, with the shortest tick and the
/// longest.
#[rstest]
fn a_long_deadline_is_kept_with_any_tick(
    #[values(1, 5, 50)] tick_ms: Micros,
    #[values(20, 300, 8_000, 20_000, 3_600_000)] patience_ms: Micros,
) {
    let settings = Settings { classes: vec![Class::default()], period: tick_ms * MS, ..Settings::default() };
    let node =
        Listed { member: Member::ready(ServerId(1)), address: ([127, 0, 0, 1], 1).into(), name: "1".into() };
    let known = Cluster { revision: 1, complete: true, nodes: vec![node] };
    let began = 1_000_000 * MS + 7;
    let mut core = Core::new(began, settings, 1, 100, known);
    core.input(began, asked(patience_ms * MS));
    let mut now = began;
    loop {
        let effects = core.take_effects();
        for effect in &effects {
            if let Effect::Dial { connection, .. } = effect {
                core.input(now, Input::Connected(*connection));
            }
        }
        if effects.iter().any(|e| matches!(e, Effect::Answer { .. })) {
            break;
        }
        // Like the owner task: calls the core when it asks to be called.
        now = core.next().max(now + 1);
        core.tick(now);
    }
    let late_ms = (now - began) / MS - patience_ms;
    assert!((-2 * tick_ms - 1..=tick_ms).contains(&late_ms), "{late_ms} ms late");
}

/// Requests of a class with a target latency of 100 ms and a deadline of 600, one every 200 ms, with
/// nodes that answer after 120 ms and some of them after 20: returns how many of 500 are served.
fn served_late(late_value: f64, quick: u64) -> usize {
    let class = Class { target_latency: 100 * MS, limit: 600 * MS, late_value, ..Class::default() };
    let settings = Settings { classes: vec![class], may_copy: true, max_attempts: 4, ..Settings::default() };
    let mut m = Module::new(settings, fleet(8, 2));
    let mut served = 0;
    for i in 0..500 {
        m.pass(200 * MS);
        let (id, mut out) = m.ask(0, false, 600 * MS);
        let takes = if i % 10 < quick { 20 * MS } else { 120 * MS };
        let mut attempt = 0;
        while let Some((_, server, timeout)) = sent(&out) {
            let called_off = timeout.filter(|t| *t < takes);
            m.pass(called_off.unwrap_or(takes));
            let verdict = if called_off.is_some() { Verdict::Timeout } else { Verdict::Served };
            served += usize::from(called_off.is_none());
            out = m.end((id, server), attempt, verdict, called_off.unwrap_or(takes));
            attempt += 1;
        }
    }
    served
}

/// Where late answers have a value, a target latency that few meet is no reason to cut off the
/// others.
#[rstest]
#[case::none_in_time(0)]
#[case::some_in_time(2)]
fn late_answers_with_a_value_are_not_cut_off(#[case] quick: u64) {
    assert_eq!(served_late(0.5, quick), 500);
    // Late answers without value are cut off to make room.
    assert!(served_late(0.0, quick) < 250);
}

/// A request that may have run is only sent again within the window in which nodes drop its repeat,
/// however long it waits for a connection: the connect time-out may be longer than that.
#[rstest]
#[case::in_time(50, true)]
#[case::too_late(500, false)]
fn what_waits_for_a_connection_does_not_go_out_after_the_window(
    #[case] up_after_ms: Micros,
    #[case] goes: bool,
) {
    let class = Class { repeat: Repeat::Dedup, window: 200 * MS, limit: 2_000 * MS, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        connect_timeout: 1_000 * MS,
        max_attempts: 4,
        period: 5 * MS,
        ..Settings::default()
    };
    let node = |i: u64| Listed {
        member: Member::ready(ServerId(i)),
        address: ([127, 0, 0, 1], i as u16).into(),
        name: i.to_string().into(),
    };
    let known = Cluster { revision: 1, complete: true, nodes: vec![node(1), node(2)] };
    let mut now = 1_000_000 * MS;
    let mut core = Core::new(now, settings, 1, 100, known);
    core.take_effects();
    core.input(now, asked(2_000 * MS));
    let dialled = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Dial { connection, .. } => Some(*connection),
            _ => None,
        })
    };
    let written = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Write { .. }));
    let first = dialled(&core.take_effects()).expect("a dial");
    core.input(now, Input::Connected(first));
    assert!(written(&core.take_effects()));
    now += 100 * MS;
    core.tick(now);
    core.take_effects();
    core.input(now, Input::Broken(first, Stage::Reading));
    let second = dialled(&core.take_effects()).expect("it may be sent again");
    now += up_after_ms * MS;
    core.tick(now);
    // A request that may not be sent any more is answered at once, whether or not its connection is
    // established.
    let mut effects = core.take_effects();
    assert!(!written(&effects));
    core.input(now, Input::Connected(second));
    effects.extend(core.take_effects());
    assert_eq!(written(&effects), goes, "{effects:?}");
    let answered = effects.iter().any(|e| matches!(e, Effect::Answer { answer: Answer::Busy(_), .. }));
    assert_eq!(answered, !goes, "{effects:?}");
}
