//! Tests of the balancer's behaviour, each in one situation.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod discovery_polling;
mod hot_restart;
mod invalid_input;
mod retry;
mod selection;
mod slow_start;

#[path = "../../examples/by_hand.rs"]
#[allow(dead_code)]
mod by_hand;

#[test]
fn example_runs_without_panic() {
    by_hand::main();
}
