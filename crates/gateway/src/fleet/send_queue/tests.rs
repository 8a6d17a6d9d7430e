//! The bound of a peer's send queue.

use super::*;

/// A peer stops reading while frames for it go on. It may cost no more memory than the queue's bound, and then its link.
#[test]
fn a_queue_is_bounded_in_bytes_and_frames_and_ends_beyond() {
    let queue = SendQueue { max_bytes: 1000, ..SendQueue::default() };
    for _ in 0..10 {
        queue.push(vec![0; 100]);
    }
    assert!(!queue.is_closed() && queue.queued_bytes.get() == 1000);
    queue.push(vec![0; 1]);
    assert!(queue.is_closed() && queue.queued_bytes.get() == 1000, "nothing more is held");
    assert_eq!(queue.try_next().map(|frame| frame.len()), Some(100));
    assert_eq!(queue.queued_bytes.get(), 900);
    let queue = SendQueue { max_bytes: usize::MAX, ..SendQueue::default() };
    for _ in 0..=MAX_QUEUED_FRAMES {
        queue.push(Vec::new());
    }
    assert!(queue.is_closed() && queue.frames.borrow().len() == MAX_QUEUED_FRAMES);
}
