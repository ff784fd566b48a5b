use super::*;

#[test]
fn unknown_selectors_and_patterns_are_rejected() {
    for valid in ["all", "f3", "role:planner", "hall:hofdi", "share:0.1", "role:forwarder+share:0.5", "f1+f2"]
    {
        assert!(valid.parse::<Select>().is_ok(), "{valid}");
    }
    for invalid in ["", "role:king", "share:0", "share:1.5", "share:x", "hall:", "f1+", "a b", "x:y"] {
        assert_eq!(invalid.parse::<Select>(), Err(SELECT_USAGE), "{invalid}");
    }
    for valid in ["halls", "pairs:0.33", "ring", "bridge:p0", "alone:f1"] {
        assert!(valid.parse::<Pattern>().is_ok(), "{valid}");
    }
    for invalid in ["", "hall", "pairs:2", "bridge:", "alone"] {
        assert_eq!(invalid.parse::<Pattern>(), Err(PATTERN_USAGE), "{invalid}");
    }
}

#[test]
fn every_kind_survives_a_round_trip_through_json() {
    for kind in Kind::ALL {
        let fault = Fault::new(kind, 1.5, 2.0);
        let json = serde_json::to_value(&fault).expect("it is written");
        assert_eq!(json["kind"], kind.name());
        assert_eq!(serde_json::from_value::<Fault>(json).expect("it is read"), fault);
        assert!(fault.to_string().starts_with(&format!("{} at 1.5 s for 2 s", kind.name())));
    }
}
