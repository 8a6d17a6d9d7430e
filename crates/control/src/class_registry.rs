//! The request classes of a gateway whose configuration changes while it runs.
//!
//! The balancer identifies a class by its number. A number is reused for another class
//! only once nothing refers to the old class: a request keeps the rules under which it
//! arrived, and the end of an attempt is counted for the class of its request.

use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::{Idempotency, RequestClass};

/// Time for which clients may still use a class that the configuration has dropped or changed. Clients follow a new
/// configuration after 1.2 s, and requests that they sent just before that may still be in transit.
pub const RETIRED_CLASS_GRACE: Duration = Duration::from_millis(2000);

/// A request class with its number, as it was when a request arrived. The request refers to the class as long as
/// anything about the request may still happen.
#[derive(Clone, Debug)]
pub struct RegisteredClass {
    /// Name of the class in the configuration.
    pub name: String,
    /// Number of the class in the balancer.
    pub number: usize,
    /// Rules of the class.
    pub class: RequestClass,
}

/// The properties of a request that its class determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestForm {
    /// Whether the request may change something: POST rather than GET.
    pub is_write: bool,
    /// Whether the request carries an idempotency key.
    pub has_idempotency_key: bool,
}

impl RequestForm {
    /// The form of the requests of a class.
    pub fn for_class(class: &RequestClass) -> RequestForm {
        match class.idempotency {
            Idempotency::Idempotent => RequestForm { is_write: false, has_idempotency_key: false },
            Idempotency::IdempotencyKey { .. } => RequestForm { is_write: true, has_idempotency_key: true },
            Idempotency::NotIdempotent => RequestForm { is_write: true, has_idempotency_key: false },
        }
    }
}

/// Reason why a request matches no class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassError {
    /// No class has the name that the request gives.
    Unknown,
    /// The class of that name is for reads and the request is a write, or the reverse.
    MethodMismatch,
    /// The class of that name requires an idempotency key, or forbids one.
    KeyMismatch,
}

/// A class that the configuration no longer has and that clients may still use.
#[derive(Clone, Debug)]
struct RetiredClass {
    class: Rc<RegisteredClass>,
    retired_at: Duration,
}

impl RetiredClass {
    fn is_usable(&self, now: Duration) -> bool {
        now < self.retired_at + RETIRED_CLASS_GRACE
    }
}

/// The classes that requests may name under one configuration.
#[derive(Clone, Debug)]
pub struct ClassTable {
    active: Vec<Rc<RegisteredClass>>,
    /// Retired classes, in the order in which they were retired.
    retired: Vec<RetiredClass>,
}

impl ClassTable {
    /// Finds the class of a request: an active one, or one that clients may still use, of this name and form.
    ///
    /// # Errors
    /// No class has the name, or the active class of that name has another form.
    pub fn resolve(
        &self,
        now: Duration,
        name: &str,
        form: RequestForm,
    ) -> Result<&Rc<RegisteredClass>, ClassError> {
        // Of two retired classes of one name, clients use the one that was retired later.
        let usable = self.retired.iter().rev().filter(|retired| retired.is_usable(now));
        let candidates = self.active.iter().chain(usable.map(|retired| &retired.class));
        let mut matching = candidates
            .filter(|candidate| candidate.name == name && RequestForm::for_class(&candidate.class) == form);
        matching.next().ok_or_else(|| self.mismatch(name, form))
    }

    /// Returns why no class matches a request of this name and form.
    fn mismatch(&self, name: &str, form: RequestForm) -> ClassError {
        let Some(named) = self.active.iter().find(|candidate| candidate.name == name) else {
            return ClassError::Unknown;
        };
        if RequestForm::for_class(&named.class).is_write == form.is_write {
            ClassError::KeyMismatch
        } else {
            ClassError::MethodMismatch
        }
    }
}

/// A slot of the registry; the index of the slot is the number of its class.
#[derive(Debug)]
struct Slot {
    class: Rc<RegisteredClass>,
    /// Whether the class is in the current configuration.
    is_active: bool,
}

impl Slot {
    /// Whether another class may take the number of this slot: its
    /// class is not active and nothing else refers to the class.
    fn is_free(&self) -> bool {
        !self.is_active && Rc::strong_count(&self.class) == 1
    }
}

/// All request classes that are in the configuration or that something still refers to.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    slots: Vec<Slot>,
    /// Retired classes, in the order in which they were retired.
    retired: Vec<RetiredClass>,
}

impl ClassRegistry {
    /// Applies the classes of a new configuration. An unchanged
    /// class keeps its number; any other class gets a free number.
    pub fn replace(&mut self, now: Duration, classes: impl IntoIterator<Item = (String, RequestClass)>) {
        let mut added: Vec<(String, RequestClass)> = classes.into_iter().collect();
        self.retired.retain(|retired| retired.is_usable(now));
        for slot in &mut self.slots {
            // An inactive class that is configured again unchanged before its slot is reused is the same class.
            let unchanged =
                added.iter().position(|(name, class)| *name == slot.class.name && *class == slot.class.class);
            if slot.is_active && unchanged.is_none() {
                self.retired.push(RetiredClass { class: slot.class.clone(), retired_at: now });
            }
            slot.is_active = unchanged.is_some();
            if let Some(index) = unchanged {
                added.remove(index);
            }
        }
        for (name, class) in added {
            self.add(name, class);
        }
    }

    /// Adds an active class under the lowest free number.
    fn add(&mut self, name: String, class: RequestClass) {
        let free = self.slots.iter().position(Slot::is_free);
        let number = free.unwrap_or(self.slots.len());
        let slot = Slot { class: Rc::new(RegisteredClass { name, number, class }), is_active: true };
        match free {
            Some(index) => self.slots[index] = slot,
            None => self.slots.push(slot),
        }
    }

    /// The classes of the current configuration.
    pub fn active(&self) -> impl Iterator<Item = &Rc<RegisteredClass>> {
        self.slots.iter().filter(|slot| slot.is_active).map(|slot| &slot.class)
    }

    /// The table of the classes that requests may name from now on.
    pub fn table(&self) -> ClassTable {
        ClassTable { active: self.active().cloned().collect(), retired: self.retired.clone() }
    }

    /// The rules of all classes by number, as the balancer reads them;
    /// classes that are not in the configuration are marked as retired.
    pub fn by_number(&self) -> Vec<RequestClass> {
        self.slots
            .iter()
            .map(|slot| RequestClass { retired: !slot.is_active, ..slot.class.class.clone() })
            .collect()
    }
}
