use super::*;
use std::time::Duration;

#[test]
fn a_pause_of_the_relay_thread_voids_a_run() {
    let links = Links::start(1).expect("the thread starts");
    let pause = Duration::from_micros(VOID_WORST_US) + Duration::from_millis(50);
    links.ask(|reply| Order::Sleep(pause, reply)).expect("it slept");
    let late = links.lateness();
    assert!(late.void && late.worst_us > VOID_WORST_US, "{late:?}");
}

#[test]
fn calls_fail_after_the_relay_thread_has_ended() {
    let links = Links::start(1).expect("the thread starts");
    assert_eq!(links.set("a", "b", Condition::cut()).ok(), Some(()));
    links.orders.close();
    assert!(links.set("a", "b", Condition::cut()).is_err() && links.lateness().void);
}
