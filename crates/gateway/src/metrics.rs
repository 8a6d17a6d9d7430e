//! The figures: what this process has done and how it stands, counted where it happens and read at the second address.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use weldworks_control::class_registry::RegisteredClass;

/// A request that is open: counted for as long as this lives.
#[derive(Debug)]
pub struct OpenRequest(Rc<Metrics>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.current.set(self.0.current.get() - 1);
    }
}

/// A request that is to be counted, once, when it ends. One that goes without has lost its client, and counts as nothing.
#[derive(Debug)]
pub struct CountedRequest {
    figures: Rc<Metrics>,
    class: Rc<RegisteredClass>,
    open: Option<OpenRequest>,
}

impl CountedRequest {
    /// A request of the class; it is not open yet.
    pub fn new(figures: Rc<Metrics>, class: Rc<RegisteredClass>) -> CountedRequest {
        CountedRequest { figures, class, open: None }
    }

    /// Its last byte has come.
    pub fn mark_open(&mut self) {
        if self.open.is_none() {
            self.open = Some(self.figures.open_request());
        }
    }

    /// It has ended.
    pub fn finish(self, how: RequestEnding) {
        self.figures.record_ending(&self.class.name, how);
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.figures.record_ending(&self.class.name, RequestEnding::Errored);
            // what the client is told then
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// Served.
    Answered,
    /// Refused: trying again is harmless.
    Deferred,
    /// Failed.
    Errored,
}

/// The endings of one class's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Endings {
    answered: u64,
    deferred: u64,
    errored: u64,
}

/// The figures. One owner for all of them; a class that is no longer in the settings keeps its own.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: RefCell<BTreeMap<String, Endings>>,
    current: Cell<u64>,
    /// Attempts written whole to hosts.
    pub sends: Cell<u64>,
    /// Hosts in the list, those that are leaving among them.
    pub cluster_size: Cell<u64>,
    /// Listed hosts that the module avoids.
    pub cluster_unhealthy: Cell<u64>,
    /// Files taken at SIGHUP.
    pub conf_loaded: Cell<u64>,
    /// Files turned down at SIGHUP.
    pub conf_invalid: Cell<u64>,
}

impl Metrics {
    /// Has the classes stand there from 0.
    pub fn register_classes(&self, classes: &[String]) {
        let mut known = self.classes.borrow_mut();
        for class in classes {
            known.entry(class.clone()).or_default();
        }
    }

    /// A request has been taken.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.current.set(self.current.get() + 1);
        OpenRequest(self.clone())
    }

    /// A request of a known class has ended.
    pub fn record_ending(&self, class: &str, how: RequestEnding) {
        if let Some(endings) = self.classes.borrow_mut().get_mut(class) {
            *match how {
                RequestEnding::Answered => &mut endings.answered,
                RequestEnding::Deferred => &mut endings.deferred,
                RequestEnding::Errored => &mut endings.errored,
            } += 1;
        }
    }

    /// An attempt has been written whole.
    pub fn record_send(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// A file has come with SIGHUP.
    pub fn record_reload(&self, taken: bool) {
        let count = if taken { &self.conf_loaded } else { &self.conf_invalid };
        count.set(count.get() + 1);
    }

    /// All of them, a line each, as scrapers read them.
    pub fn text(&self) -> String {
        let mut text = String::with_capacity(2048);
        type Of = fn(&Endings) -> u64;
        let of_classes: [(&str, Of); 3] =
            [("answered", |e| e.answered), ("deferred", |e| e.deferred), ("errored", |e| e.errored)];
        for (name, of) in of_classes {
            for (class, endings) in &*self.classes.borrow() {
                let _ = writeln!(text, "router_{name}{{group=\"{}\"}} {}", escaped(class), of(endings));
            }
        }
        let single = [
            ("sends", &self.sends),
            ("current", &self.current),
            ("cluster_size", &self.cluster_size),
            ("cluster_unhealthy", &self.cluster_unhealthy),
            ("conf_loaded", &self.conf_loaded),
            ("conf_invalid", &self.conf_invalid),
        ];
        for (name, value) in single {
            let _ = writeln!(text, "router_{name} {}", value.get());
        }
        text
    }
}

/// A label's value as the text format wants it.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_stands_there_from_nothing_and_a_dropped_one_keeps_its_counts() {
        let figures = Rc::new(Metrics::default());
        figures.register_classes(&["look".into(), "a \"b\"\n\\".into()]);
        figures.record_ending("look", RequestEnding::Answered);
        figures.register_classes(&["pay".into()]);
        figures.record_ending("nobody's", RequestEnding::Errored);
        let held = figures.open_request();
        let text = figures.text();
        let lines: Vec<&str> = text.lines().collect();
        assert!(lines.contains(&"router_answered{group=\"look\"} 1"), "{text}");
        assert!(lines.contains(&"router_errored{group=\"pay\"} 0"));
        assert!(lines.contains(&"router_deferred{group=\"a \\\"b\\\"\\n\\\\\"} 0"));
        assert!(lines.contains(&"router_current 1") && !text.contains("nobody"));
        assert_eq!(lines.len(), 3 * 3 + 6, "a line each");
        drop(held);
        assert!(figures.text().contains("router_current 0\n"));
    }

    /// Scrapers of operators read these names and this order: the text is version 0.2.0's to the letter.
    #[test]
    fn the_text_is_that_of_version_0_2_0() {
        let figures = Rc::new(Metrics::default());
        figures.register_classes(&["look".into(), "pay".into()]);
        for ending in [
            RequestEnding::Answered,
            RequestEnding::Answered,
            RequestEnding::Deferred,
            RequestEnding::Errored,
        ] {
            figures.record_ending("pay", ending);
        }
        let _open = figures.open_request();
        figures.record_send();
        figures.cluster_size.set(12);
        figures.cluster_unhealthy.set(3);
        for taken in [true, true, false] {
            figures.record_reload(taken);
        }
        assert_eq!(figures.text(), include_str!("../tests/fixtures/figures.txt"));
    }

    /// What is being decided when something panics is answered 500, and counts as that.
    #[test]
    fn a_request_whose_deciding_panics_has_failed_and_one_whose_client_goes_counts_as_nothing() {
        let figures = Rc::new(Metrics::default());
        figures.register_classes(&["look".into()]);
        let class =
            weldworks_balancer::RequestClass::new(std::time::Duration::ZERO, std::time::Duration::ZERO);
        let kept = Rc::new(RegisteredClass { name: "look".into(), number: 0, class });
        let taken = || {
            let mut taken = CountedRequest::new(figures.clone(), kept.clone());
            taken.mark_open();
            taken
        };
        let panics = std::panic::AssertUnwindSafe(|| {
            let _taken = taken();
            panic!("on purpose");
        });
        assert!(std::panic::catch_unwind(panics).is_err());
        assert!(figures.text().contains("router_errored{group=\"look\"} 1\n"));
        drop(taken());
        let text = figures.text();
        assert!(
            text.contains("router_errored{group=\"look\"} 1\n") && text.contains("router_current 0\n"),
            "{text}"
        );
    }
}
