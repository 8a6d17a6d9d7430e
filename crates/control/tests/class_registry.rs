//! Classes change while requests and attempts still refer to the classes under which they started.

use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::{Idempotency, RequestClass};
use weldworks_control::class_registry::{
    ClassError, ClassRegistry, RegisteredClass, RequestForm, RETIRED_CLASS_GRACE,
};

const READ: RequestForm = RequestForm { is_write: false, has_idempotency_key: false };
const WRITE: RequestForm = RequestForm { is_write: true, has_idempotency_key: false };
const NOW: Duration = Duration::from_secs(100);

fn class(latency_objective_ms: u64, idempotency: Idempotency) -> RequestClass {
    let latency_objective = Duration::from_millis(latency_objective_ms);
    RequestClass { idempotency, ..RequestClass::new(latency_objective, Duration::from_secs(1)) }
}

fn active_class(registry: &ClassRegistry, name: &str) -> Option<Rc<RegisteredClass>> {
    registry.active().find(|class| class.name == name).cloned()
}

#[test]
fn a_class_with_another_idempotency_gets_another_number() {
    let mut registry = ClassRegistry::default();
    registry.replace(
        NOW,
        [
            ("pay".to_owned(), class(300, Idempotency::Idempotent)),
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
        ],
    );
    let old_pay = active_class(&registry, "pay").expect("the class `pay` is active");
    let look_number = active_class(&registry, "look").expect("the class `look` is active").number;
    registry.replace(
        NOW,
        [
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
            ("pay".to_owned(), class(300, Idempotency::NotIdempotent)),
        ],
    );
    let new_pay = active_class(&registry, "pay").expect("the class `pay` is active");
    assert_ne!(new_pay.number, old_pay.number, "the old class is still referred to");
    assert_eq!(
        (old_pay.class.idempotency, new_pay.class.idempotency),
        (Idempotency::Idempotent, Idempotency::NotIdempotent)
    );
    assert_eq!(
        active_class(&registry, "look").expect("the class `look` is active").number,
        look_number,
        "an unchanged class keeps its number"
    );
    let rules = registry.by_number();
    assert!(
        rules[old_pay.number].retired && rules[old_pay.number].idempotency == Idempotency::Idempotent,
        "requests of the old class keep their rules"
    );
    assert!(!rules[new_pay.number].retired);
}

proptest! {
    /// Classes change with every configuration while requests still refer to old ones.
    /// If a number were reused for another class too early, the end of an attempt would
    /// be counted for the wrong class; if numbers were never reused, they would run out.
    #[test]
    fn a_number_is_reused_only_once_nothing_refers_to_its_class(
        configurations in prop::collection::vec(prop::collection::btree_map("[a-d]", 1u64..4, 1..4), 1..40),
        reference_counts in prop::collection::vec(0usize..5, 40),
    ) {
        let mut registry = ClassRegistry::default();
        let mut referenced: Vec<Rc<RegisteredClass>> = Vec::new();
        let mut previous = std::collections::BTreeMap::<String, u64>::new();
        for (index, (configuration, count)) in configurations.iter().zip(&reference_counts).enumerate() {
            let now = NOW + Duration::from_millis(700 * index as u64);
            let classes = configuration.iter().map(|(name, objective_ms)| (name.clone(), class(*objective_ms, Idempotency::Idempotent)));
            registry.replace(now, classes);
            prop_assert_eq!(registry.active().count(), configuration.len());
            for (name, objective_ms) in configuration {
                let active = active_class(&registry, name).expect("every class of the configuration is active");
                prop_assert_eq!(active.class.latency_objective, Duration::from_millis(*objective_ms));
            }
            let rules = registry.by_number();
            for class in &referenced {
                prop_assert_eq!(&rules[class.number].latency_objective, &class.class.latency_objective, "{:?} has lost its number", class);
            }
            referenced.extend(registry.active().take(*count).cloned());
            let excess = referenced.len().saturating_sub(6);
            referenced.drain(..excess);
            // Up to 4 active classes, 6 that are referred to, and 4 from each of 3 configurations that clients may
            // still use; the limit allows for a fourth configuration.
            prop_assert!(rules.len() <= 4 + 6 + 4 * 4, "{} numbers", rules.len());
            // A class of the previous configuration is usable with its
            // old rules during the grace time, and not after that.
            let table = registry.table();
            for (name, objective_ms) in previous.iter().filter(|(name, _)| !configuration.contains_key(name.as_str())) {
                let retired = table.resolve(now, name, READ).expect("clients may still use the retired class");
                prop_assert_eq!(retired.class.latency_objective, Duration::from_millis(*objective_ms));
                prop_assert_eq!(&rules[retired.number].latency_objective, &retired.class.latency_objective, "{:?} has lost its number", retired);
                prop_assert_eq!(table.resolve(now + RETIRED_CLASS_GRACE, name, READ).err(), Some(ClassError::Unknown));
            }
            previous = configuration.clone();
        }
    }
}

#[test]
fn a_request_resolves_to_the_class_of_its_form_also_shortly_after_a_change() {
    let mut registry = ClassRegistry::default();
    registry.replace(
        NOW,
        [
            ("pay".to_owned(), class(300, Idempotency::Idempotent)),
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
        ],
    );
    let changed_at = NOW + RETIRED_CLASS_GRACE / 2;
    registry.replace(changed_at, [("pay".to_owned(), class(300, Idempotency::NotIdempotent))]);
    let table = registry.table();
    let idempotency = |now, name, form| table.resolve(now, name, form).map(|class| class.class.idempotency);
    let grace_end = changed_at + RETIRED_CLASS_GRACE;
    assert_eq!(
        idempotency(changed_at, "pay", WRITE),
        Ok(Idempotency::NotIdempotent),
        "the new rules apply at once"
    );
    assert_eq!(
        idempotency(changed_at, "pay", READ),
        Ok(Idempotency::Idempotent),
        "the old rules still apply during the grace time"
    );
    assert_eq!(idempotency(changed_at, "look", READ), Ok(Idempotency::Idempotent));
    assert_eq!(idempotency(grace_end, "pay", READ), Err(ClassError::MethodMismatch));
    assert_eq!(idempotency(grace_end, "look", READ), Err(ClassError::Unknown));
    assert_eq!(
        idempotency(changed_at, "pay", RequestForm { is_write: true, has_idempotency_key: true }),
        Err(ClassError::KeyMismatch)
    );
    assert_eq!(idempotency(changed_at, "nobody", READ), Err(ClassError::Unknown));
    // A further configuration without changes does not shorten the grace time.
    registry.replace(
        changed_at + RETIRED_CLASS_GRACE / 2,
        [("pay".to_owned(), class(300, Idempotency::NotIdempotent))],
    );
    assert!(registry.table().resolve(grace_end - Duration::from_millis(1), "look", READ).is_ok());
    registry.replace(grace_end, [("pay".to_owned(), class(300, Idempotency::NotIdempotent))]);
    assert_eq!(registry.table().resolve(grace_end, "look", READ).err(), Some(ClassError::Unknown));
}
