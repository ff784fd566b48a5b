use super::*;
use crate::codec::discovery::Cluster;

fn told(revision: u64) -> WatchEvent {
    WatchEvent::Update(Some(Cluster { revision, complete: false, nodes: Vec::new() }))
}

/// Guards against what an old watch said last, in the queue or on its way as the next call is made: neither is it
/// lost, nor taken for the new one's, nor does it come over what the new one has told.
#[test]
fn what_the_watch_before_says_is_told_from_what_the_present_one_says() {
    let (executor, site) = (LocalExecutor::new(), Rc::new(Site::default()));
    let (queue, _news) = async_channel::bounded(8);
    let mut d = Discovery::new(String::new(), "127.0.0.1:1".parse().expect("an address"));
    d.watch(Some(1), &executor, &queue, &site);
    assert!(matches!(d.hear(1, told(2)), Some(Input::Cluster(Some(_)))));
    d.watch(None, &executor, &queue, &site);
    assert!(d.before.is_some(), "till the present one speaks");
    assert!(matches!(d.hear(1, told(3)), Some(Input::PreviousWatch(_))));
    assert!(d.hear(1, WatchEvent::Update(None)).is_none() && d.hear(1, WatchEvent::Ended).is_none());
    // A call without an answer gives way to the next; the watch that has spoken does not.
    d.watch(None, &executor, &queue, &site);
    assert!(d.hear(2, WatchEvent::Ended).is_none() && d.before.is_some());
    assert!(matches!(d.hear(1, told(4)), Some(Input::PreviousWatch(_))));
    assert!(matches!(d.hear(3, WatchEvent::Answered), Some(Input::Cluster(None))) && d.before.is_some());
    assert!(matches!(d.hear(3, told(1)), Some(Input::Cluster(Some(_)))) && d.before.is_none());
    assert!(d.hear(1, told(5)).is_none() && d.hear(2, told(5)).is_none());
    assert!(matches!(d.hear(3, WatchEvent::Ended), Some(Input::WatchEnded)));
}
