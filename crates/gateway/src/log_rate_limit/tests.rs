use super::*;

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted_in_the_next_line() {
    let limit = LogRateLimit::default();
    let start = Instant::now();
    for _ in 0..MAX_LINES_PER_WINDOW {
        assert_eq!(limit.admit(start), Some(0));
    }
    assert_eq!(limit.admit(start), None);
    assert_eq!(limit.admit(start + WINDOW - Duration::from_millis(1)), None);
    assert_eq!(limit.admit(start + WINDOW), Some(2));
    assert_eq!(limit.admit(start + WINDOW), Some(0));
}
