//! Tests of the bounds of a peer's send queue.

use super::*;

/// A peer stops reading while frames are still queued for it. The queue must not grow beyond its bound, and must close the link.
#[test]
fn a_queue_that_exceeds_its_bytes_or_frames_is_closed() {
    let queue = SendQueue { max_bytes: 1000, ..SendQueue::default() };
    for _ in 0..10 {
        queue.push(vec![0; 100]);
    }
    assert!(!queue.is_closed() && queue.queued_bytes.get() == 1000);
    queue.push(vec![0; 1]);
    assert!(
        queue.is_closed() && queue.queued_bytes.get() == 1000,
        "the frame beyond the bound is not queued"
    );
    assert_eq!(queue.try_next().map(|frame| frame.len()), Some(100));
    assert_eq!(queue.queued_bytes.get(), 900);
    let queue = SendQueue { max_bytes: usize::MAX, ..SendQueue::default() };
    for _ in 0..=MAX_QUEUED_FRAMES {
        queue.push(Vec::new());
    }
    assert!(queue.is_closed() && queue.frames.borrow().len() == MAX_QUEUED_FRAMES);
}
