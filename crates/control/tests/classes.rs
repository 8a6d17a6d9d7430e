//! Classes come and go while requests hold on to theirs.

use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::{Idempotency, RequestClass};
use weldworks_control::classes::{Classes, Form, Kept, NoClass, GRACE};

const READ: Form = Form { writes: false, keyed: false };
const WRITE: Form = Form { writes: true, keyed: false };
const NOW: Duration = Duration::from_secs(100);

fn class(aim: u64, effect: Idempotency) -> RequestClass {
    RequestClass {
        idempotency: effect,
        ..RequestClass::new(Duration::from_millis(aim), Duration::from_secs(1))
    }
}

fn named(classes: &Classes, name: &str) -> Option<Rc<Kept>> {
    classes.live().find(|kept| kept.name == name).cloned()
}

#[test]
fn a_class_with_another_effect_is_another_class() {
    let mut classes = Classes::default();
    classes.take(
        NOW,
        [
            ("pay".to_owned(), class(300, Idempotency::Idempotent)),
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
        ],
    );
    let (pay, look) = (named(&classes, "pay").expect("pay"), named(&classes, "look").expect("look").number);
    classes.take(
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
        let mut classes = Classes::default();
        let mut held: Vec<Rc<Kept>> = Vec::new();
        let mut before = std::collections::BTreeMap::<String, u64>::new();
        for (n, (file, hold)) in files.iter().zip(&hold).enumerate() {
            let now = NOW + Duration::from_millis(700 * n as u64);
            classes.take(now, file.iter().map(|(name, aim)| (name.clone(), class(*aim, Idempotency::Idempotent))));
            prop_assert_eq!(classes.live().count(), file.len());
            for (name, aim) in file {
                let kept = named(&classes, name).expect("every class of the file");
                prop_assert_eq!(kept.class.latency_objective, Duration::from_millis(*aim));
            }
            let rules = classes.by_number();
            for kept in &held {
                prop_assert_eq!(&rules[kept.number].latency_objective, &kept.class.latency_objective, "{:?} has lost its number", kept);
            }
            held.extend(classes.live().take(*hold).cloned());
            let over = held.len().saturating_sub(6);
            held.drain(..over);
            // Four live, six held, and three files' worth that clients may still use.
            prop_assert!(rules.len() <= 4 + 6 + 4 * 4, "{} numbers", rules.len());
            // Whatever was named a moment ago is still served by the rules it had, and some time later no more.
            let offer = classes.offer();
            for (name, aim) in before.iter().filter(|(name, _)| !file.contains_key(name.as_str())) {
                let kept = offer.choose(now, name, READ).expect("clients may still use it");
                prop_assert_eq!(kept.class.latency_objective, Duration::from_millis(*aim));
                prop_assert_eq!(&rules[kept.number].latency_objective, &kept.class.latency_objective, "{:?} has lost its number", kept);
                prop_assert_eq!(offer.choose(now + GRACE, name, READ).err(), Some(NoClass::Unknown));
            }
            before = file.clone();
        }
    }
}

#[test]
fn a_request_comes_under_the_rules_that_it_was_made_for() {
    let mut classes = Classes::default();
    classes.take(
        NOW,
        [
            ("pay".to_owned(), class(300, Idempotency::Idempotent)),
            ("look".to_owned(), class(100, Idempotency::Idempotent)),
        ],
    );
    let later = NOW + GRACE / 2;
    classes.take(later, [("pay".to_owned(), class(300, Idempotency::NotIdempotent))]);
    let offer = classes.offer();
    let effect = |now, name, form| offer.choose(now, name, form).map(|kept| kept.class.idempotency);
    let end = later + GRACE;
    assert_eq!(effect(later, "pay", WRITE), Ok(Idempotency::NotIdempotent), "by the new rules at once");
    assert_eq!(effect(later, "pay", READ), Ok(Idempotency::Idempotent), "and by the old ones for a while");
    assert_eq!(effect(later, "look", READ), Ok(Idempotency::Idempotent));
    assert_eq!(effect(end, "pay", READ), Err(NoClass::Method));
    assert_eq!(effect(end, "look", READ), Err(NoClass::Unknown));
    assert_eq!(effect(later, "pay", Form { writes: true, keyed: true }), Err(NoClass::Key));
    assert_eq!(effect(later, "nobody", READ), Err(NoClass::Unknown));
    // A file that changes nothing more, a moment later, does not end it; one after its time does.
    classes.take(later + GRACE / 2, [("pay".to_owned(), class(300, Idempotency::NotIdempotent))]);
    assert!(classes.offer().choose(end - Duration::from_millis(1), "look", READ).is_ok());
    classes.take(end, [("pay".to_owned(), class(300, Idempotency::NotIdempotent))]);
    assert_eq!(classes.offer().choose(end, "look", READ).err(), Some(NoClass::Unknown));
}
