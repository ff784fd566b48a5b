use super::*;

#[test]
fn a_word_that_selects_nothing_known_is_turned_away() {
    for right in ["all", "f3", "role:planner", "hall:hofdi", "share:0.1", "role:forwarder+share:0.5", "f1+f2"]
    {
        assert!(right.parse::<Select>().is_ok(), "{right}");
    }
    for wrong in ["", "role:king", "share:0", "share:1.5", "share:x", "hall:", "f1+", "a b", "x:y"] {
        assert_eq!(wrong.parse::<Select>(), Err(SELECT_USAGE), "{wrong}");
    }
    for right in ["halls", "pairs:0.33", "ring", "bridge:p0", "alone:f1"] {
        assert!(right.parse::<Pattern>().is_ok(), "{right}");
    }
    for wrong in ["", "hall", "pairs:2", "bridge:", "alone"] {
        assert_eq!(wrong.parse::<Pattern>(), Err(PATTERN_USAGE), "{wrong}");
    }
}

#[test]
fn each_kind_is_written_as_it_is_read() {
    for kind in Kind::ALL {
        let fault = Fault::new(kind, 1.5, 2.0);
        let json = serde_json::to_value(&fault).expect("it is written");
        assert_eq!(json["kind"], kind.name());
        assert_eq!(serde_json::from_value::<Fault>(json).expect("it is read"), fault);
        assert!(fault.to_string().starts_with(&format!("{} at 1.5 s for 2 s", kind.name())));
    }
}
