use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from(number)
}

#[test]
fn an_id_is_reserved_until_its_request_ends_and_longer_if_it_is_retained() {
    let mut ids = RequestIds::default();
    let now = Instant::now();
    assert!(ids.reserve(&id(1), now) && ids.reserve(&id(2), now));
    assert!(!ids.reserve(&id(1), now), "the request is open");
    ids.release(&id(1));
    ids.retain(&id(2), now);
    assert!(ids.reserve(&id(1), now));
    assert!(!ids.reserve(&id(2), now + RETENTION - Duration::from_millis(1)));
    assert!(ids.reserve(&id(2), now + RETENTION));
}

/// Guards against memory that grows with every client that leaves.
#[test]
fn no_more_ids_are_retained_than_the_limit() {
    let mut ids = RequestIds::default();
    let now = Instant::now();
    for number in 0..2 * MAX_RETAINED_IDS {
        ids.retain(&id(number), now);
    }
    assert_eq!((ids.retained.len(), ids.retained_order.len()), (MAX_RETAINED_IDS, MAX_RETAINED_IDS));
    assert!(ids.reserve(&id(0), now), "the oldest id was released");
    assert!(!ids.reserve(&id(2 * MAX_RETAINED_IDS - 1), now));
}
