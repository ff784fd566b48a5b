//! The paper's equations compared with values calculated by hand.

use martenweir::choice::shares;
use martenweir::Terms;

fn near(got: f64, want: f64) {
    assert!((got - want).abs() < 1e-5, "{got} is not {want}");
}

const GATHERING: Terms = Terms { rho: 0.5, service: 10.0, arrival_scv: 1.0, service_scv: 2.0 };
const BUSY: Terms = Terms { rho: 0.8, service: 20.0, arrival_scv: 1.0, service_scv: 1.0 };
const IDLE: Terms = Terms { rho: 0.2, service: 5.0, arrival_scv: 1.0, service_scv: 0.5 };

#[test]
fn congestion_index_is_eq_3_over_the_service_time() {
    // 0.5 / 0.5 * (1 + 2) / 2
    near(GATHERING.congestion_index(), 1.5);
}

#[test]
fn two_candidates_by_eqs_2_and_4_to_7() {
    // Eq. 2: C_D^2 = 0.25 * 2 + 0.75 * 1 = 1.25.           Eq. 4: C_i^2 = 1.25 / 2 + 1 / 2 = 1.125.
    // Eq. 6: L_1 = 0.25 / 0.5 * (1.125 + 2) / 2 = 0.78125; L_2 = 0.64 / 0.2 * (1.125 + 1) / 2 = 3.4.
    // Eq. 5: W_1 = 10 * 1 * 1.5625 = 15.625;               W_2 = 20 * 4 * 1.0625 = 85.
    // Eq. 7: R_1 = (0.78125 / 4.18125 + 15.625 / 100.625) / 2 = (0.1868460 + 0.1552795) / 2 = 0.1710628.
    let s = shares(&[GATHERING, BUSY]);
    near(s[0], 1.0 - 0.1710628);
    near(s[1], 0.1710628);
    // Algorithm 1 line 19 would be (0.78125 + 15.625) / (2 * (4.18125 + 100.625)) = 0.0782694 for R_1.
    assert!((1.0 - s[0] - 0.0782694).abs() > 0.05);
}

#[test]
fn three_candidates_by_eqs_2_and_4_to_7() {
    // C_i^2 = 1.25 / 3 + 2 / 3 = 1.0833333.
    // L = 0.7708333, 3.3333333, 0.0395833 (sum 4.14375).
    // W = 15.4166667, 83.3333333, 0.9895833 (sum 99.7395833).
    // R = (0.1860231 + 0.1545692) / 2, (0.8044244 + 0.8355091) / 2, (0.0095525 + 0.0099217) / 2.
    let s = shares(&[GATHERING, BUSY, IDLE]);
    near(s[0], (1.0 - 0.1702962) / 2.0);
    near(s[1], (1.0 - 0.8199668) / 2.0);
    near(s[2], (1.0 - 0.0097371) / 2.0);
    near(s.iter().sum(), 1.0);
    // Line 19: R_1 = (0.7708333 + 15.4166667) / (2 * (4.14375 + 99.7395833)) = 0.0779119.
    assert!(((1.0 - 2.0 * s[0]) - 0.0779119).abs() > 0.05);
}

#[test]
fn idle_candidates_get_equal_parts_and_one_gets_all() {
    let idle = Terms { rho: 0.0, ..IDLE };
    assert_eq!(shares(&[idle, idle]), vec![0.5, 0.5]);
    assert_eq!(shares(&[BUSY]), vec![1.0]);
    assert!(shares(&[]).is_empty());
}
