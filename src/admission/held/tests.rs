use super::*;

/// The log shows what is held for all connections when it was most, and a closed connection holds nothing.
#[test]
fn the_peak_has_the_kinds_of_all_connections_at_that_moment() {
    let memory = Rc::new(HeldMemory::default());
    let (mut client, mut node) = (HeldShare::new(memory.clone()), HeldShare::new(memory.clone()));
    client.set(HeldBytes::default().with(HeldKind::Input, 300).with(HeldKind::Commands, 20));
    node.set(HeldBytes::default().with(HeldKind::Replies, 4_000));
    client.set(HeldBytes::default().with(HeldKind::WaitingAnswers, 50));
    drop(node);
    assert_eq!(memory.now(), HeldBytes::default().with(HeldKind::WaitingAnswers, 50));
    let peak = memory.take_peak();
    assert_eq!(
        [HeldKind::Input, HeldKind::Commands, HeldKind::Replies].map(|kind| peak.of(kind)),
        [300, 20, 4_000]
    );
    assert_eq!(memory.take_peak().total(), 50, "the next peak begins with what is held");
    drop(client);
    assert_eq!(memory.now().total(), 0);
}
