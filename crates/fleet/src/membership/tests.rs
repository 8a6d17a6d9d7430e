use super::*;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn membership() -> Membership {
    Membership::new(["b", "c"].iter().map(|name| (*name).to_owned()))
}

#[test]
fn ended_cut_off_and_paused_peers_are_distinguished_where_possible() {
    let mut membership = membership();
    assert_eq!(membership.state(ms(0), "b"), PeerState::Unknown);
    membership.link_up(ms(0), "b", Incarnation(1));
    assert_eq!(membership.state(ms(999), "b"), PeerState::Reachable);
    assert_eq!(
        membership.state(ms(1000), "b"),
        PeerState::PausedOrSlow,
        "the link is up, and no message arrives"
    );
    let views_of_b = |view| [("b".to_owned(), view)];
    membership.record_views(ms(1000), "c", &views_of_b(PeerView::Reachable));
    assert_eq!(
        membership.state(ms(1100), "b"),
        PeerState::CutFromMe,
        "another gateway receives messages from the peer"
    );
    assert_eq!(
        membership.state(ms(3100), "b"),
        PeerState::PausedOrSlow,
        "the other gateway's view has expired"
    );
    membership.record_views(ms(3100), "c", &views_of_b(PeerView::Refused));
    assert_eq!(membership.state(ms(3200), "b"), PeerState::ProcessEnded);
    assert_eq!(membership.half_open(ms(3200)), ["b"]);
    membership.link_down("b", LinkFailure::Broken);
    assert!(membership.half_open(ms(9000)).is_empty());
    assert_eq!(membership.state(ms(9000), "b"), PeerState::Unreachable);
    membership.link_down("b", LinkFailure::Refused);
    assert_eq!(membership.state(ms(9000), "b"), PeerState::ProcessEnded);
}

#[test]
fn a_second_process_of_a_name_is_admitted_once_the_first_is_silent() {
    let mut membership = membership();
    assert!(membership.admits(ms(0), "b", Incarnation(1)));
    membership.link_up(ms(0), "b", Incarnation(1));
    assert!(membership.admits(ms(100), "b", Incarnation(1)), "the same process connects again");
    assert!(!membership.admits(ms(100), "b", Incarnation(2)));
    assert!(
        membership.admits(ms(1000), "b", Incarnation(2)),
        "the first process is paused, or ended without closing its link"
    );
    membership.link_down("b", LinkFailure::Broken);
    assert!(membership.admits(ms(100), "b", Incarnation(2)));
}

#[test]
fn a_peer_cannot_report_itself_reachable() {
    let mut membership = membership();
    membership.link_down("b", LinkFailure::Broken);
    membership.record_views(ms(0), "b", &[("b".to_owned(), PeerView::Reachable)]);
    assert_eq!(membership.state(ms(0), "b"), PeerState::Unreachable);
}
