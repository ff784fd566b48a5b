use super::*;
use crate::clients::Arrivals;
use crate::scenario::Scenario;

fn request() -> (Request, ClientClass) {
    let s = Scenario::default();
    let r = Arrivals::new(&s, 1).next().expect("a request");
    let r = Request { at: 1_000, retries: 2, backoff: 100_000, honours: true, try_for: 1_200_000, ..r };
    (r, s.clients.classes[0].clone())
}

#[test]
fn a_client_waits_longer_before_each_try_and_stops_when_its_time_is_up() {
    let (r, class) = request();
    let mut retry_state = RetryState::default();
    assert_eq!(retry_state.begin(1_000, &r, &class), 1_201_000);
    let Next::Try { at } = retry_state.after(101_000, &r, &class, TryEnd::Failed) else {
        panic!("a second try")
    };
    assert!((150_000..=251_000).contains(&at), "{at}");
    assert_eq!(retry_state.begin(1_500_000, &r, &class), 2_001_000, "no try outlasts the client's patience");
    assert_eq!(
        retry_state.after(1_900_000, &r, &class, TryEnd::Left),
        Next::Over,
        "no time is left for a third"
    );
    retry_state.begin(300_000, &r, &class);
    assert_eq!(
        retry_state.after(310_000, &r, &class, TryEnd::Failed),
        Next::Over,
        "the client makes at most three tries"
    );
}

#[test]
fn a_refusal_sets_the_retry_delay() {
    let (r, class) = request();
    let mut retry_state = RetryState::default();
    retry_state.begin(1_000, &r, &class);
    let refused = TryEnd::Refused(Some(900_000));
    assert_eq!(retry_state.after(100_000, &r, &class, refused), Next::Try { at: 1_000_000 });
    let rude = Request { honours: false, ..r };
    let Next::Try { at } = retry_state.after(100_000, &rude, &class, refused) else { panic!("a second try") };
    assert!(at <= 250_000, "{at}");
}

#[test]
fn unsafe_requests_are_retried_only_if_they_never_ran() {
    let (r, class) = request();
    let class = ClientClass { repeat: Repeat::Unsafe, ..class };
    let mut retry_state = RetryState::default();
    retry_state.begin(1_000, &r, &class);
    assert_eq!(retry_state.after(2_000, &r, &class, TryEnd::Left), Next::Over);
    assert_eq!(retry_state.after(2_000, &r, &class, TryEnd::Failed), Next::Over);
    assert!(matches!(retry_state.after(2_000, &r, &class, TryEnd::Unreached), Next::Try { .. }));
}
