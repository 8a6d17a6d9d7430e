//! Tests of sharing descriptors between two processes.

use super::*;

#[test]
fn descriptors_that_another_process_has_open_are_left_to_it() {
    let budget = DescriptorBudget::new(&Limits { memory_mb: 192, sockets: 1024 }, AdminApi::Enabled);
    let capacity = budget.clients.capacity();
    let mut permits: Vec<_> = (0..capacity).map(|_| budget.clients.acquire().expect("a place")).collect();
    assert!(budget.clients.acquire().is_none());
    assert_eq!(budget.usage(), DescriptorUsage { clients: capacity, overflow: 0, endpoints: 0 });
    budget.reserve_for_peer(DescriptorUsage { clients: 10, overflow: 1, endpoints: 2 });
    assert_eq!(
        (budget.clients.capacity(), budget.usage().clients),
        (capacity - 10, capacity),
        "nothing is cut off"
    );
    permits.truncate(capacity - 10);
    assert!(budget.clients.acquire().is_none(), "ten are another's");
    permits.truncate(capacity - 11);
    assert!(budget.clients.acquire().is_some());
    budget.reserve_for_peer(DescriptorUsage::default());
    assert_eq!(budget.clients.capacity(), capacity);
    // The second address is paid for by the others.
    let without = DescriptorBudget::new(&Limits { memory_mb: 192, sockets: 1024 }, AdminApi::Disabled);
    assert!(without.upstream.capacity() > budget.upstream.capacity() && without.admin.capacity() == 0);
}
