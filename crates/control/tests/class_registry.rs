//! Classes come and go while requests hold on to theirs.

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

fn class(aim: u64, effect: Idempotency) -> RequestClass {
    RequestClass {
        idempotency: effect,
        ..RequestClass::new(Duration::from_millis(aim), Duration::from_secs(1))
    }
}

fn named(classes: &ClassRegistry, name: &str) -> Option<Rc<RegisteredClass>> {
    classes.active().find(|kept| kept.name == name).cloned()
}

#[test]
fn a_class_with_another_effect_is_another_class() {
    let mut classes = ClassRegistry::default();
    classes.replace(
        NOW,
        [
            ("pay".to_owned(), class(300, Idempotency::Idempotent)),
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
        ],
    );
    let (pay, look) = (named(&classes, "pay").expect("pay"), named(&classes, "look").expect("look").number);
    classes.replace(
        NOW,
        [
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
            ("pay".to_owned(), class(300, Idempotency::NotIdempotent)),
        ],
    );
    let new = named(&classes, "pay").expect("pay");
    assert_ne!(new.number, pay.number, "the old one is held");
    assert_eq!(
        (pay.class.idempotency, new.class.idempotency),
        (Idempotency::Idempotent, Idempotency::NotIdempotent)
    );
    assert_eq!(named(&classes, "look").expect("look").number, look, "what is as before stays what it is");
    let rules = classes.by_number();
    assert!(
        rules[pay.number].retired && rules[pay.number].idempotency == Idempotency::Idempotent,
        "held to its end"
    );
    assert!(!rules[new.number].retired);
}

proptest! {
    /// Whatever the settings do, a number is one class's for as long as somebody holds it, and numbers do not run out.
    #[test]
    fn numbers_are_given_anew_only_once_nobody_holds_them(
        files in prop::collection::vec(prop::collection::btree_map("[a-d]", 1u64..4, 1..4), 1..40),
        hold in prop::collection::vec(0usize..5, 40),
    ) {
        let mut classes = ClassRegistry::default();
        let mut held: Vec<Rc<RegisteredClass>> = Vec::new();
        let mut before = std::collections::BTreeMap::<String, u64>::new();
        for (n, (file, hold)) in files.iter().zip(&hold).enumerate() {
            let now = NOW + Duration::from_millis(700 * n as u64);
            classes.replace(now, file.iter().map(|(name, aim)| (name.clone(), class(*aim, Idempotency::Idempotent))));
            prop_assert_eq!(classes.active().count(), file.len());
            for (name, aim) in file {
                let kept = named(&classes, name).expect("every class of the file");
                prop_assert_eq!(kept.class.latency_objective, Duration::from_millis(*aim));
            }
            let rules = classes.by_number();
            for kept in &held {
                prop_assert_eq!(&rules[kept.number].latency_objective, &kept.class.latency_objective, "{:?} has lost its number", kept);
            }
            held.extend(classes.active().take(*hold).cloned());
            let over = held.len().saturating_sub(6);
            held.drain(..over);
            // Four live, six held, and three files' worth that clients may still use.
            prop_assert!(rules.len() <= 4 + 6 + 4 * 4, "{} numbers", rules.len());
            // Whatever was named a moment ago is still served by the rules it had, and some time later no more.
            let offer = classes.table();
            for (name, aim) in before.iter().filter(|(name, _)| !file.contains_key(name.as_str())) {
                let kept = offer.resolve(now, name, READ).expect("clients may still use it");
                prop_assert_eq!(kept.class.latency_objective, Duration::from_millis(*aim));
                prop_assert_eq!(&rules[kept.number].latency_objective, &kept.class.latency_objective, "{:?} has lost its number", kept);
                prop_assert_eq!(offer.resolve(now + RETIRED_CLASS_GRACE, name, READ).err(), Some(ClassError::Unknown));
            }
            before = file.clone();
        }
    }
}

#[test]
fn a_request_comes_under_the_rules_that_it_was_made_for() {
    let mut classes = ClassRegistry::default();
    classes.replace(
        NOW,
        [
            ("pay".to_owned(), class(300, Idempotency::Idempotent)),
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
        ],
    );
    let later = NOW + RETIRED_CLASS_GRACE / 2;
    classes.replace(later, [("pay".to_owned(), class(300, Idempotency::NotIdempotent))]);
    let offer = classes.table();
    let effect = |now, name, form| offer.resolve(now, name, form).map(|kept| kept.class.idempotency);
    let end = later + RETIRED_CLASS_GRACE;
    assert_eq!(effect(later, "pay", WRITE), Ok(Idempotency::NotIdempotent), "by the new rules at once");
    assert_eq!(effect(later, "pay", READ), Ok(Idempotency::Idempotent), "and by the old ones for a while");
    assert_eq!(effect(later, "look", READ), Ok(Idempotency::Idempotent));
    assert_eq!(effect(end, "pay", READ), Err(ClassError::MethodMismatch));
    assert_eq!(effect(end, "look", READ), Err(ClassError::Unknown));
    assert_eq!(
        effect(later, "pay", RequestForm { is_write: true, has_idempotency_key: true }),
        Err(ClassError::KeyMismatch)
    );
    assert_eq!(effect(later, "nobody", READ), Err(ClassError::Unknown));
    // A file that changes nothing more, a moment later, does not end it; one after its time does.
    classes.replace(
        later + RETIRED_CLASS_GRACE / 2,
        [("pay".to_owned(), class(300, Idempotency::NotIdempotent))],
    );
    assert!(classes.table().resolve(end - Duration::from_millis(1), "look", READ).is_ok());
    classes.replace(end, [("pay".to_owned(), class(300, Idempotency::NotIdempotent))]);
    assert_eq!(classes.table().resolve(end, "look", READ).err(), Some(ClassError::Unknown));
}
