use super::*;
use rstest::rstest;

fn mapping(read_wait: Micros) -> (RequestMapping, Tenant) {
    let class = |repeat| Class { repeat, limit: 2_000_000, ..Class::default() };
    let classes = vec![class(Repeat::Retryable), class(Repeat::Dedup)];
    let site = Site {
        settings: crate::interface::Settings { classes, ..Default::default() },
        classes: vec!["lookup".into(), "instruct".into()],
        tenants: vec!["nordurbanki".into()],
        ..Site::default()
    };
    let settings = Settings {
        tenant: Some("nordurbanki".into()),
        read_wait: Some(read_wait).filter(|wait| *wait > 0),
        ..Settings::default()
    };
    let mapping = RequestMapping::new(&settings, &site, 1).expect("it fits");
    let tenant = mapping.tenant.clone().expect("a tenant");
    (mapping, tenant)
}

/// The last commands of a pipeline wait here for their turn, and the gateway's time includes that wait.
#[rstest]
#[case::half_of_the_class(0, 0, Some(1_000_000))]
#[case::as_set(300_000, 0, Some(300_000))]
#[case::less_its_wait(300_000, 100_000, Some(200_000))]
#[case::nothing_left(300_000, 299_500, None)]
#[case::long_over(300_000, 5_000_000, None)]
fn time_spent_waiting_is_deducted_from_the_deadline(
    #[case] wait: Micros,
    #[case] waited: u64,
    #[case] left: Option<Micros>,
) {
    let (mapping, tenant) = mapping(wait);
    let get = Request { key: b"7f3a", ..Request::new(Opcode::GET) };
    let ask = mapping.to_stream(DownstreamId(1), 0, &tenant, &get, Duration::from_micros(waited));
    assert_eq!(ask.as_ref().map(|ask| ask.patience).ok(), left);
    let told = ask.map(|ask| String::from_utf8_lossy(&ask.message.properties).into_owned());
    let properties = left.map(|us| format!("c=lookup,t=nordurbanki,d={}", us / 1000));
    assert_eq!(told, properties.ok_or((Status::TEMPORARY, "out of time, not asked")));
}

/// If several classes fit, the operator has to choose.
#[test]
fn a_class_of_writes_is_not_guessed() {
    let class = Class { repeat: Repeat::Dedup, ..Class::default() };
    let classes = vec![Class::default(), class.clone(), class];
    let site = Site {
        settings: crate::interface::Settings { classes, ..Default::default() },
        classes: vec!["lookup".into(), "instruct".into(), "order".into()],
        ..Site::default()
    };
    let mapping = RequestMapping::new(&Settings::default(), &site, 1).expect("reads are known");
    let tenant = mapping.tenant.clone().expect("a site without tenants");
    let set = Request { key: b"7f3a", extras: &[0; 8], cas: 1, ..Request::new(Opcode::SET) };
    let refused = mapping.to_stream(DownstreamId(1), 0, &tenant, &set, Duration::ZERO).err();
    assert_eq!(refused.map(|(status, _)| status), Some(Status::NOT_SUPPORTED));
}
