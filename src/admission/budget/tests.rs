use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn open_descriptors_never_exceed_the_budget(
        descriptors in 64usize..600,
        side_ports in 0usize..3,
        steps in proptest::collection::vec((0usize..3, proptest::bool::weighted(0.7)), 0..2000),
    ) {
        let budget = Budget::new(descriptors, side_ports);
        let [mut nodes, mut main, mut side] = [0usize; 3];
        for (who, more) in steps {
            let (open, most) = match who {
                0 => (&mut nodes, budget.node_limit([main, side])),
                1 => (&mut main, budget.limit_of(PortKind::Main, nodes, side)),
                _ if side_ports == 0 => continue,
                _ => (&mut side, budget.limit_of(PortKind::Side, nodes, main)),
            };
            match more {
                true if *open < most => *open += 1,
                true => {}
                false => *open = open.saturating_sub(1),
            }
            prop_assert!(nodes + main + side + RESERVE <= descriptors);
            // The guaranteed shares are never taken by the other party.
            prop_assert!(budget.node_limit([main, side]) >= budget.guaranteed);
            prop_assert!(budget.downstream_limit(nodes) >= budget.guaranteed);
            prop_assert!(side_ports == 0 || budget.limit_of(PortKind::Side, nodes, main) >= 2);
        }
    }
}

#[test]
fn a_lone_user_may_take_all_but_the_guaranteed_share_of_the_others() {
    let budget = Budget::new(1024, 1);
    assert_eq!((budget.node_limit([0, 0]), budget.downstream_limit(0)), (596, 596));
    assert_eq!((budget.node_limit([590, 6]), budget.downstream_limit(596)), (396, 396));
    assert_eq!((budget.limit_of(PortKind::Side, 0, 0), budget.limit_of(PortKind::Side, 0, 100)), (596, 149));
    assert_eq!((budget.limit_of(PortKind::Main, 0, 0), budget.limit_of(PortKind::Main, 0, 100)), (572, 496));
}
