use super::*;
use crate::codec::discovery::Cluster;

fn list_event(revision: u64) -> WatchEvent {
    WatchEvent::Update(Some(Cluster { revision, complete: false, nodes: Vec::new() }))
}

/// The last messages of an old watch may still be queued or arriving when the next call is made: they must be
/// neither lost, nor attributed to the new watch, nor applied over what the new one has sent.
#[test]
fn messages_of_the_previous_watch_are_distinguished_from_those_of_the_current_one() {
    let (executor, site) = (LocalExecutor::new(), Rc::new(Site::default()));
    let (queue, _news) = async_channel::bounded(8);
    let mut discovery = Discovery::new(String::new(), "127.0.0.1:1".parse().expect("an address"));
    discovery.watch(Some(1), &executor, &queue, &site);
    assert!(matches!(discovery.handle(1, list_event(2)), Some(Input::Cluster(Some(_)))));
    discovery.watch(None, &executor, &queue, &site);
    assert!(discovery.previous.is_some(), "kept until the current one sends a list");
    assert!(matches!(discovery.handle(1, list_event(3)), Some(Input::PreviousWatch(_))));
    assert!(
        discovery.handle(1, WatchEvent::Update(None)).is_none()
            && discovery.handle(1, WatchEvent::Ended).is_none()
    );
    // An unanswered call is replaced by the next; the watch that has sent something is kept.
    discovery.watch(None, &executor, &queue, &site);
    assert!(discovery.handle(2, WatchEvent::Ended).is_none() && discovery.previous.is_some());
    assert!(matches!(discovery.handle(1, list_event(4)), Some(Input::PreviousWatch(_))));
    assert!(
        matches!(discovery.handle(3, WatchEvent::Answered), Some(Input::Cluster(None)))
            && discovery.previous.is_some()
    );
    assert!(
        matches!(discovery.handle(3, list_event(1)), Some(Input::Cluster(Some(_))))
            && discovery.previous.is_none()
    );
    assert!(discovery.handle(1, list_event(5)).is_none() && discovery.handle(2, list_event(5)).is_none());
    assert!(matches!(discovery.handle(3, WatchEvent::Ended), Some(Input::WatchEnded)));
}
