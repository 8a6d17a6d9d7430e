//! Tests of the division of the descriptor limit, by memory and between the two processes of a hot restart.

use super::*;

#[test]
fn descriptors_that_the_other_process_has_open_are_reserved_for_it() {
    let budget = DescriptorBudget::new(&Limits { memory_mb: 192, sockets: 1024 }, AdminApi::Enabled);
    let capacity = budget.clients.capacity();
    let mut permits: Vec<_> = (0..capacity)
        .map(|_| budget.clients.acquire().expect("no permit left within the capacity"))
        .collect();
    assert!(budget.clients.acquire().is_none());
    assert_eq!(budget.usage(), DescriptorUsage { clients: capacity, overflow: 0, endpoints: 0 });
    budget.reserve_for_peer(DescriptorUsage { clients: 10, overflow: 1, endpoints: 2 });
    assert_eq!(
        (budget.clients.capacity(), budget.usage().clients),
        (capacity - 10, capacity),
        "open descriptors must stay open"
    );
    permits.truncate(capacity - 10);
    assert!(
        budget.clients.acquire().is_none(),
        "a permit was acquired though ten descriptors are reserved for the other process"
    );
    permits.truncate(capacity - 11);
    assert!(budget.clients.acquire().is_some());
    budget.reserve_for_peer(DescriptorUsage::default());
    assert_eq!(budget.clients.capacity(), capacity);
    // The admin API's descriptors are deducted from the other quotas.
    let without_admin = DescriptorBudget::new(&Limits { memory_mb: 192, sockets: 1024 }, AdminApi::Disabled);
    assert!(
        without_admin.upstream.capacity() > budget.upstream.capacity() && without_admin.admin.capacity() == 0
    );
}

/// Guards against a process that passes its memory limit: each connection to an endpoint keeps its buffers while it is idle, and only
/// descriptors limited their number.
#[test]
fn connections_to_clients_and_endpoints_fit_into_memory_together() {
    for (memory_mb, sockets) in [(16, 2048), (32, 2048), (48, 576), (64, 1024), (192, 1024), (192, 4096)] {
        let budget = DescriptorBudget::new(&Limits { memory_mb, sockets }, AdminApi::Enabled);
        let clients = budget.clients.capacity() + budget.overflow.capacity();
        let endpoints = budget.upstream.capacity();
        let used = clients * MAX_CLIENT_MEMORY_BYTES + endpoints * (64 << 10);
        assert!(used <= memory_mb << 20, "{memory_mb} MB, {sockets} descriptors: {used} bytes");
        let usable = budget.clients.capacity();
        assert!(endpoints >= usable.min(sockets / 3), "{endpoints} connections for {usable} clients");
    }
}
