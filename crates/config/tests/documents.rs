//! Which values are read, which are rejected, and how problems are reported.

use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use weldworks_config::{Bytes, Choice, Document};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Shape {
    Steady,
    Wave,
}

impl Choice for Shape {
    const CHOICES: &'static [(&'static str, Shape)] = &[("steady", Shape::Steady), ("wave", Shape::Wave)];
}

#[test]
fn values_are_read_with_their_units() {
    let text = r#"
        wait = "1.5min"
        size = "64KiB"
        at = "127.0.0.1:80"
        shape = "wave"
        count = 0x10
        speed = [0.8, 1]
        one = 2
        list = ["a", "b"]
    "#;
    let document = Document::parse("f", text).expect("the document is valid TOML");
    let root = document.root();
    assert_eq!(root.get("wait"), Some(Duration::from_secs(90)));
    assert_eq!(root.get("size"), Some(Bytes(65536)));
    assert_eq!(root.get("at"), Some(SocketAddr::from(([127, 0, 0, 1], 80))));
    assert_eq!(root.get("shape"), Some(Shape::Wave));
    assert_eq!(root.get("count"), Some(16u64));
    assert_eq!(root.get("speed"), Some((0.8, 1.0)));
    assert_eq!(root.get("one"), Some((2.0, 2.0)));
    assert_eq!(root.get("list"), Some(vec!["a".to_owned(), "b".to_owned()]));
    assert_eq!(root.get_or("absent", 7u64), 7);
    root.finish();
    assert!(document.check(()).is_ok());
}

#[test]
fn every_problem_is_reported_with_its_line_and_key() {
    let text = "wait = \"2\"\nextra = 1\n[load]\nrate = -1.0\n[[event]]\nat = 5\n[[event]]\nlasts = \"1s\"\n";
    let document = Document::parse("s.toml", text).expect("the document is valid TOML");
    let root = document.root();
    let _ = root.get::<Duration>("wait");
    let load = root.table("load").expect("the document has a table [load]");
    let _ = load.get_in_range("rate", 0.0..=1e6, 1.0);
    load.finish();
    for event in root.tables("event") {
        let _ = event.require::<Duration>("at");
        let _ = event.get::<Duration>("lasts");
        event.finish();
    }
    root.finish();
    let problems = document.check(()).expect_err("the document has five problems");
    let lines: Vec<_> = problems.list.iter().map(|problem| (problem.line, problem.key.as_str())).collect();
    let expected = [(1, "wait"), (2, "extra"), (4, "load.rate"), (6, "event[0].at"), (7, "event[1].at")];
    assert_eq!(lines, expected, "{problems}");
    assert!(problems.to_string().starts_with("s.toml:1: wait: \"2\" is not a time such as"), "{problems}");
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    let problems = Document::parse("s.toml", "a = 1\nb = = 2\n").expect_err("the document is not valid TOML");
    assert_eq!(problems.list[0].line, 2, "{problems}");
}

proptest! {
    /// An operator may write anything into the file. A panic would end a gateway on reload, so the text must be read or
    /// rejected, and every reported line must lie in the file.
    #[test]
    fn reading_any_text_never_panics(text in "\\PC{0,200}", value in "[\\[\\]a-z0-9.\"=\\- \\n]{0,40}") {
        for text in [text, format!("a = {value}")] {
            let lines = text.lines().count().max(1) + 1;
            match Document::parse("f", &text) {
                Ok(document) => {
                    let root = document.root();
                    let _ = root.get::<Duration>("a");
                    let _ = root.get::<Bytes>("a");
                    let _ = root.get::<f64>("a");
                    let _ = root.get::<(f64, f64)>("a");
                    let _ = root.get::<u64>("a");
                    let _ = root.tables("a");
                    root.finish();
                    if let Err(problems) = document.check(()) {
                        prop_assert!(problems.list.iter().all(|problem| problem.line <= lines));
                    }
                }
                Err(problems) => prop_assert!(!problems.list.is_empty()),
            }
        }
    }

    #[test]
    fn times_in_milliseconds_are_read_exactly(ms in 0u64..10_000_000) {
        let text = format!("t = \"{ms}ms\"");
        let document = Document::parse("f", &text).expect("the document is valid TOML");
        prop_assert_eq!(document.root().get("t"), Some(Duration::from_millis(ms)));
    }
}
