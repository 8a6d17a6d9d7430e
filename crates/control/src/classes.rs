//! The request classes of a gateway whose settings change while it runs.
//!
//! The decision module knows a class by its number. A number may pass to another class only once nobody holds the old one any
//! more: a request keeps the rules that it came under to its end, and an attempt's end is booked under its class.

use ottervane::Class;
use std::rc::Rc;
use std::time::Duration;

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
    pub class: Class,
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
    pub fn take(&mut self, now: Duration, named: impl IntoIterator<Item = (String, Class)>) {
        let mut new: Vec<(String, Class)> = named.into_iter().collect();
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

    /// The classes that requests may name now.
    pub fn live(&self) -> impl Iterator<Item = &Rc<Kept>> {
        self.slots.iter().filter(|(_, live)| *live).map(|(kept, _)| kept)
    }

    /// Those that clients may still be using, each with when that ends.
    pub fn leaving(&self) -> impl Iterator<Item = (&Rc<Kept>, Duration)> {
        self.leaving.iter().map(|(kept, since)| (kept, *since + GRACE))
    }

    /// The rules by number, as the decision module wants them: those that have left the settings are marked.
    pub fn by_number(&self) -> Vec<Class> {
        let rules = |(kept, live): &(Rc<Kept>, bool)| Class { dropped: !live, ..kept.class.clone() };
        self.slots.iter().map(rules).collect()
    }
}
