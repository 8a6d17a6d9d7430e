//! The request classes of a gateway whose settings change while it runs.
//!
//! The decision module knows a class by its number. A number may pass to another class only once nobody holds the old one any
//! more: a request keeps the rules that it came under to its end, and an attempt's end is booked under its class.

use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::{Idempotency, RequestClass};

/// Clients go on using a class for so long after the settings have dropped it, or given its name other rules: they turn to the new one
/// 1.2 s after the file, and what they sent just before then is still on its way.
pub const RETIRED_CLASS_GRACE: Duration = Duration::from_millis(2000);

/// A class as it was when the request came; held for as long as anything about the request may still happen.
#[derive(Clone, Debug)]
pub struct RegisteredClass {
    /// Its name.
    pub name: String,
    /// Its number for the decision module.
    pub number: usize,
    /// Its rules.
    pub class: RequestClass,
}

/// What a request looks like, as far as its class shows in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestForm {
    /// It may change something: HTTP's POST, else GET.
    pub is_write: bool,
    /// It carries a key by which a repeat is known.
    pub has_idempotency_key: bool,
}

impl RequestForm {
    /// That of the requests of a class.
    pub fn for_class(class: &RequestClass) -> RequestForm {
        match class.idempotency {
            Idempotency::Idempotent => RequestForm { is_write: false, has_idempotency_key: false },
            Idempotency::IdempotencyKey { .. } => RequestForm { is_write: true, has_idempotency_key: true },
            Idempotency::NotIdempotent => RequestForm { is_write: true, has_idempotency_key: false },
        }
    }
}

/// Why a request comes under no class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassError {
    /// None has this name.
    Unknown,
    /// The one that has it reads where the request writes, or the other way round.
    MethodMismatch,
    /// The one that has it wants a key, or none.
    KeyMismatch,
}

/// The classes that requests may name under one file of settings, and those that clients may still be using.
#[derive(Clone, Debug)]
pub struct ClassTable {
    live: Vec<Rc<RegisteredClass>>,
    leaving: Vec<(Rc<RegisteredClass>, Duration)>,
}

impl ClassTable {
    /// The class that a request comes under: that of the settings, or one that clients may still be using, where the request is of its
    /// form and not of the other's.
    ///
    /// # Errors
    /// Why there is none.
    pub fn resolve(
        &self,
        now: Duration,
        name: &str,
        form: RequestForm,
    ) -> Result<&Rc<RegisteredClass>, ClassError> {
        let fits =
            |kept: &&Rc<RegisteredClass>| kept.name == name && RequestForm::for_class(&kept.class) == form;
        // Of two that have left under one name, the later one is what clients use.
        let leaving = self.leaving.iter().rev().filter(|(_, until)| now < *until).map(|(kept, _)| kept);
        if let Some(kept) = self.live.iter().chain(leaving).find(fits) {
            return Ok(kept);
        }
        let named = self.live.iter().find(|kept| kept.name == name).ok_or(ClassError::Unknown)?;
        Err(if RequestForm::for_class(&named.class).is_write == form.is_write {
            ClassError::KeyMismatch
        } else {
            ClassError::MethodMismatch
        })
    }
}

/// All classes that are in the settings, or held by somebody still.
#[derive(Debug, Default)]
pub struct ClassRegistry {
    slots: Vec<(Rc<RegisteredClass>, bool)>,
    /// Those that the settings have dropped a short while ago, and when.
    leaving: Vec<(Rc<RegisteredClass>, Duration)>,
}

impl ClassRegistry {
    /// Takes the classes of new settings at this moment. One that is as before stays what it is; any other gets a number that nobody holds.
    pub fn replace(&mut self, now: Duration, named: impl IntoIterator<Item = (String, RequestClass)>) {
        let mut new: Vec<(String, RequestClass)> = named.into_iter().collect();
        self.leaving.retain(|(_, since)| now < *since + RETIRED_CLASS_GRACE);
        for (kept, live) in &mut self.slots {
            let same = new.iter().position(|(name, class)| *name == kept.name && *class == kept.class);
            // A class that comes back as it was while somebody holds it is the same one.
            if *live && same.is_none() {
                self.leaving.push((kept.clone(), now));
            }
            *live = same.is_some();
            if let Some(at) = same {
                new.remove(at);
            }
        }
        for (name, class) in new {
            let free = self.slots.iter().position(|(kept, live)| !live && Rc::strong_count(kept) == 1);
            let number = free.unwrap_or(self.slots.len());
            let slot = (Rc::new(RegisteredClass { name, number, class }), true);
            match free {
                Some(at) => self.slots[at] = slot,
                None => self.slots.push(slot),
            }
        }
    }

    /// Those that are in the settings.
    pub fn active(&self) -> impl Iterator<Item = &Rc<RegisteredClass>> {
        self.slots.iter().filter(|(_, live)| *live).map(|(kept, _)| kept)
    }

    /// What requests may name from now on.
    pub fn table(&self) -> ClassTable {
        let leaving =
            self.leaving.iter().map(|(kept, since)| (kept.clone(), *since + RETIRED_CLASS_GRACE)).collect();
        ClassTable { live: self.active().cloned().collect(), leaving }
    }

    /// The rules by number, as the decision module wants them: those that have left the settings are marked.
    pub fn by_number(&self) -> Vec<RequestClass> {
        let rules = |(kept, live): &(Rc<RegisteredClass>, bool)| RequestClass {
            retired: !live,
            ..kept.class.clone()
        };
        self.slots.iter().map(rules).collect()
    }
}
