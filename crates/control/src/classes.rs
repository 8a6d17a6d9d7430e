//! The request classes of a gateway whose settings change while it runs.
//!
//! The decision module knows a class by its number. A number may pass to another class only once nobody holds the old one any
//! more: a request keeps the rules that it came under to its end, and an attempt's end is booked under its class.

use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::{Idempotency, RequestClass};

/// Clients go on using a class for so long after the settings have dropped it, or given its name other rules: they turn to the new one
/// 1.2 s after the file, and what they sent just before then is still on its way.
pub const GRACE: Duration = Duration::from_millis(2000);

/// A class as it was when the request came; held for as long as anything about the request may still happen.
#[derive(Clone, Debug)]
pub struct Kept {
    /// Its name.
    pub name: String,
    /// Its number for the decision module.
    pub number: usize,
    /// Its rules.
    pub class: RequestClass,
}

/// What a request looks like, as far as its class shows in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Form {
    /// It may change something: HTTP's POST, else GET.
    pub writes: bool,
    /// It carries a key by which a repeat is known.
    pub keyed: bool,
}

impl Form {
    /// That of the requests of a class.
    pub fn of(class: &RequestClass) -> Form {
        match class.idempotency {
            Idempotency::Idempotent => Form { writes: false, keyed: false },
            Idempotency::IdempotencyKey { .. } => Form { writes: true, keyed: true },
            Idempotency::NotIdempotent => Form { writes: true, keyed: false },
        }
    }
}

/// Why a request comes under no class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoClass {
    /// None has this name.
    Unknown,
    /// The one that has it reads where the request writes, or the other way round.
    Method,
    /// The one that has it wants a key, or none.
    Key,
}

/// The classes that requests may name under one file of settings, and those that clients may still be using.
#[derive(Clone, Debug)]
pub struct Offer {
    live: Vec<Rc<Kept>>,
    leaving: Vec<(Rc<Kept>, Duration)>,
}

impl Offer {
    /// The class that a request comes under: that of the settings, or one that clients may still be using, where the request is of its
    /// form and not of the other's.
    ///
    /// # Errors
    /// Why there is none.
    pub fn choose(&self, now: Duration, name: &str, form: Form) -> Result<&Rc<Kept>, NoClass> {
        let fits = |kept: &&Rc<Kept>| kept.name == name && Form::of(&kept.class) == form;
        // Of two that have left under one name, the later one is what clients use.
        let leaving = self.leaving.iter().rev().filter(|(_, until)| now < *until).map(|(kept, _)| kept);
        if let Some(kept) = self.live.iter().chain(leaving).find(fits) {
            return Ok(kept);
        }
        let named = self.live.iter().find(|kept| kept.name == name).ok_or(NoClass::Unknown)?;
        Err(if Form::of(&named.class).writes == form.writes { NoClass::Key } else { NoClass::Method })
    }
}

/// All classes that are in the settings, or held by somebody still.
#[derive(Debug, Default)]
pub struct Classes {
    slots: Vec<(Rc<Kept>, bool)>,
    /// Those that the settings have dropped a short while ago, and when.
    leaving: Vec<(Rc<Kept>, Duration)>,
}

impl Classes {
    /// Takes the classes of new settings at this moment. One that is as before stays what it is; any other gets a number that nobody holds.
    pub fn take(&mut self, now: Duration, named: impl IntoIterator<Item = (String, RequestClass)>) {
        let mut new: Vec<(String, RequestClass)> = named.into_iter().collect();
        self.leaving.retain(|(_, since)| now < *since + GRACE);
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
            let slot = (Rc::new(Kept { name, number, class }), true);
            match free {
                Some(at) => self.slots[at] = slot,
                None => self.slots.push(slot),
            }
        }
    }

    /// Those that are in the settings.
    pub fn live(&self) -> impl Iterator<Item = &Rc<Kept>> {
        self.slots.iter().filter(|(_, live)| *live).map(|(kept, _)| kept)
    }

    /// What requests may name from now on.
    pub fn offer(&self) -> Offer {
        let leaving = self.leaving.iter().map(|(kept, since)| (kept.clone(), *since + GRACE)).collect();
        Offer { live: self.live().cloned().collect(), leaving }
    }

    /// The rules by number, as the decision module wants them: those that have left the settings are marked.
    pub fn by_number(&self) -> Vec<RequestClass> {
        let rules = |(kept, live): &(Rc<Kept>, bool)| RequestClass { retired: !live, ..kept.class.clone() };
        self.slots.iter().map(rules).collect()
    }
}
